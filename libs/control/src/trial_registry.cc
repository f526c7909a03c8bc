#include "almondlink/control/trial_registry.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace almondlink::control {

namespace {

void DropExpired(Millis now, TrialRegistry& registry) {
  for (auto entry = registry.trials.begin(); entry != registry.trials.end();) {
    entry = now >= entry->second.expires_at ? registry.trials.erase(entry)
                                            : std::next(entry);
  }
}

}  // namespace

std::optional<std::string> PermitTrial(
    Millis now,
    const RequestDigest& digest,
    const std::string& service,
    const std::vector<TrialCandidate>& candidates,
    Millis expires_at,
    TrialRegistry& registry) {
  DropExpired(now, registry);
  if (registry.trials.count(digest) != 0) {
    return std::nullopt;
  }
  std::set<std::string> busy_nodes;
  for (const auto& [other, trial] : registry.trials) {
    if (trial.service == service) {
      busy_nodes.insert(trial.node);
    }
  }
  const TrialCandidate* best = nullptr;
  std::size_t free = 0;
  for (const TrialCandidate& candidate : candidates) {
    if (busy_nodes.count(candidate.node) != 0) {
      continue;
    }
    ++free;
    if (best == nullptr || candidate.calls_in_flight < best->calls_in_flight) {
      best = &candidate;
    }
  }
  const bool is_last = free < 2 && candidates.size() > 1;
  if (best == nullptr || is_last) {
    return std::nullopt;
  }
  registry.trials[digest] = Trial{service, best->node, expires_at};
  return best->node;
}

void EndTrial(const RequestDigest& digest, TrialRegistry& registry) {
  registry.trials.erase(digest);
}

}  // namespace almondlink::control
