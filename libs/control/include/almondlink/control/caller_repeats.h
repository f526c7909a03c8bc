#ifndef ALMONDLINK_CONTROL_CALLER_REPEATS_H_
#define ALMONDLINK_CONTROL_CALLER_REPEATS_H_

#include <cstdint>
#include <vector>

#include "almondlink/base/clock.h"

/// Detects callers that repeat a root request after a refusal or a failure.
///
/// A request is identified by a hash of caller, method, path and key. A repeat
/// within `kCallerRepeatWindow` of its failed predecessor is charged to the
/// team's retry budget; if the budget is spent, it is refused at entry before
/// any work is done. A repeat that has waited for at least the time given in
/// Retry-After counts as a first attempt, because the caller followed the
/// advice.
namespace almondlink::control {

constexpr Millis kCallerRepeatWindow{10'000};

/// One failed request.
struct FailedRequest {
  std::uint64_t hash = 0;
  Millis failed_at;
  Millis retry_at;
  /// The caller received the answer that the outcome is unknown.
  bool is_outcome_unknown = false;
};

/// Fixed-size hash table of failed requests in which a later entry overwrites
/// an earlier one in its slot. Not thread safe; one per entry thread.
struct CallerRepeats {
  std::vector<FailedRequest> slots;
};

/// Creates a table with the given number of slots.
CallerRepeats MakeCallerRepeats(std::size_t slots);

/// Records that the request was refused or failed. A negative `retry_after`
/// means that the caller got no advice. `is_outcome_unknown` stays set by later
/// failures of the same request.
void RecordFailedRequest(Millis now,
                         std::uint64_t hash,
                         Millis retry_after,
                         bool is_outcome_unknown,
                         CallerRepeats& repeats);

/// Whether an earlier attempt of this request had an unknown outcome.
bool HadUnknownOutcome(Millis now,
                       std::uint64_t hash,
                       const CallerRepeats& repeats);

/// Whether the request repeats a failed one before the advised time.
bool IsEarlyRepeat(Millis now,
                   std::uint64_t hash,
                   const CallerRepeats& repeats);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_CALLER_REPEATS_H_
