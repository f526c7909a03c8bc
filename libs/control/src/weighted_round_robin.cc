#include "almondlink/control/weighted_round_robin.h"

#include <cassert>

namespace almondlink::control {

std::size_t NextPart(const std::vector<double>& weights,
                     const std::vector<double>& draws,
                     WeightedRoundRobin& state) {
  assert(!weights.empty() && draws.size() >= weights.size());
  if (state.credits.size() != weights.size()) {
    state.credits.clear();
    for (std::size_t i = 0; i < weights.size(); ++i) {
      state.credits.push_back(weights[i] * draws[i]);
    }
  }
  double total = 0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < weights.size(); ++i) {
    total += weights[i];
    state.credits[i] += weights[i];
    best = state.credits[i] > state.credits[best] ? i : best;
  }
  state.credits[best] -= total;
  return best;
}

}  // namespace almondlink::control
