#include "almondlink/control/weighted_round_robin.h"

#include <cassert>

namespace almondlink::control {

std::size_t NextPart(const std::vector<double>& weights,
                     const std::vector<double>& draws,
                     WeightedRoundRobin& turns) {
  assert(!weights.empty() && draws.size() >= weights.size());
  if (turns.credits.size() != weights.size()) {
    turns.credits.clear();
    for (std::size_t i = 0; i < weights.size(); ++i) {
      turns.credits.push_back(weights[i] * draws[i]);
    }
  }
  double total = 0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < weights.size(); ++i) {
    total += weights[i];
    turns.credits[i] += weights[i];
    best = turns.credits[i] > turns.credits[best] ? i : best;
  }
  turns.credits[best] -= total;
  return best;
}

}  // namespace almondlink::control
