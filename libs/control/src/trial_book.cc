#include "almondlink/control/trial_book.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace almondlink::control {

namespace {

void DropEnded(Millis now, TrialBook& book) {
  for (auto entry = book.trials.begin(); entry != book.trials.end();) {
    entry = now >= entry->second.until ? book.trials.erase(entry)
                                       : std::next(entry);
  }
}

}  // namespace

std::optional<std::string> PermitTrial(Millis now,
                                       const RequestDigest& digest,
                                       const std::string& service,
                                       const std::vector<TrialPlace>& places,
                                       Millis until,
                                       TrialBook& book) {
  DropEnded(now, book);
  if (book.trials.count(digest) != 0) {
    return std::nullopt;
  }
  std::set<std::string> taken;
  for (const auto& [other, trial] : book.trials) {
    if (trial.service == service) {
      taken.insert(trial.node);
    }
  }
  const TrialPlace* best = nullptr;
  std::size_t free = 0;
  for (const TrialPlace& place : places) {
    if (taken.count(place.node) != 0) {
      continue;
    }
    ++free;
    if (best == nullptr || place.calls < best->calls) {
      best = &place;
    }
  }
  const bool is_last = free < 2 && places.size() > 1;
  if (best == nullptr || is_last) {
    return std::nullopt;
  }
  book.trials[digest] = Trial{service, best->node, until};
  return best->node;
}

void EndTrial(const RequestDigest& digest, TrialBook& book) {
  book.trials.erase(digest);
}

}  // namespace almondlink::control
