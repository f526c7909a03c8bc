#ifndef ALMONDLINK_CONTROL_RETRY_DECISION_H_
#define ALMONDLINK_CONTROL_RETRY_DECISION_H_

#include <cstdint>

#include "almondlink/base/clock.h"
#include "almondlink/base/error.h"

namespace almondlink::control {

/// What is known about a failed attempt.
struct FailedAttempt {
  ErrorKind kind = ErrorKind::kInternal;
  /// The target answered with a server error of its own (`kind` is kNone).
  bool is_server_error = false;
  bool is_repeatable = true;
  /// Attempts that this node has made for this call.
  std::uint32_t attempts = 1;
  /// Time left until the deadline.
  Millis time_left;
  /// Expected minimum duration of the next attempt.
  LatencyMs expected_latency;
  /// Whether a target that has not been tried is available.
  bool has_other_target = false;
};

/// What a node does after a failed attempt.
enum class RetryChoice {
  /// Try another target now.
  kRetry,
  /// Pass the failure on to the caller.
  kGiveUp,
};

/// Whether a node should retry a call on its own; the grant and the budget are
/// checked separately. A refused at-most-once call may be retried elsewhere
/// because nothing was run; one with an unknown outcome never is. A server
/// error is retried elsewhere if the call is repeatable, so that one broken
/// target does not fail its share of all requests. Pure.
RetryChoice DecideRetry(const FailedAttempt& failed);

/// Delay before the next attempt, with full jitter. `draw` is uniform in [0,
/// 1). Pure.
Millis RetryDelay(std::uint32_t attempts, double draw);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_RETRY_DECISION_H_
