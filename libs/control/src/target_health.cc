#include "almondlink/control/target_health.h"

#include <algorithm>

namespace almondlink::control {

namespace {

constexpr std::uint32_t kFailuresToSetAside = 5;
constexpr std::uint32_t kSuccessesToReturn = 3;
constexpr Millis kFirstWait{500};
constexpr std::uint32_t kMostDoublings = 4;
constexpr Millis kTrialLife{1000};

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

bool NoteHealth(Millis now, bool is_failure, TargetHealth& health) {
  health.is_trial_out = false;
  if (!is_failure) {
    NoteSuccess(health);
    return false;
  }
  health.successes_in_row = 0;
  ++health.failures_in_row;
  const bool is_on_trial = health.state != HealthState::kGood;
  if (is_on_trial || health.failures_in_row >= kFailuresToSetAside) {
    SetAside(now, health);
    return true;
  }
  return false;
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
