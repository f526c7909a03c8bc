#include <algorithm>
#include <string>

#include "almondlink/base/event_log.h"
#include "almondlink/relay/entry_calls.h"
#include "entry_call.h"

/// Callers that are refused: when they are told to return, and how they are
/// admitted when they do. See almondlink/control/returning_callers.h.
namespace almondlink::relay {

namespace {

/// Retry-After if the route is not known, and the minimum.
constexpr Millis kDefaultRetryAfter{300};
constexpr Millis kMinRetryAfter{50};
/// Time that an answer is expected to take, as a part of the time for which the
/// node waits for it or in which it has its full value. Run times of chains are
/// not known at entry; later answers are of little use.
constexpr double kAnswerPart = 0.5;
/// Minimum time between two events of one class.
constexpr Millis kReturnEventInterval{10'000};

}  // namespace

/// Time after which a caller should return if capacity is expected for it:
/// early enough that an answer then is still useful in full, and spread so that
/// callers refused together do not return together. Longer waits did not help
/// (docs/RESULTS.md): callers return in any case, and the answers they get are
/// late.
Millis EntryCalls::UsualRetryAfter(const policy::Route& route) {
  const double middle = this->settings.decisions.return_part *
                        static_cast<double>(route.latency_target.count);
  const Millis spread{static_cast<std::int64_t>(middle * (0.5 + this->Draw()))};
  return std::max(kMinRetryAfter, spread);
}

Millis EntryCalls::RetryAfter(const Call& call) {
  if (call.route == nullptr) {
    return kDefaultRetryAfter;
  }
  const Millis usual = this->UsualRetryAfter(*call.route);
  const auto found = this->returning.find(call.info.root_route);
  if (!this->settings.decisions.admits_returning_first || !call.is_root ||
      found == this->returning.end()) {
    return usual;
  }
  const Millis now = BootTimeNow();
  control::RefusedCaller caller;
  if (call.head.time_left_ms.has_value()) {
    caller.time_left = Millis{*call.head.time_left_ms} - (now - call.arrived);
  }
  caller.usual_wait = usual;
  const Millis answer_limit =
      std::min(call.route->timeout, call.route->latency_target);
  caller.answer_time = Millis{static_cast<std::int64_t>(
      kAnswerPart * static_cast<double>(answer_limit.count))};
  caller.share = call.admission_share;
  // A caller that returned before has used a part of its latency target.
  const control::ReturningClass& state = found->second.callers;
  const Millis longest = std::max(state.longest_stated, state.previous_longest);
  const Millis age = longest - caller.time_left.value_or(longest);
  caller.full_value_wait = call.route->latency_target - caller.answer_time -
                           std::max(Millis{0}, age);
  const control::ReturnPlan plan =
      control::PlanReturn(control::ReturnRules{}, now, caller, this->Draw(),
                          this->Draw(), found->second.callers);
  if (plan.kind == control::ReturnPlan::Kind::kAfterShortage ||
      plan.kind == control::ReturnPlan::Kind::kNoCapacity) {
    this->LogReturnPlan(now, call, plan.wait, found->second);
  }
  return plan.wait;
}

void EntryCalls::LogReturnPlan(Millis now,
                               const Call& call,
                               Millis wait,
                               ReturningState& state) {
  if (state.logged_at.has_value() &&
      now - *state.logged_at < kReturnEventInterval) {
    return;
  }
  state.logged_at = now;
  const control::ReturnRates rates =
      this->ReturnLoadOf(now, call.info.root_route, state).returns;
  LogEvent(kEventReturnsPlanned,
           {{"route", this->RouteName(call.info.root_route)},
            {"retry_after_ms", std::to_string(wait.count)},
            {"invited", std::to_string(rates.invited_per_s)},
            {"returned", std::to_string(rates.returned_per_s)}});
}

/// Rates of the class over all nodes; over this node alone if the sums or the
/// offered rate of the other nodes are not known.
control::ReturnLoad EntryCalls::ReturnLoadOf(
    Millis now,
    std::uint32_t root_route,
    const ReturningState& state) const {
  const control::DecisionSums* totals = this->decisions.Totals(now);
  if (totals != nullptr && state.offered_per_s > 0) {
    const auto sums = totals->returns.find(root_route);
    return {state.offered_per_s, sums == totals->returns.end()
                                     ? control::ReturnRates{}
                                     : sums->second};
  }
  const auto own = this->admission.routes.find(root_route);
  return {
      own == this->admission.routes.end() ? 0 : own->second.offered.per_s,
      control::LocalReturnRates(state.callers),
  };
}

double EntryCalls::ReturnShare(Call& call, double share) {
  call.admission_share = share;
  if (!this->settings.decisions.admits_returning_first) {
    return share;
  }
  const control::ReturnRules rules;
  ReturningState& state = this->returning[call.info.root_route];
  if (call.head.time_left_ms.has_value()) {
    call.is_returning = control::RecordCaller(
        rules, call.arrived, Millis{*call.head.time_left_ms}, state.callers);
  }
  if (share >= 1) {
    return share;
  }
  const control::ReturnShares shares = control::DivideShare(
      rules, control::ShareOf(call.info.root_route, this->admission), share,
      this->ReturnLoadOf(call.arrived, call.info.root_route, state));
  return call.is_returning ? shares.returning : shares.first;
}

void EntryCalls::UpdateReturns(
    Millis now,
    const std::map<std::uint32_t, control::RootTotals>& roots) {
  const double span = static_cast<double>((now - this->returns_updated).count);
  this->returns_updated = now;
  for (auto& [root_route, state] : this->returning) {
    control::UpdateReturningClass(control::ReturnRules{}, now, span,
                                  control::ShareOf(root_route, this->admission),
                                  state.callers);
    const auto total = roots.find(root_route);
    state.offered_per_s =
        total == roots.end() ? 0 : total->second.offered_per_s;
  }
}

/// Classes that are not short are left out: nothing is decided by their rates.
void EntryCalls::AddReturns(control::DecisionSums& sums) const {
  for (const auto& [root_route, state] : this->returning) {
    if (state.callers.short_since.has_value()) {
      sums.returns[root_route] = control::LocalReturnRates(state.callers);
    }
  }
}

void EntryCalls::CountReturnServed(const Call& call) {
  const auto found = this->returning.find(call.info.root_route);
  if (call.is_returning && found != this->returning.end()) {
    ++found->second.callers.counts.returned_served;
  }
}

}  // namespace almondlink::relay
