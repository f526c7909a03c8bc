#include "almondlink/control/returning_callers.h"

#include <algorithm>

namespace almondlink::control {

namespace {

/// Time constant of the rates of invited and returned callers. Callers return
/// about a second after their invitation; with a shorter one, a burst of
/// invitations is forgotten before its callers return.
constexpr double kReturnTimeConstantMs = 2000;
/// Jitter of the expected end of a shortage, as a part of it to both sides.
constexpr double kRemainderJitter = 0.25;

/// Range of shares in which a division by the refused part is exact enough.
constexpr double kMinRefusedPart = 1e-6;

}  // namespace

void UpdateReturningClass(const ReturnRules& rules,
                          Millis now,
                          double span_ms,
                          double share,
                          ReturningClass& state) {
  if (span_ms <= 0) {
    return;
  }
  UpdateRate(span_ms, kReturnTimeConstantMs, state.invited);
  UpdateRate(span_ms, kReturnTimeConstantMs, state.returned);
  if (share < 1) {
    state.recovered_since.reset();
    if (!state.short_since.has_value()) {
      state.short_since = now;
    }
    return;
  }
  if (!state.recovered_since.has_value()) {
    state.recovered_since = now;
  }
  if (now - *state.recovered_since >= rules.recovery) {
    state.short_since.reset();
  }
}

ReturnRates LocalReturnRates(const ReturningClass& state) {
  return {state.invited.per_s, state.returned.per_s};
}

bool RecordCaller(const ReturnRules& rules,
                  Millis now,
                  std::optional<Millis> time_left,
                  ReturningClass& state) {
  if (!time_left.has_value()) {
    return false;
  }
  const Millis window_age = now - state.window_start;
  if (window_age >= rules.deadline_window) {
    const bool is_next = window_age < rules.deadline_window * 2;
    state.previous_longest = is_next ? state.longest_stated : Millis{0};
    state.longest_stated = Millis{0};
    state.window_start = now;
  }
  state.longest_stated = std::max(state.longest_stated, *time_left);
  const Millis usual = std::max(state.longest_stated, state.previous_longest);
  const Millis tolerance = std::max(
      rules.tolerance,
      Millis{static_cast<std::int64_t>(rules.relative_tolerance *
                                       static_cast<double>(usual.count))});
  if (*time_left >= usual - tolerance) {
    return false;
  }
  ++state.returned.events;
  ++state.counts.returned;
  return true;
}

ReturnShares DivideShare(const ReturnRules& rules,
                         double class_share,
                         double share,
                         const ReturnLoad& load) {
  const ReturnShares undivided{share, share};
  const double offered = load.offered_per_s;
  const double returned = load.returns.returned_per_s;
  const double invited = load.returns.invited_per_s;
  if (share >= 1 || class_share <= 0 || offered <= 0 || invited <= 0) {
    return undivided;
  }
  // Part of the offered requests whose return is covered by invitations.
  const double class_part = std::min(returned, invited) / offered;
  if (class_part >= rules.returning_part) {
    return undivided;
  }
  // An account of which a smaller part is admitted is invited more rarely, and
  // so a smaller part of its requests returns.
  const double part =
      std::min(rules.returning_part, class_part * share / class_share);
  const double preferred =
      class_part > 0
          ? std::min(1.0, rules.returning_part * class_share / class_part)
          : 1.0;
  const double returning = std::max(preferred, share);
  const double first =
      std::clamp((share - returning * part) / (1 - part), 0.0, 1.0);
  // Requests that look like returns but cannot have been invited get the share
  // of new ones. Nobody knows which they are, so all get the mean.
  const double covered = returned > invited ? invited / returned : 1;
  return {covered * returning + (1 - covered) * first, first};
}

ReturnPlan PlanReturn(const ReturnRules& rules,
                      Millis now,
                      const RefusedCaller& caller,
                      double invitation_draw,
                      double jitter_draw,
                      ReturningClass& state) {
  if (!state.short_since.has_value()) {
    return {ReturnPlan::Kind::kNoShortage, caller.usual_wait};
  }
  const auto is_in_time = [&caller](Millis wait) {
    return !caller.time_left.has_value() ||
           wait + caller.answer_time <= *caller.time_left;
  };
  const double refused = std::max(kMinRefusedPart, 1 - caller.share);
  const double invited_part = rules.returning_part * caller.share / refused;
  if (invitation_draw < invited_part && is_in_time(caller.usual_wait)) {
    ++state.invited.events;
    ++state.counts.invited;
    return {ReturnPlan::Kind::kInvited, caller.usual_wait};
  }
  const Millis remainder =
      std::min(rules.max_remainder, now - *state.short_since);
  const double jitter = 1 + kRemainderJitter * (2 * jitter_draw - 1);
  // A shortage that has just begun says nothing about its length.
  Millis wait = std::max(caller.usual_wait,
                         Millis{static_cast<std::int64_t>(
                             jitter * static_cast<double>(remainder.count))});
  if (caller.share >= rules.fair_share) {
    wait = std::min(wait, std::max(caller.usual_wait, caller.full_value_wait));
  }
  if (is_in_time(wait)) {
    ++state.counts.after_shortage;
    return {ReturnPlan::Kind::kAfterShortage, wait};
  }
  ++state.counts.no_capacity;
  return {ReturnPlan::Kind::kNoCapacity, std::max(wait, *caller.time_left)};
}

}  // namespace almondlink::control
