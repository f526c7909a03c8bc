#include "almondlink/control/target_health.h"

#include <algorithm>

namespace almondlink::control {

namespace {

constexpr std::uint32_t kSuccessesToReturn = 3;
constexpr Millis kBaseEjectionTime{500};
constexpr std::uint32_t kMaxDoublings = 4;
constexpr Millis kTrialTimeout{1000};
/// Weight of one outcome in the moving average: about twenty outcomes, so that
/// five failures in a row stand out against a target that never failed.
constexpr double kOutcomeWeight = 0.05;
/// Minimum by which an outlier's failure rate exceeds that of the others.
constexpr double kOutlierMargin = 0.1;

void Eject(Millis now, TargetHealth& health) {
  const std::uint32_t doublings = std::min(health.ejections, kMaxDoublings);
  health.state = HealthState::kEjected;
  health.ejected_until =
      now + kBaseEjectionTime * (std::int64_t{1} << doublings);
  health.consecutive_failures = 0;
  health.consecutive_successes = 0;
  health.is_trial_in_flight = false;
  ++health.ejections;
}

void RecordSuccess(TargetHealth& health) {
  health.consecutive_failures = 0;
  ++health.consecutive_successes;
  if (health.state == HealthState::kHealthy) {
    return;
  }
  health.state = HealthState::kOnTrial;
  if (health.consecutive_successes >= kSuccessesToReturn) {
    health.state = HealthState::kHealthy;
    health.ejections = 0;
  }
}

}  // namespace

bool RecordOutcome(const HealthRules& rules,
                   Millis now,
                   bool is_failure,
                   double others_failure_rate,
                   TargetHealth& health) {
  health.is_trial_in_flight = false;
  health.failure_rate +=
      kOutcomeWeight * ((is_failure ? 1 : 0) - health.failure_rate);
  if (!is_failure) {
    RecordSuccess(health);
    return false;
  }
  health.consecutive_successes = 0;
  ++health.consecutive_failures;
  const bool is_on_trial = health.state != HealthState::kHealthy;
  const bool is_enough =
      rules.consecutive_failures > 0 &&
      health.consecutive_failures >= rules.consecutive_failures;
  const bool is_outlier =
      rules.outlier_factor == 0 ||
      health.failure_rate >
          rules.outlier_factor * others_failure_rate + kOutlierMargin;
  if ((is_on_trial || is_enough) && is_outlier) {
    Eject(now, health);
    return true;
  }
  return false;
}

void RecordAnswerError(bool is_error, TargetHealth& health) {
  health.error_rate +=
      kOutcomeWeight * ((is_error ? 1 : 0) - health.error_rate);
}

bool MayUse(Millis now, const TargetHealth& health) {
  switch (health.state) {
    case HealthState::kHealthy:
      return true;
    case HealthState::kEjected:
      return now >= health.ejected_until;
    case HealthState::kOnTrial:
      return !health.is_trial_in_flight ||
             now - health.trial_sent > kTrialTimeout;
  }
  return true;
}

void RecordSent(Millis now, TargetHealth& health) {
  if (health.state == HealthState::kHealthy) {
    return;
  }
  health.state = HealthState::kOnTrial;
  health.is_trial_in_flight = true;
  health.trial_sent = now;
}

std::size_t MaxEjected(std::size_t targets) {
  return targets / 2;
}

}  // namespace almondlink::control
