#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <queue>
#include <random>
#include <vector>

#include "almondlink/control/placement.h"
#include "almondlink/control/run_times.h"

/// Load of the tests: one zone whose targets differ in speed, and two routes.
/// `deliver` takes 260 ms at a target of speed 1, 3% of its runs seven times as
/// long, and has a timeout of 1,500 ms; `lookup` takes 15 ms. Ten entry nodes
/// choose targets from the reports that they get every 250 ms and with their
/// own answers.
namespace almondlink::control {
namespace {

constexpr std::array<double, 3> kSpeeds = {0.6, 1.0, 1.4};
constexpr std::uint32_t kSlots = 100;
constexpr std::size_t kNodes = 10;
constexpr double kTimeoutMs = 1500;
constexpr double kReportMs = 250;
constexpr double kAcceptablePart = 0.25;

struct RouteLoad {
  double run_ms = 0;
  double latency_target_ms = 0;
  double calls_per_ms = 0;
};

struct ZoneResult {
  std::array<double, 2> calls{};
  std::array<double, 2> late{};
  std::array<std::array<double, 3>, 2> placed{};
  std::array<double, 3> most_running{};
  std::array<double, 3> slot_ms{};
  /// Calls that were sent to a target with all slots taken while at least a
  /// tenth of the slots of another one were free.
  double overruns = 0;
};

/// A call that ends at a target.
struct End {
  double at_ms = 0;
  std::size_t target = 0;
  std::size_t node = 0;
  bool operator>(const End& other) const { return this->at_ms > other.at_ms; }
};

/// What an entry node knows of a target.
struct View {
  std::uint32_t reported = 0;
  std::uint32_t sent_since = 0;
};

RunTimeHistogram SeenRuns(double run_ms, std::mt19937& random) {
  std::uniform_real_distribution<double> spread(0.8, 1.2);
  std::bernoulli_distribution is_long(0.03);
  RunTimeHistogram seen;
  for (int i = 0; i < 2000; ++i) {
    const double ms = run_ms * spread(random) * (is_long(random) ? 7 : 1);
    if (ms > kTimeoutMs) {
      RecordCutRun(LatencyMs{kTimeoutMs}, 1, seen);
    } else {
      RecordRunTime(LatencyMs{ms}, 1, seen);
    }
  }
  return seen;
}

/// Runs the zone for a minute. Mean occupancy of the slots: `occupancy`, a
/// third of it by lookups.
ZoneResult RunZone(double occupancy, bool fits_targets) {
  std::mt19937 random(11);
  const double slots_of_speed_1 = kSlots * (0.6 + 1.0 + 1.4) * occupancy;
  const std::array<RouteLoad, 2> routes = {
      RouteLoad{260, 1500, slots_of_speed_1 * 2 / 3 / (260 * 1.18)},
      RouteLoad{15, 300, slots_of_speed_1 / 3 / (15 * 1.18)}};
  const std::array<RunTimeHistogram, 2> seen = {
      SeenRuns(routes[0].run_ms, random), SeenRuns(routes[1].run_ms, random)};
  std::uniform_real_distribution<double> uniform(0, 1);
  std::uniform_real_distribution<double> spread(0.8, 1.2);
  std::bernoulli_distribution is_long(0.03);
  std::priority_queue<End, std::vector<End>, std::greater<>> ends;
  std::array<std::uint32_t, 3> running{};
  std::array<std::array<View, 3>, kNodes> views{};
  ZoneResult result;
  const double per_ms = routes[0].calls_per_ms + routes[1].calls_per_ms;
  std::exponential_distribution<double> gap(per_ms);
  double next_report_ms = 0;
  for (double now_ms = 0; now_ms < 60000; now_ms += gap(random)) {
    while (!ends.empty() && ends.top().at_ms <= now_ms) {
      const End end = ends.top();
      ends.pop();
      --running[end.target];
      views[end.node][end.target] = {running[end.target], 0};
    }
    if (now_ms >= next_report_ms) {
      next_report_ms += kReportMs;
      for (std::array<View, 3>& view : views) {
        for (std::size_t i = 0; i < kSpeeds.size(); ++i) {
          view[i] = {running[i], 0};
        }
      }
    }
    const std::size_t route =
        uniform(random) * per_ms < routes[0].calls_per_ms ? 0 : 1;
    const auto node = static_cast<std::size_t>(uniform(random) * kNodes);
    std::vector<PlacementTarget> targets(kSpeeds.size());
    for (std::size_t i = 0; i < kSpeeds.size(); ++i) {
      PlacementTarget& target = targets[i];
      target.is_own_zone = true;
      target.is_open = true;
      target.slots = kSlots;
      target.reported_load = views[node][i].reported;
      target.sent_since = views[node][i].sent_since;
      // The mean over both routes, as targets report it.
      target.work_ms = 37 / kSpeeds[i];
      if (fits_targets) {
        target.speed = kSpeeds[i];
        target.late_chance =
            ChanceToBeLate(seen[route], LatencyMs{kTimeoutMs}, kSpeeds[i]);
      }
    }
    PlacementRules rules;
    rules.acceptable_ms = kAcceptablePart * routes[route].latency_target_ms;
    if (fits_targets) {
      rules.mean_run_ms = MeanRunTimeMs(seen[route]);
      rules.late_penalty_ms = kTimeoutMs;
    }
    const std::size_t chosen =
        ChoosePlacementTarget(rules, targets, Millis{0},
                              {uniform(random), uniform(random),
                               uniform(random), uniform(random)})
            .value();
    const double queued =
        running[chosen] < kSlots ? 0 : running[chosen] - kSlots + 1.0;
    const double run_ms = routes[route].run_ms * spread(random) *
                          (is_long(random) ? 7 : 1) / kSpeeds[chosen];
    const double took_ms = run_ms + queued / kSlots * 37 / kSpeeds[chosen];
    const auto least = *std::min_element(running.begin(), running.end());
    result.overruns +=
        running[chosen] >= kSlots && least <= 0.9 * kSlots ? 1 : 0;
    ++views[node][chosen].sent_since;
    ++running[chosen];
    ends.push({now_ms + std::min(took_ms, kTimeoutMs), chosen, node});
    result.calls[route] += 1;
    result.late[route] += took_ms > kTimeoutMs ? 1 : 0;
    result.placed[route][chosen] += 1;
    result.slot_ms[chosen] += std::min(run_ms, kTimeoutMs);
    result.most_running[chosen] =
        std::max<double>(result.most_running[chosen], running[chosen]);
  }
  return result;
}

TEST_CASE("calls that may run out of time go to the fast targets") {
  // Two acceptable targets were compared by occupancy alone, so the slow one
  // got as many long calls as the others and those with long runs failed.
  const ZoneResult before = RunZone(0.1, false);
  const ZoneResult fitted = RunZone(0.1, true);
  const double late_before = before.late[0] / before.calls[0];
  const double late_fitted = fitted.late[0] / fitted.calls[0];
  INFO("late before " << late_before << ", fitted " << late_fitted);
  REQUIRE(late_fitted < 0.5 * late_before);
  REQUIRE(late_fitted <= 0.013);
  // Short calls are safe everywhere: they fill the slots that the long ones
  // leave free and must not follow them to one target.
  for (std::size_t i = 0; i < kSpeeds.size(); ++i) {
    INFO("target " << i << " got " << fitted.placed[1][i]);
    REQUIRE(fitted.placed[1][i] <= 0.6 * fitted.calls[1]);
  }
}

TEST_CASE("calls at risk do not overrun the fast target") {
  // All nodes prefer the same target. Without its occupancy in the cost, or
  // with a report that is seconds old, it would queue while others are free.
  const ZoneResult fitted = RunZone(0.9, true);
  for (std::size_t i = 0; i < kSpeeds.size(); ++i) {
    INFO("target " << i << " ran up to " << fitted.most_running[i] << ", used "
                   << fitted.slot_ms[i] / 60000 / kSlots);
    REQUIRE(fitted.slot_ms[i] / 60000 / kSlots < 1);
  }
  const ZoneResult before = RunZone(0.9, false);
  INFO("overruns " << fitted.overruns << " of "
                   << fitted.calls[0] + fitted.calls[1] << ", before "
                   << before.overruns);
  REQUIRE(fitted.overruns <= before.overruns);
  REQUIRE(fitted.late[0] / fitted.calls[0] <= before.late[0] / before.calls[0]);
}

TEST_CASE("targets are equal by chance only within half a percent") {
  std::vector<PlacementTarget> targets(2);
  for (PlacementTarget& target : targets) {
    target.is_open = true;
    target.is_own_zone = true;
    target.slots = 40;
    target.work_ms = 20;
  }
  targets[0].reported_load = 3;
  PlacementRules rules;
  rules.acceptable_ms = 100;
  rules.late_penalty_ms = 1500;
  targets[1].late_chance = 0.0049;
  REQUIRE(ChoosePlacementTarget(rules, targets, Millis{0}, PlacementDraws()) ==
          1U);
  targets[1].late_chance = 0.006;
  REQUIRE(ChoosePlacementTarget(rules, targets, Millis{0}, PlacementDraws()) ==
          0U);
}

TEST_CASE("a call at risk in its own zone goes to a safer one") {
  std::vector<PlacementTarget> targets(2);
  for (PlacementTarget& target : targets) {
    target.is_open = true;
    target.slots = 40;
  }
  targets[0].is_own_zone = true;
  targets[0].speed = 0.55;
  targets[0].late_chance = 0.1;
  targets[1].speed = 1;
  targets[1].late_chance = 0.02;
  PlacementRules rules;
  rules.mean_run_ms = 260;
  rules.late_penalty_ms = 1500;
  rules.acceptable_ms = 1000;
  REQUIRE(ChoosePlacementTarget(rules, targets, Millis{0}, PlacementDraws()) ==
          1U);
  // The chance is the same elsewhere: nothing is gained by leaving the zone.
  targets[1].late_chance = 0.098;
  REQUIRE(ChoosePlacementTarget(rules, targets, Millis{0}, PlacementDraws()) ==
          0U);
}

}  // namespace
}  // namespace almondlink::control
