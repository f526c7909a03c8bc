#ifndef ALMONDLINK_CONTROL_TARGET_HEALTH_H_
#define ALMONDLINK_CONTROL_TARGET_HEALTH_H_

#include <cstdint>

#include "almondlink/base/clock.h"

/// Outlier detection: ejects a target by the outcomes that this node observed
/// itself; the health that a target reports is not used. If all targets of a
/// service fail alike, none is an outlier, and ejecting one would only remove
/// its capacity. An ejected target is tried again after a delay that doubles up
/// to a limit, with one trial request at a time until several in a row succeed.
namespace almondlink::control {

/// kOnTrial: the target was ejected and has to succeed on trial requests.
enum class HealthState { kHealthy, kEjected, kOnTrial };

/// When a target is ejected.
struct HealthRules {
  /// Consecutive failures; 0: never eject.
  std::uint32_t consecutive_failures = 5;
  /// A target is ejected only if its failure rate exceeds that of the other
  /// targets by this factor, and by 0.1 more. 0: ignore the other targets.
  double outlier_factor = 1.5;
};

/// State of one target at one node. Plain data; one thread at a time.
struct TargetHealth {
  HealthState state = HealthState::kHealthy;
  std::uint32_t consecutive_failures = 0;
  std::uint32_t consecutive_successes = 0;
  std::uint32_t ejections = 0;
  /// Moving average over the last few dozen outcomes: share of failures.
  double failure_rate = 0;
  /// Moving average over the last few dozen answers: share of the target's own
  /// errors.
  double error_rate = 0;
  /// For kEjected: no request is sent to the target before this time.
  Millis ejected_until;
  bool is_trial_in_flight = false;
  /// When the trial request was sent. A trial without an outcome blocks further
  /// ones only for a limited time.
  Millis trial_sent;
};

/// Records one outcome. `is_failure` means that the target or its node failed
/// (lost, unreachable, timed out, bad answer), not that it refused.
/// `others_failure_rate` is the mean failure rate of the other targets of the
/// service. Returns true if this outcome ejected the target.
bool RecordOutcome(const HealthRules& rules,
                   Millis now,
                   bool is_failure,
                   double others_failure_rate,
                   TargetHealth& health);

/// Records whether an answer was an error of the target's own, which does not
/// eject it.
void RecordAnswerError(bool is_error, TargetHealth& health);

/// Whether the target may get a request now.
bool MayUse(Millis now, const TargetHealth& health);

/// Records that a request is sent to the target.
void RecordSent(Millis now, TargetHealth& health);

/// Maximum number of targets of a service that may be ejected at once. If more
/// fail, the cause is probably shared, and ejecting them would only concentrate
/// the load.
std::size_t MaxEjected(std::size_t targets);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_TARGET_HEALTH_H_
