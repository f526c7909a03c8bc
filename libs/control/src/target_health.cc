#include "almondlink/control/target_health.h"

#include <algorithm>

namespace almondlink::control {

namespace {

constexpr std::uint32_t kSuccessesToReturn = 3;
constexpr Millis kFirstWait{500};
constexpr std::uint32_t kMostDoublings = 4;
constexpr Millis kTrialLife{1000};
/// Weight of one outcome: some twenty of them are remembered, so that five
/// failures in a row stand out from a target that never failed.
constexpr double kOutcomeWeight = 0.05;
/// How much more than the others an outlier fails at least.
constexpr double kOutlierOver = 0.1;

void SetAside(Millis now, TargetHealth& health) {
  const std::uint32_t doublings =
      std::min(health.times_set_aside, kMostDoublings);
  health.state = HealthState::kSetAside;
  health.until = now + kFirstWait * (std::int64_t{1} << doublings);
  health.failures_in_row = 0;
  health.successes_in_row = 0;
  health.is_trial_out = false;
  ++health.times_set_aside;
}

void NoteSuccess(TargetHealth& health) {
  health.failures_in_row = 0;
  ++health.successes_in_row;
  if (health.state == HealthState::kGood) {
    return;
  }
  health.state = HealthState::kTrying;
  if (health.successes_in_row >= kSuccessesToReturn) {
    health.state = HealthState::kGood;
    health.times_set_aside = 0;
  }
}

}  // namespace

bool NoteHealth(const HealthRules& rules,
                Millis now,
                bool is_failure,
                double failing_others,
                TargetHealth& health) {
  health.is_trial_out = false;
  health.failing += kOutcomeWeight * ((is_failure ? 1 : 0) - health.failing);
  if (!is_failure) {
    NoteSuccess(health);
    return false;
  }
  health.successes_in_row = 0;
  ++health.failures_in_row;
  const bool is_on_trial = health.state != HealthState::kGood;
  const bool is_enough =
      rules.failures > 0 && health.failures_in_row >= rules.failures;
  const bool is_outlier =
      rules.outlier_factor == 0 ||
      health.failing > rules.outlier_factor * failing_others + kOutlierOver;
  if ((is_on_trial || is_enough) && is_outlier) {
    SetAside(now, health);
    return true;
  }
  return false;
}

void NoteError(bool is_error, TargetHealth& health) {
  health.erring += kOutcomeWeight * ((is_error ? 1 : 0) - health.erring);
}

bool MayUse(Millis now, const TargetHealth& health) {
  switch (health.state) {
    case HealthState::kGood:
      return true;
    case HealthState::kSetAside:
      return now >= health.until;
    case HealthState::kTrying:
      return !health.is_trial_out || now - health.trial_sent > kTrialLife;
  }
  return true;
}

void NoteSent(Millis now, TargetHealth& health) {
  if (health.state == HealthState::kGood) {
    return;
  }
  health.state = HealthState::kTrying;
  health.is_trial_out = true;
  health.trial_sent = now;
}

std::size_t MostSetAside(std::size_t targets) {
  return targets / 2;
}

}  // namespace almondlink::control
