#include <algorithm>
#include <cmath>
#include <string>

#include "almondlink/base/event_log.h"
#include "almondlink/control/target_speed.h"
#include "almondlink/control/usable_slots.h"
#include "served_call.h"

/// Speed and usable slots of the target beside this node, measured from its
/// runs; see almondlink/control/target_speed.h and usable_slots.h.
namespace almondlink::relay {

namespace {

/// A change of speed by this factor is logged.
constexpr double kLoggedFactor = 1.25;
/// Minimum time between two log lines.
constexpr Millis kLogInterval{5000};

}  // namespace

void ServedCalls::SetTargetRules(const TargetRules& rules) {
  const bool is_reset = rules.usable_share != this->target_rules.usable_share ||
                        rules.learns_slots != this->target_rules.learns_slots;
  this->target_rules = rules;
  if (is_reset) {
    this->ForgetCapacity();
  }
}

/// Discards what was learned of the target.
void ServedCalls::ForgetCapacity() {
  control::ResetSpeed(this->speed);
  control::ResetUsableSlots(this->target_rules.usable_share, this->usable);
  this->tracker.usable_share = this->target_rules.usable_share;
  this->was_warming_up = false;
}

void ServedCalls::SetServiceMeans(
    Millis now,
    const std::map<std::uint32_t, double>& means) {
  control::SetServiceMeans(now, means, this->speed);
}

Millis ServedCalls::WarmupLeft(Millis now) const {
  return std::max(Millis{0}, this->tracker.current.warmup_left -
                                 (now - this->tracker.last_report));
}

bool ServedCalls::IsWarmingUp(Millis now) const {
  return this->target_rules.uses_warmup && this->WarmupLeft(now) > Millis{0};
}

double ServedCalls::Speed(Millis now) const {
  return this->target_rules.fits_targets &&
                 this->tracker.phase != control::InstancePhase::kNone
             ? control::CurrentSpeed(this->IsWarmingUp(now), this->speed)
             : 0;
}

/// Part of the announced slots that are taken.
double ServedCalls::Occupancy() const {
  return static_cast<double>(this->running) /
         std::max(1U, this->tracker.current.capacity);
}

void ServedCalls::BeginMeasure(Call& call) const {
  call.measured = control::BeginRun(call.info.root_route, this->speed);
  call.occupancy_at_start = this->Occupancy();
}

/// Whether the run says something about the current incarnation.
bool ServedCalls::IsMeasurable(const Call& call) const {
  return !call.spans_suspension &&
         call.sent_to == this->tracker.current.incarnation;
}

void ServedCalls::MeasureCompleted(Call& call, LatencyMs work) {
  if (!this->IsMeasurable(call)) {
    return;
  }
  control::CompleteRun(work, call.measured, this->speed);
  // While it warms up, a target is slow at any occupancy.
  if (this->target_rules.learns_slots &&
      this->WarmupLeft(BootTimeNow()) <= Millis{0}) {
    const double occupancy = (call.occupancy_at_start + this->Occupancy()) / 2;
    control::RecordOccupiedRun(call.info.root_route, occupancy, work,
                               this->usable);
  }
}

/// Ends the measurement of a run that was not completed; no effect on one that
/// was.
void ServedCalls::MeasureCut(Call& call) {
  if (this->IsMeasurable(call)) {
    const LatencyMs age{PreciseNow().count - call.dispatched.count};
    control::CutRun(age, call.measured, this->speed);
  }
}

void ServedCalls::UpdateCapacity(Millis now) {
  const double precise_now = PreciseNow().count;
  for (const auto& [id, call] : this->runs) {
    if (this->IsMeasurable(*call)) {
      const LatencyMs age{precise_now - call->dispatched.count};
      control::AdvanceRun(age, call->measured, this->speed);
    }
  }
  control::CloseSpeedInterval(now, this->speed);
  const bool is_warming_up = this->IsWarmingUp(now);
  if (this->was_warming_up && !is_warming_up) {
    // What was measured is the speed of the warm-up.
    control::ResetSpeed(this->speed);
  }
  this->was_warming_up = is_warming_up;
  if (this->target_rules.learns_slots &&
      control::UpdateUsableSlots(now, this->usable)) {
    this->tracker.usable_share = this->usable.share;
    this->events.on_slots_changed();
  }
  this->LogCapacity(now);
}

void ServedCalls::LogCapacity(Millis now) {
  const double current = this->Speed(now);
  const bool is_speed_moved =
      current > 0 && (current > kLoggedFactor * this->logged_speed ||
                      current < this->logged_speed / kLoggedFactor);
  const bool is_moved =
      is_speed_moved || this->logged_share != this->tracker.usable_share;
  if (!is_moved || now - this->capacity_logged_at < kLogInterval) {
    return;
  }
  this->capacity_logged_at = now;
  this->logged_speed = current > 0 ? current : 1;
  this->logged_share = this->tracker.usable_share;
  LogEvent(kEventTargetSpeed,
           {{"instance", this->tracker.current.incarnation.id},
            {"speed", std::to_string(current)},
            {"usable", std::to_string(this->tracker.usable_share)},
            {"warmup_ms", std::to_string(this->WarmupLeft(now).count)}});
}

/// Adds the slots of the target to those of its zone.
void ServedCalls::AddZoneSlots(control::DecisionSums& sums) const {
  const bool is_open = this->tracker.phase == control::InstancePhase::kReady &&
                       !this->is_target_gone;
  if (!is_open || this->target_rules.zone == 0) {
    return;
  }
  const double measured = this->Speed(BootTimeNow());
  control::ZoneLoad& zone = sums.zones[{
      this->target_rules.zone, ServiceKeyOf(this->tracker.current.service)}];
  zone.slots +=
      control::UsableSlots(this->tracker) * (measured > 0 ? measured : 1);
  zone.load += this->Running() + this->Waiting();
  zone.waiting += this->Waiting();
}

}  // namespace almondlink::relay
