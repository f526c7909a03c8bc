#include "almondlink/control/caller_repeats.h"

namespace almondlink::control {

CallerRepeats MakeCallerRepeats(std::size_t slots) {
  CallerRepeats repeats;
  repeats.slots.resize(slots);
  return repeats;
}

void RecordFailedRequest(Millis now,
                         std::uint64_t hash,
                         Millis retry_after,
                         bool is_outcome_unknown,
                         CallerRepeats& repeats) {
  FailedRequest& entry = repeats.slots[hash % repeats.slots.size()];
  entry.is_outcome_unknown =
      is_outcome_unknown || (entry.hash == hash && entry.is_outcome_unknown);
  entry.hash = hash;
  entry.failed_at = now;
  entry.retry_at =
      retry_after < Millis{0} ? now + kCallerRepeatWindow : now + retry_after;
}

bool HadUnknownOutcome(Millis now,
                       std::uint64_t hash,
                       const CallerRepeats& repeats) {
  const FailedRequest& entry = repeats.slots[hash % repeats.slots.size()];
  return entry.hash == hash && hash != 0 && entry.is_outcome_unknown &&
         now - entry.failed_at < kCallerRepeatWindow;
}

bool IsEarlyRepeat(Millis now,
                   std::uint64_t hash,
                   const CallerRepeats& repeats) {
  const FailedRequest& entry = repeats.slots[hash % repeats.slots.size()];
  const bool is_known = entry.hash == hash && hash != 0;
  return is_known && now - entry.failed_at < kCallerRepeatWindow &&
         now < entry.retry_at;
}

}  // namespace almondlink::control
