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
/// Unit of Retry-After in answers, in milliseconds.
constexpr std::int64_t kRetryAfterUnit = 10;
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

control::ReturnAccount EntryCalls::AccountOf(const Call& call) {
  return call.account == nullptr ? 0 : call.account->key.Value();
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
  caller.account = AccountOf(call);
  if (call.head.time_left_ms.has_value()) {
    caller.time_left = Millis{*call.head.time_left_ms} - (now - call.arrived);
  }
  caller.usual_wait = usual;
  const Millis answer_limit =
      std::min(call.route->timeout, call.route->latency_target);
  caller.answer_time = Millis{static_cast<std::int64_t>(
      kAnswerPart * static_cast<double>(answer_limit.count))};
  caller.share = call.admission_share;
  const control::ReturnPlan plan =
      control::PlanReturn(this->settings.decisions.returns, now, caller,
                          this->Draw(), this->Draw(), found->second.callers);
  if (plan.kind == control::ReturnPlan::Kind::kAfterShortage ||
      plan.kind == control::ReturnPlan::Kind::kNoCapacity) {
    this->LogReturnPlan(now, call, plan.wait, found->second);
  }
  if (plan.kind != control::ReturnPlan::Kind::kNoCapacity) {
    return plan.wait;
  }
  // Answers state hundredths of a second; a lower value would be within the
  // caller's deadline.
  return Millis{(plan.wait.count + kRetryAfterUnit - 1) / kRetryAfterUnit *
                kRetryAfterUnit};
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

/// Rates of the class over all nodes; over this node alone if those of the
/// other nodes are not known. Sums that are below the part of this node are
/// incomplete: those of a new aggregator begin with a few nodes.
control::ReturnLoad EntryCalls::ReturnLoadOf(
    Millis now,
    std::uint32_t root_route,
    const ReturningState& state) const {
  const control::ReturnRates own = control::LocalReturnRates(state.callers);
  const control::DecisionSums* totals = this->decisions.Totals(now);
  if (totals != nullptr && state.offered_per_s > 0) {
    const auto sums = totals->returns.find(root_route);
    if (sums != totals->returns.end() &&
        sums->second.invited_per_s >= own.invited_per_s) {
      return {state.offered_per_s, sums->second};
    }
  }
  const auto own_load = this->admission.routes.find(root_route);
  const bool is_known = own_load != this->admission.routes.end();
  return {is_known ? own_load->second.offered.per_s : 0, own};
}

double EntryCalls::ReturnShare(Call& call, double share) {
  call.admission_share = share;
  if (!this->settings.decisions.admits_returning_first) {
    return share;
  }
  const control::ReturnRules& rules = this->settings.decisions.returns;
  ReturningState& state = this->returning[call.info.root_route];
  if (call.head.time_left_ms.has_value()) {
    call.is_returning =
        control::RecordCaller(rules, call.arrived, AccountOf(call),
                              Millis{*call.head.time_left_ms}, state.callers);
  }
  if (share >= 1) {
    return share;
  }
  const control::ReturnShares shares = control::DivideShare(
      rules, control::ShareOf(call.info.root_route, this->admission), share,
      this->ReturnLoadOf(call.arrived, call.info.root_route, state));
  if (!call.is_returning) {
    return shares.first;
  }
  return control::ReturningShare(
      shares, control::CoveredReturns(rules, AccountOf(call), state.callers));
}

void EntryCalls::UpdateReturns(
    Millis now,
    const std::map<std::uint32_t, control::RootTotals>& roots) {
  const double span = static_cast<double>((now - this->returns_updated).count);
  this->returns_updated = now;
  for (auto& [root_route, state] : this->returning) {
    control::UpdateReturningClass(this->settings.decisions.returns, now, span,
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

void EntryCalls::WriteReturns(MetricText& out) const {
  out.Begin("returning_callers_total", "counter",
            "Callers refused while their class was short of capacity, by when "
            "they were told to return (invited: while it lasts; "
            "after_shortage: at its expected end; no_capacity: after their "
            "deadline), and requests that were returns (returned, served).");
  for (const auto& [root_route, state] : this->returning) {
    const std::string route =
        MetricLabel("route", this->RouteName(root_route)) + ",";
    const control::ReturnCounts& counts = state.callers.counts;
    const auto add = [&](const char* kind, std::uint64_t count) {
      out.Add(route + MetricLabel("kind", kind), static_cast<double>(count));
    };
    add("invited", counts.invited);
    add("after_shortage", counts.after_shortage);
    add("no_capacity", counts.no_capacity);
    add("returned", counts.returned);
    add("served", counts.returned_served);
  }
}

}  // namespace almondlink::relay
