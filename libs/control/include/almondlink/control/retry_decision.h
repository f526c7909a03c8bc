#ifndef ALMONDLINK_CONTROL_RETRY_DECISION_H_
#define ALMONDLINK_CONTROL_RETRY_DECISION_H_

#include <cstdint>

#include "almondlink/base/clock.h"
#include "almondlink/base/error.h"

namespace almondlink::control {

/// What is known when an attempt has failed.
struct FailedAttempt {
  ErrorKind kind = ErrorKind::kInternal;
  /// The target answered with a server error of its own (kind is kNone).
  bool is_server_error = false;
  bool is_repeatable = true;
  /// Attempts made so far by this node for this call.
  std::uint32_t attempts = 1;
  /// Time left until the deadline.
  Millis time_left;
  /// Time the next attempt likely needs at least.
  LatencyMs expected_latency;
  /// Whether a target that was not tried is available.
  bool has_other_target = false;
};

enum class RetryChoice {
  /// Try another target now.
  kRetry,
  /// Give the answer up to the caller.
  kGiveUp,
};

/// Whether a node should try again by itself, the grant and the budget left
/// aside. A refused at-most-once call may be tried elsewhere because nothing
/// was run; one with unknown outcome never is. A server error is tried
/// elsewhere when the call is repeatable: one broken target must not fail its
/// share of all requests. Pure.
RetryChoice DecideRetry(const FailedAttempt& failed);

/// Wait before the next attempt. `draw` is uniform in [0, 1). Pure.
Millis RetryDelay(std::uint32_t attempts, double draw);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_RETRY_DECISION_H_
