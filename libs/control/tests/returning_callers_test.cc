#include <catch2/catch.hpp>
#include <cmath>
#include <functional>
#include <map>
#include <random>
#include <vector>

#include "almondlink/control/returning_callers.h"

namespace almondlink::control {
namespace {

constexpr Millis kDeadline{5000};
constexpr Millis kLatencyTarget{4000};
constexpr double kReturnPart = 0.25;
constexpr Millis kAnswerTime{750};
constexpr Millis kRoundTrip{5};
constexpr Millis kInterval{100};
/// Counted callers arrive after the rates have settled.
constexpr Millis kSettled{20'000};

/// Callers of one kind that arrived after kSettled, by what became of them.
struct Outcomes {
  double callers = 0;
  double served_at_once = 0;
  double served_on_return = 0;
  double refused_twice = 0;
  double refused_once = 0;
  double Served() const {
    return (this->served_at_once + this->served_on_return) / this->callers;
  }
};

/// Load of one class in virtual time.
struct Simulation {
  bool admits_returning_first = true;
  bool has_totals = true;
  std::uint32_t nodes = 20;
  double new_per_s = 400;
  /// Callers per second that can be served, as a function of time.
  std::function<double(Millis)> capacity_per_s;
  Millis length{120'000};
  /// Part of the callers that states a deadline shorter by `cheat`.
  double cheating_part = 0;
  Millis cheat{1000};
  /// Called for each refusal with the time at which its caller would return.
  std::function<void(Millis now, Millis wait, const ReturnPlan& plan)>
      on_refused;
};

struct Caller {
  Millis deadline;
  bool is_cheat = false;
  bool is_return = false;
  bool is_counted = false;
};

struct Result {
  Outcomes honest;
  Outcomes cheating;
  /// Attempts of returning callers by second of the attempt.
  std::map<std::int64_t, double> returned;
  std::map<std::int64_t, double> returned_served;
  std::map<std::int64_t, double> admitted;
};

/// Plays the load. Callers return once, and only if told to within their
/// deadline. The class share is what the capacity allows of the offered rate of
/// the last second, as for the real admission.
Result Play(const Simulation& simulation) {
  const ReturnRules rules;
  std::mt19937 random(7);
  std::uniform_real_distribution<double> draw(0, 1);
  std::vector<ReturningClass> nodes(simulation.nodes);
  std::vector<RateMeter> offered(simulation.nodes);
  ReturnLoad totals;
  double share = 1;
  std::multimap<std::int64_t, Caller> arrivals;
  Result result;
  double carry = 0;
  for (Millis now{0}; now < simulation.length; now = now + Millis{1}) {
    if (now.count % kInterval.count == 0) {
      ReturnLoad sum;
      for (std::size_t i = 0; i < nodes.size(); ++i) {
        UpdateRate(static_cast<double>(kInterval.count), 1000, offered[i]);
        UpdateReturningClass(rules, now, static_cast<double>(kInterval.count),
                             share, nodes[i]);
        const ReturnRates rates = LocalReturnRates(nodes[i]);
        sum.offered_per_s += offered[i].per_s;
        sum.returns.invited_per_s += rates.invited_per_s;
        sum.returns.returned_per_s += rates.returned_per_s;
      }
      const double capacity = simulation.capacity_per_s(now);
      share = sum.offered_per_s > capacity ? capacity / sum.offered_per_s : 1;
      // Totals of returns are as old as the interval of the sums.
      totals.offered_per_s = sum.offered_per_s;
      if (now.count % kDecisionInterval.count == 0) {
        totals.returns = sum.returns;
      }
    }
    for (carry += simulation.new_per_s / 1000; carry >= 1; carry -= 1) {
      Caller caller;
      caller.deadline = now + kDeadline;
      caller.is_cheat = draw(random) < simulation.cheating_part;
      caller.is_counted =
          now >= kSettled && now < simulation.length - kDeadline;
      (caller.is_cheat ? result.cheating : result.honest).callers +=
          caller.is_counted ? 1 : 0;
      arrivals.emplace(now.count, caller);
    }
    for (auto entry = arrivals.begin();
         entry != arrivals.end() && entry->first <= now.count;
         entry = arrivals.erase(entry)) {
      const Caller caller = entry->second;
      const auto node = static_cast<std::size_t>(
          draw(random) * static_cast<double>(nodes.size()));
      ReturningClass& state = nodes[node];
      ++offered[node].events;
      Millis time_left = caller.deadline - now;
      if (caller.is_cheat) {
        time_left = time_left - simulation.cheat;
      }
      const bool is_returning = RecordCaller(rules, now, time_left, state);
      double admitted_share = share;
      if (simulation.admits_returning_first) {
        const ReturnLoad own{offered[node].per_s, LocalReturnRates(state)};
        const ReturnShares shares = DivideShare(
            rules, share, share, simulation.has_totals ? totals : own);
        admitted_share = is_returning ? shares.returning : shares.first;
      }
      const bool is_served = draw(random) < admitted_share;
      if (caller.is_return) {
        ++result.returned[now.count / 1000];
        result.returned_served[now.count / 1000] += is_served ? 1 : 0;
      }
      result.admitted[now.count / 1000] += is_served ? 1 : 0;
      Outcomes unused;
      Outcomes& outcomes = !caller.is_counted ? unused
                           : caller.is_cheat  ? result.cheating
                                              : result.honest;
      if (is_served) {
        ++(caller.is_return ? outcomes.served_on_return
                            : outcomes.served_at_once);
        continue;
      }
      const double middle =
          kReturnPart * static_cast<double>(kLatencyTarget.count);
      RefusedCaller refused;
      refused.time_left = time_left;
      refused.usual_wait =
          Millis{static_cast<std::int64_t>(middle * (0.5 + draw(random)))};
      refused.answer_time = kAnswerTime;
      refused.share = share;
      ReturnPlan plan{ReturnPlan::Kind::kNoShortage, refused.usual_wait};
      if (simulation.admits_returning_first) {
        plan =
            PlanReturn(rules, now, refused, draw(random), draw(random), state);
      }
      if (simulation.on_refused) {
        simulation.on_refused(now, plan.wait, plan);
      }
      if (caller.is_return) {
        ++outcomes.refused_twice;
        continue;
      }
      const Millis returns_at = now + kRoundTrip + plan.wait;
      if (returns_at >= caller.deadline) {
        ++outcomes.refused_once;
        continue;
      }
      Caller returning = caller;
      returning.is_return = true;
      arrivals.emplace(returns_at.count, returning);
    }
  }
  return result;
}

Simulation LastingShortage() {
  Simulation simulation;
  simulation.capacity_per_s = [](Millis) { return 300.0; };
  return simulation;
}

// Guards against callers that are refused twice although there is capacity for
// them, and against new callers that are all refused once.
TEST_CASE("callers that return are served and new ones mostly at once") {
  Simulation simulation = LastingShortage();
  const Outcomes planned = Play(simulation).honest;
  CHECK(planned.served_at_once / planned.callers == Approx(0.6).margin(0.03));
  CHECK(planned.served_on_return / planned.callers ==
        Approx(0.15).margin(0.03));
  CHECK(planned.refused_twice / planned.callers < 0.02);
  CHECK(planned.Served() == Approx(0.75).margin(0.02));

  simulation.admits_returning_first = false;
  const Outcomes drawn = Play(simulation).honest;
  CHECK(drawn.refused_twice / drawn.callers == Approx(0.25).margin(0.02));
  CHECK(drawn.Served() == Approx(0.75).margin(0.02));
}

// Guards against a preference that changes how many requests are admitted, for
// a class and for accounts with another share.
TEST_CASE("divided shares admit what the share allows") {
  const ReturnRules rules;
  for (const double share : {0.02, 0.1, 0.3, 0.65, 0.9, 0.99}) {
    for (const double returned : {0.0, 1.0, 10.0, 19.0, 25.0, 60.0}) {
      for (const double invited : {1.0, 10.0, 19.0, 25.0}) {
        const ReturnLoad load{100, {invited, returned}};
        const ReturnShares shares = DivideShare(rules, share, share, load);
        const double admitted =
            returned * shares.returning + (100 - returned) * shares.first;
        INFO("share " << share << " returned " << returned << " invited "
                      << invited);
        CHECK(admitted == Approx(100 * share));
        CHECK(shares.returning >= shares.first);
        CHECK(shares.returning <= 1);
        CHECK(shares.first >= 0);
      }
    }
  }
  // An account with half the share of its class is invited accordingly.
  const ReturnShares of_account = DivideShare(rules, 0.6, 0.3, {100, {12, 12}});
  CHECK(of_account.returning == Approx(1));
  CHECK(0.06 * of_account.returning + 0.94 * of_account.first == Approx(0.3));
}

// Guards against a preference for requests that cannot be returns, because
// nobody was invited, and for those that exceed the invitations.
TEST_CASE("the preference is scaled down to the invited callers") {
  const ReturnRules rules;
  const ReturnShares none = DivideShare(rules, 0.5, 0.5, {100, {0, 30}});
  CHECK(none.returning == 0.5);
  CHECK(none.first == 0.5);
  const ReturnShares honest = DivideShare(rules, 0.5, 0.5, {100, {10, 10}});
  const ReturnShares doubled = DivideShare(rules, 0.5, 0.5, {100, {10, 20}});
  CHECK(honest.returning == Approx(1));
  CHECK(doubled.returning - doubled.first ==
        Approx((honest.returning - honest.first) / 2));
  // The first callers come back before any return has been counted.
  CHECK(DivideShare(rules, 0.5, 0.5, {100, {10, 0}}).returning == 1);
}

// Guards against shorter stated deadlines as a way to more service: what such
// clients gain together is bounded by the invitations, and falls with their
// number.
TEST_CASE("clients that state short deadlines gain less the more they are") {
  double last_gain = 1;
  for (const double part : {0.1, 0.3, 0.6}) {
    Simulation simulation = LastingShortage();
    simulation.cheating_part = part;
    const Result result = Play(simulation);
    const double gain = result.cheating.Served() - result.honest.Served();
    INFO("part " << part << " gain " << gain << " honest "
                 << result.honest.Served());
    CHECK(gain < last_gain);
    last_gain = gain;
  }
}

// Guards against callers that are told to return before the end of a short
// shortage, and against callers that are told to stay away although it is over
// soon.
TEST_CASE("callers refused in a short shortage are served after it") {
  Simulation simulation;
  const Millis begin{20'000};
  const Millis end{22'000};
  simulation.length = Millis{40'000};
  simulation.capacity_per_s = [begin, end](Millis now) {
    return now >= begin && now < end ? 120.0 : 1000.0;
  };
  double told_in_time = 0;
  double told = 0;
  simulation.on_refused = [&](Millis now, Millis wait, const ReturnPlan&) {
    ++told;
    told_in_time += now + wait < begin + kDeadline ? 1 : 0;
  };
  const Result result = Play(simulation);
  double returned = 0;
  double served = 0;
  for (const auto& [second, count] : result.returned) {
    if (second >= end.count / 1000) {
      returned += count;
      served += result.returned_served.at(second);
    }
  }
  CHECK(told_in_time == told);
  CHECK(served == returned);
  CHECK(served > 0);

  simulation.on_refused = nullptr;
  simulation.admits_returning_first = false;
  const Result drawn = Play(simulation);
  CHECK(result.honest.refused_twice < drawn.honest.refused_twice);
}

// Guards against decisions that need the sums of other nodes.
TEST_CASE("a node without totals uses its own counts") {
  Simulation simulation = LastingShortage();
  simulation.nodes = 10;
  simulation.has_totals = false;
  const Outcomes planned = Play(simulation).honest;
  CHECK(planned.refused_twice / planned.callers < 0.05);
  CHECK(planned.Served() == Approx(0.75).margin(0.03));
}

// Guards against an age of the shortage from before the node's start.
TEST_CASE("a node that starts in a shortage measures it from its start") {
  const ReturnRules rules;
  ReturningClass state;
  UpdateReturningClass(rules, Millis{1'000'000}, 100, 0.5, state);
  RefusedCaller caller;
  caller.time_left = kDeadline;
  caller.usual_wait = Millis{1000};
  caller.answer_time = kAnswerTime;
  caller.share = 0.5;
  const double not_invited = 0.99;
  const double middle = 0.5;
  const ReturnPlan young =
      PlanReturn(rules, Millis{1'002'000}, caller, not_invited, middle, state);
  CHECK(young.kind == ReturnPlan::Kind::kAfterShortage);
  CHECK(young.wait == Millis{2000});
  const ReturnPlan old =
      PlanReturn(rules, Millis{1'020'000}, caller, not_invited, middle, state);
  CHECK(old.kind == ReturnPlan::Kind::kNoCapacity);
  CHECK(old.wait == Millis{20'000});
  const ReturnPlan late =
      PlanReturn(rules, Millis{1'004'500}, caller, not_invited, middle, state);
  CHECK(late.kind == ReturnPlan::Kind::kNoCapacity);
  CHECK(late.wait == kDeadline);
  const ReturnPlan invited =
      PlanReturn(rules, Millis{1'020'000}, caller, 0.1, middle, state);
  CHECK(invited.kind == ReturnPlan::Kind::kInvited);
  CHECK(invited.wait == Millis{1000});
  CHECK(state.counts.invited == 1);
  CHECK(state.counts.after_shortage == 1);
  CHECK(state.counts.no_capacity == 2);
  // Nobody is invited too late for an answer.
  caller.time_left = Millis{1500};
  CHECK(PlanReturn(rules, Millis{1'020'000}, caller, 0.1, middle, state).kind ==
        ReturnPlan::Kind::kNoCapacity);
  // A caller without a deadline is told when capacity is expected.
  caller.time_left.reset();
  CHECK(PlanReturn(rules, Millis{1'020'000}, caller, not_invited, middle, state)
            .kind == ReturnPlan::Kind::kAfterShortage);
}

// Guards against an age that begins anew with each wave of a demand that
// oscillates around the capacity.
TEST_CASE("a shortage ends after a second in which all were admitted") {
  const ReturnRules rules;
  ReturningClass state;
  Millis now{10'000};
  const auto update = [&](double share, Millis time) {
    for (const Millis until = now + time; now < until; now = now + kInterval) {
      UpdateReturningClass(rules, now, 100, share, state);
    }
  };
  update(0.5, Millis{3000});
  update(1, Millis{900});
  update(0.9, Millis{3000});
  CHECK(state.short_since == Millis{10'000});
  update(1, Millis{1100});
  CHECK(!state.short_since.has_value());
  const Millis again = now;
  update(0.9, Millis{300});
  CHECK(state.short_since == again);
}

// Guards against new callers that are taken for returning ones and the
// opposite.
TEST_CASE("a request returns if clearly less time is left than usual") {
  const ReturnRules rules;
  ReturningClass state;
  Millis now{1000};
  CHECK_FALSE(RecordCaller(rules, now, Millis{5000}, state));
  CHECK_FALSE(RecordCaller(rules, now, Millis{4950}, state));
  CHECK(RecordCaller(rules, now, Millis{4949}, state));
  CHECK_FALSE(RecordCaller(rules, now, std::nullopt, state));
  CHECK(state.counts.returned == 1);
  // Clients change to a shorter deadline: the longer one is forgotten.
  now = now + rules.deadline_window;
  CHECK(RecordCaller(rules, now, Millis{1000}, state));
  now = now + rules.deadline_window;
  CHECK_FALSE(RecordCaller(rules, now, Millis{1000}, state));
  CHECK_FALSE(RecordCaller(rules, now, Millis{975}, state));
  CHECK(RecordCaller(rules, now, Millis{974}, state));
  now = now + rules.deadline_window * 5;
  CHECK_FALSE(RecordCaller(rules, now, Millis{500}, state));
}

}  // namespace
}  // namespace almondlink::control
