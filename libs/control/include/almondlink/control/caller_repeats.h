#ifndef ALMONDLINK_CONTROL_CALLER_REPEATS_H_
#define ALMONDLINK_CONTROL_CALLER_REPEATS_H_

#include <cstdint>
#include <vector>

#include "almondlink/base/clock.h"

/// Recognises callers that repeat a root request after a refusal or a failure.
///
/// A request is told apart by a hash of caller, method, path and key. A repeat
/// within `kRepeatLife` of its failed predecessor is charged to the team's
/// retry budget; with the budget spent it is refused at entry before any work.
/// A repeat that waited at least as long as Retry-After told it to is a first
/// attempt again: the caller did what it was asked.
namespace almondlink::control {

constexpr Millis kCallerRepeatWindow{10'000};

/// One failed request.
struct FailedRequest {
  std::uint64_t hash = 0;
  Millis failed_at;
  Millis retry_at;
  /// The caller was told that the outcome is unknown.
  bool is_outcome_unknown = false;
};

/// Fixed-size memory of failed requests: a hash picks the place and a later one
/// overwrites. Not thread safe; one per entry thread.
struct CallerRepeats {
  std::vector<FailedRequest> slots;
};

/// Makes a memory of `places` entries.
CallerRepeats MakeCallerRepeats(std::size_t slots);

/// Notes that the request was refused or failed; `retry_after` negative for no
/// advice. `is_unknown` stays set by later failures of the same request.
void RecordFailedRequest(Millis now,
                         std::uint64_t hash,
                         Millis retry_after,
                         bool is_outcome_unknown,
                         CallerRepeats& repeats);

/// Whether an earlier try of this request had an unknown outcome.
bool HadUnknownOutcome(Millis now,
                       std::uint64_t hash,
                       const CallerRepeats& repeats);

/// Whether the request repeats a failed one too early.
bool IsEarlyRepeat(Millis now,
                   std::uint64_t hash,
                   const CallerRepeats& repeats);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_CALLER_REPEATS_H_
