#ifndef ALMONDLINK_CONTROL_TARGET_HEALTH_H_
#define ALMONDLINK_CONTROL_TARGET_HEALTH_H_

#include <cstdint>

#include "almondlink/base/clock.h"

/// Outlier targets are set aside by the outcomes that this node saw itself;
/// what a target reports of its health is never asked. Where all targets of a
/// service fail alike none is an outlier: setting one aside would only take its
/// slots away. A target set aside is
/// tried again after a wait that doubles up to a limit, by one request at a
/// time, until a few succeed.
namespace almondlink::control {

enum class HealthState { kHealthy, kEjected, kOnTrial };

/// When a target is set aside.
struct HealthRules {
  /// Failures in a row; 0: never.
  std::uint32_t consecutive_failures = 5;
  /// It must fail so many times as often as the others, and a tenth more. 0:
  /// whatever the others do.
  double outlier_factor = 1.5;
};

/// State of one target at one node. Plain data; one thread at a time.
struct TargetHealth {
  HealthState state = HealthState::kHealthy;
  std::uint32_t consecutive_failures = 0;
  std::uint32_t consecutive_successes = 0;
  std::uint32_t ejections = 0;
  /// Part of the last few dozen outcomes that were failures.
  double failure_rate = 0;
  /// Part of the last few dozen answers that were failures of the target's own.
  double error_rate = 0;
  Millis ejected_until;
  bool is_trial_in_flight = false;
  /// When the trial went out; one that never came back does not block.
  Millis trial_sent;
};

/// Takes one outcome: `is_failure` means the target or its node failed (lost,
/// unreachable, timed out, bad answer), not that it refused. True if the target
/// was set aside by it. `failing_others`: mean of `failing` over the service's
/// other targets.
bool RecordOutcome(const HealthRules& rules,
                   Millis now,
                   bool is_failure,
                   double others_failure_rate,
                   TargetHealth& health);

/// Takes whether an answer was a failure of the target's own, which does not
/// set it aside.
void RecordAnswerError(bool is_error, TargetHealth& health);

/// Whether the target may get a request now.
bool MayUse(Millis now, const TargetHealth& health);

/// Notes that a request is sent to it.
void RecordSent(Millis now, TargetHealth& health);

/// Most targets of a service that may be set aside at once; with more, the
/// cause is likely shared and setting aside only concentrates load.
std::size_t MaxEjected(std::size_t targets);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_TARGET_HEALTH_H_
