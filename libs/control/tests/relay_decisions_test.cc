#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "almondlink/control/instance_tracker.h"
#include "almondlink/control/placement.h"
#include "almondlink/control/repeat_allowance.h"

namespace almondlink::control {
namespace {

// ---- placement ----

PlacementTarget OpenTarget(std::uint32_t slots,
                           std::uint32_t load,
                           double work_ms) {
  PlacementTarget target;
  target.is_open = true;
  target.slots = slots;
  target.reported_load = load;
  target.work_ms = work_ms;
  return target;
}

TEST_CASE("a slow target gets the requests that the others cannot take") {
  // One target becomes 12 times slower while the others are nearly full.
  REQUIRE(ExpectedTimeMs(OpenTarget(40, 38, 22), 22) <
          ExpectedTimeMs(OpenTarget(40, 1, 264), 22));
  REQUIRE(ExpectedTimeMs(OpenTarget(40, 200, 22), 22) >
          ExpectedTimeMs(OpenTarget(40, 1, 264), 22));
}

TEST_CASE("the own zone is preferred unless another is much faster") {
  std::vector<PlacementTarget> targets = {OpenTarget(40, 20, 20),
                                          OpenTarget(40, 5, 20)};
  targets[0].is_own_zone = true;
  REQUIRE(ChoosePlacementTarget(PlacementRules(), targets, Millis{0},
                                PlacementDraws()) == 0U);
  targets[0].reported_load = 60;
  REQUIRE(ChoosePlacementTarget(PlacementRules(), targets, Millis{0},
                                PlacementDraws()) == 1U);
}

TEST_CASE("a target without estimates is assumed to be as fast as the others") {
  std::vector<PlacementTarget> targets = {OpenTarget(40, 30, 20),
                                          OpenTarget(40, 0, 0)};
  REQUIRE(ChoosePlacementTarget(PlacementRules(), targets, Millis{0},
                                PlacementDraws()) == 1U);
}

TEST_CASE("the own zone is preferred while its expected time is acceptable") {
  // Calls of 15 ms with a latency target of 300 ms; the target in the own zone
  // is a third as fast as one in another zone. Crossing zones would save only
  // milliseconds that the caller does not need.
  std::vector<PlacementTarget> targets = {OpenTarget(47, 5, 30),
                                          OpenTarget(47, 5, 10)};
  targets[0].is_own_zone = true;
  PlacementRules rules;
  REQUIRE(ChoosePlacementTarget(rules, targets, Millis{0}, PlacementDraws()) ==
          1U);
  rules.acceptable_ms = 99;
  REQUIRE(ChoosePlacementTarget(rules, targets, Millis{0}, PlacementDraws()) ==
          0U);
  // The own zone is not used when its target is full or its expected time is
  // above the limit.
  targets[0].reported_load = 100;
  REQUIRE(ChoosePlacementTarget(rules, targets, Millis{0}, PlacementDraws()) ==
          1U);
  targets[0].reported_load = 5;
  rules.acceptable_ms = 20;
  REQUIRE(ChoosePlacementTarget(rules, targets, Millis{0}, PlacementDraws()) ==
          1U);
}

TEST_CASE("load is spread over all targets whose expected time is acceptable") {
  // A target that just joined is slower for some seconds than the other one of
  // its zone. Chosen by time alone, it would get no requests under light load.
  std::vector<PlacementTarget> targets = {OpenTarget(31, 2, 40),
                                          OpenTarget(31, 0, 80)};
  targets[0].is_own_zone = true;
  targets[1].is_own_zone = true;
  PlacementRules rules;
  REQUIRE(ChoosePlacementTarget(rules, targets, Millis{0}, PlacementDraws()) ==
          0U);
  rules.acceptable_ms = 99;
  REQUIRE(ChoosePlacementTarget(rules, targets, Millis{0}, PlacementDraws()) ==
          1U);
}

TEST_CASE("a target that fails part of its requests counts as slower") {
  // Two of three targets fail two fifths of their requests. Five failures in a
  // row are rare, so neither is ejected as an outlier.
  std::vector<PlacementTarget> targets = {OpenTarget(47, 20, 15),
                                          OpenTarget(47, 20, 15)};
  targets[0].health.failure_rate = 0.4;
  REQUIRE(ChoosePlacementTarget(PlacementRules(), targets, Millis{0},
                                PlacementDraws()) == 1U);
  // A failing target still takes the requests that the other one cannot.
  targets[1].reported_load = 100;
  REQUIRE(ChoosePlacementTarget(PlacementRules(), targets, Millis{0},
                                PlacementDraws()) == 0U);
}

TEST_CASE("targets that all fail alike are not ejected as outliers") {
  // All targets of a service refuse half of their calls. Each has five failures
  // in a row now and then; ejecting them took a third of the slots out of use.
  TargetHealth health;
  HealthRules rules;
  for (int i = 0; i < 200; ++i) {
    RecordOutcome(rules, Millis{i}, i % 2 == 0, 0.5, health);
  }
  for (int i = 0; i < 5; ++i) {
    REQUIRE_FALSE(RecordOutcome(rules, Millis{200}, true, 0.5, health));
  }
  REQUIRE(MayUse(Millis{201}, health));
  // A target that fails while the others do not is ejected.
  REQUIRE(RecordOutcome(rules, Millis{202}, true, 0.02, health));
}

TEST_CASE("neither closed nor tried targets are chosen") {
  std::vector<PlacementTarget> targets = {OpenTarget(40, 0, 20),
                                          OpenTarget(40, 0, 20)};
  targets[0].is_open = false;
  targets[1].is_tried = true;
  REQUIRE_FALSE(ChoosePlacementTarget(PlacementRules(), targets, Millis{0},
                                      PlacementDraws())
                    .has_value());
}

// ---- repeat allowance ----

TEST_CASE(
    "the repeats of all nodes together stay within the bound of the system") {
  RepeatRules rules;
  rules.ratio = 0.2;
  rules.window = Millis{10'000};
  rules.fixed = 47;
  rules.nodes = 13;
  rules.usable_share = 1;
  int repeats = 0;
  for (std::uint32_t node = 0; node < rules.nodes; ++node) {
    RepeatAllowance allowance;
    for (int i = 0; i < 100; ++i) {
      RecordRequest(rules, Millis{1000 + i * 10}, allowance);
      repeats += TakeRepeat(rules, 0, Millis{1000 + i * 10}, allowance) ? 1 : 0;
    }
  }
  REQUIRE(repeats <= 0.2 * 1300 + 47);
  REQUIRE(repeats > 200);
}

TEST_CASE("repeats made inside a repeated run are charged to the allowance") {
  RepeatRules rules;
  rules.usable_share = 0.5;
  RepeatAllowance allowance;
  for (int i = 0; i < 100; ++i) {
    RecordRequest(rules, Millis{1000}, allowance);
  }
  for (int i = 0; i < 10; ++i) {
    RecordRepeat(rules, Millis{1000}, allowance);
  }
  REQUIRE_FALSE(TakeRepeat(rules, 0, Millis{1000}, allowance));
  // After the window has passed, nothing is owed and nothing is saved up.
  REQUIRE_FALSE(TakeRepeat(rules, 0, Millis{30'000}, allowance));
}

// ---- instance tracker ----

InstanceReport Report(const std::string& id, std::uint64_t sequence) {
  InstanceReport report;
  report.incarnation.id = id;
  report.service = "stock";
  report.capacity = 50;
  report.sequence = sequence;
  return report;
}

TEST_CASE("scarce repeats go to the same requests of highest priority") {
  // Every target of a service deep in the chain refuses half of its calls. When
  // repeats were granted in order of arrival, only 5 of 100 chains of five
  // calls completed.
  RepeatRules rules;
  RepeatAllowance allowance;
  constexpr int kCalls = 5;
  std::map<std::uint32_t, std::pair<int, int>> counts;
  std::mt19937_64 random(3);
  std::uniform_real_distribution<double> draw(0, 1);
  for (int i = 0; i < 20'000; ++i) {
    // A hundred chains per second, a third of them of each priority.
    const Millis now{1000 + i * 10};
    const std::uint32_t priority = static_cast<std::uint32_t>(i) % 3;
    const double place = RepeatRank({priority, kCalls, 0, random()});
    bool is_complete = true;
    for (int call = 0; call < kCalls && is_complete; ++call) {
      RecordRequest(rules, now, allowance);
      is_complete =
          draw(random) < 0.5 ||
          (TakeRepeat(rules, place, now, allowance) && draw(random) < 0.5);
    }
    ++counts[priority].first;
    counts[priority].second += is_complete ? 1 : 0;
  }
  const auto share = [&counts](std::uint32_t priority) {
    return static_cast<double>(counts[priority].second) /
           counts[priority].first;
  };
  // With each call repeated at most once 0.75 to the fifth power, 0.24, of the
  // chains complete, and 0.03 without repeats.
  REQUIRE(share(0) > 0.1);
  REQUIRE(share(0) > 2 * share(2));
}

TEST_CASE("with few requests the last in the order is repeated too") {
  // With only ten requests, the last two in the order were denied a repeat
  // although no other request needed one.
  RepeatRules rules;
  rules.fixed = 40;
  rules.nodes = 2;
  RepeatAllowance allowance;
  for (int i = 0; i < 10; ++i) {
    RecordRequest(rules, Millis{1000}, allowance);
    REQUIRE(TakeRepeat(rules, 0.99, Millis{1000}, allowance));
  }
}

TEST_CASE("the order of requests for repeats is by priority first") {
  const auto place = [](std::uint32_t priority, double calls,
                        std::uint64_t hash) {
    return RepeatRank({priority, calls, 0, hash});
  };
  REQUIRE(place(0, 8, ~0ULL) < place(1, 1, 0));
  REQUIRE(place(1, 8, ~0ULL) < place(2, 1, 0));
  REQUIRE(place(7, 8, ~0ULL) < 1);
  REQUIRE(place(2, 1, 1ULL << 40) < place(2, 1, 1ULL << 50));
  // Among requests of equal priority, those that a single repeat completes come
  // first.
  REQUIRE(place(2, 1, ~0ULL) < place(2, 4, 0));
}

TEST_CASE("requests with most of their chain done are repeated first") {
  const auto place = [](std::uint32_t done, std::uint64_t hash) {
    return RepeatRank({1, 4, done, hash});
  };
  REQUIRE(place(3, ~0ULL) < place(2, 0));
  REQUIRE(place(2, ~0ULL) < place(1, 0));
  REQUIRE(place(1, ~0ULL) < place(0, 0));
  REQUIRE(place(0, 1ULL << 40) < place(0, 1ULL << 50));
  // Never before a request of higher priority.
  REQUIRE(RepeatRank({0, 4, 0, ~0ULL}) < place(3, 0));
}

TEST_CASE("a late report of an ended instance does not restore it") {
  // A delayed report arrives after its sender has ended and another instance
  // has taken over the address.
  InstanceTracker tracker;
  ApplyReport(Millis{0}, Report("old", 7), tracker);
  REQUIRE(ApplyReport(Millis{1}, Report("new", 1), tracker) ==
          ReportEffect::kChanged);
  REQUIRE(ApplyReport(Millis{2}, Report("old", 6), tracker) ==
          ReportEffect::kIgnored);
  REQUIRE(tracker.current.incarnation.id == "new");
}

TEST_CASE("an instance replaced by mistake is restored by a newer report") {
  InstanceTracker tracker;
  ApplyReport(Millis{0}, Report("living", 7), tracker);
  ApplyReport(Millis{1}, Report("late", 3), tracker);
  REQUIRE(ApplyReport(Millis{2}, Report("living", 8), tracker) ==
          ReportEffect::kChanged);
  REQUIRE(tracker.current.incarnation.id == "living");
}

TEST_CASE("a leaving instance stays leaving across a restart of its node") {
  // The node restarts after it has acknowledged the leave. Its peers still know
  // of it, and a delayed ready report arrives.
  InstanceTracker tracker;
  RestoreDeparted(Millis{0}, {"going", 0}, tracker);
  REQUIRE(tracker.phase == InstancePhase::kNone);
  ApplyReport(Millis{1}, Report("going", 9), tracker);
  REQUIRE(tracker.phase == InstancePhase::kLeaving);
}

TEST_CASE("a leave without a report is applied once") {
  InstanceTracker tracker;
  ApplyReport(Millis{0}, Report("a", 1), tracker);
  REQUIRE(ApplyLeave(Millis{5}, {"a", 0}, tracker) == ReportEffect::kChanged);
  REQUIRE(ApplyLeave(Millis{9}, {"a", 0}, tracker) == ReportEffect::kRefreshed);
  REQUIRE(tracker.leaving_since == Millis{5});
  REQUIRE(ApplyLeave(Millis{9}, {"b", 0}, tracker) == ReportEffect::kIgnored);
}

TEST_CASE("a leaving instance does not replace a live one") {
  InstanceTracker tracker;
  ApplyReport(Millis{0}, Report("living", 1), tracker);
  InstanceReport leaving = Report("other", 5);
  leaving.is_leaving = true;
  REQUIRE(ApplyReport(Millis{1}, leaving, tracker) == ReportEffect::kIgnored);
  REQUIRE(tracker.current.incarnation.id == "living");
}

TEST_CASE("a few slots of an instance stay unused") {
  InstanceTracker tracker;
  REQUIRE(UsableSlots(tracker) == 0);
  InstanceReport report = Report("a", 1);
  report.capacity = 43;
  ApplyReport(Millis{0}, report, tracker);
  REQUIRE(UsableSlots(tracker) == 40);
}

TEST_CASE("a request waits for a target only while one is expected") {
  const Millis latency_target{1000};
  const Millis left{4000};
  // When all hosts lose power, it takes one and a half seconds until all
  // targets have reported themselves. Calls of admitted root requests that were
  // refused in this time failed the whole request.
  const Millis report{3000};
  REQUIRE(MaxWaitForTarget(report, Millis{100}, false, latency_target, left) ==
          Millis{2900});
  REQUIRE(MaxWaitForTarget(report, Millis{100}, true, latency_target, left) ==
          Millis{500});
  REQUIRE(MaxWaitForTarget(report, Millis{2800}, true, latency_target, left) ==
          Millis{200});
  REQUIRE(MaxWaitForTarget(report, Millis{3000}, false, latency_target, left) ==
          Millis{0});
  REQUIRE(MaxWaitForTarget(report, Millis{60'000}, true, latency_target,
                           left) == Millis{0});
  REQUIRE(MaxWaitForTarget(report, Millis{100}, false, latency_target,
                           Millis{200}) == Millis{170});
  REQUIRE(MaxWaitForTarget(report, Millis{100}, false, latency_target,
                           Millis{10}) == Millis{0});
}

TEST_CASE("a target whose rate limit is used up is not chosen") {
  const PlacementDraws draws{0.1, 0.1, 0.1, 0.1};
  std::vector<PlacementTarget> targets = {OpenTarget(40, 0, 5),
                                          OpenTarget(40, 39, 50)};
  targets[0].is_limited = true;
  REQUIRE(ChoosePlacementTarget(PlacementRules(), targets, Millis{0}, draws) ==
          1);
  targets[1].is_limited = true;
  REQUIRE(!ChoosePlacementTarget(PlacementRules(), targets, Millis{0}, draws)
               .has_value());
}

TEST_CASE("an ejected target is not used because the other one is limited") {
  const PlacementDraws draws{0.1, 0.1, 0.1, 0.1};
  std::vector<PlacementTarget> targets = {OpenTarget(40, 0, 5),
                                          OpenTarget(40, 0, 5)};
  HealthRules rules;
  for (int i = 0; i < 50; ++i) {
    RecordOutcome(rules, Millis{i}, true, 0, targets[1].health);
  }
  REQUIRE(!MayUse(Millis{60}, targets[1].health));
  targets[0].is_limited = true;
  REQUIRE(!ChoosePlacementTarget(PlacementRules(), targets, Millis{60}, draws)
               .has_value());
}

}  // namespace
}  // namespace almondlink::control
