#include "almondlink/control/zone_surplus.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cmath>
#include <functional>
#include <queue>
#include <random>
#include <vector>

#include "almondlink/control/placement.h"

/// Load of the tests: four zones with three targets each. The demand of a zone
/// swings between 0.45 and 1.55 of its mean with a period of 15 s, and the
/// phases of the zones are a quarter of a period apart. Two thirds of the slot
/// time are calls of 2 kB, a third are calls of 8 kB.
namespace almondlink::control {
namespace {

constexpr double kPi = 3.14159265358979323846;
constexpr std::uint32_t kService = 9;
constexpr std::size_t kZones = 4;
constexpr std::size_t kTargetsPerZone = 3;
constexpr std::size_t kTargets = kZones * kTargetsPerZone;
constexpr std::uint32_t kSlots = 20;
constexpr std::array<double, 2> kBytes = {2000, 8000};
constexpr std::array<double, 2> kRunMs = {40, 80};
constexpr double kMeanLoad = 0.7;
constexpr double kLatencyTargetMs = 100;

double DemandOf(std::size_t zone, double now_ms) {
  const double phase =
      now_ms / 15000 + static_cast<double>(zone) / static_cast<double>(kZones);
  return 1 + 0.55 * std::sin(2 * kPi * phase);
}

std::uint32_t KeyOf(std::size_t zone) {
  return static_cast<std::uint32_t>(zone + 1);
}

struct Crossings {
  double bytes = 0;
  std::array<double, 2> calls{};
  std::array<double, 2> crossed{};
  /// Calls that were sent elsewhere by the surplus. The others crossed because
  /// their zone had no free slot at that moment.
  std::array<double, 2> sent_away{};
  double total_wait_ms = 0;
  /// Changes of the direction of a zone's leaving part by more than 0.02.
  int turns = 0;
  /// Of each zone at the end.
  std::array<double, kZones> parts{};
};

struct End {
  double at_ms;
  std::size_t target;
  std::size_t zone;
  bool operator>(const End& other) const { return this->at_ms > other.at_ms; }
};

/// Runs the zones. `uses_surplus`: by the sums, which are a second old;
/// otherwise by the comparison of targets alone. The targets of `lost_zone`
/// are gone from 20 s on.
Crossings RunZones(bool uses_surplus, std::size_t lost_zone = kZones) {
  constexpr double kDurationMs = 45000;
  std::mt19937 random(17);
  std::uniform_real_distribution<double> uniform(0, 1);
  std::priority_queue<End, std::vector<End>, std::greater<>> ends;
  std::array<std::uint32_t, kTargets> running{};
  std::array<std::uint32_t, kZones> outstanding{};
  std::array<ZoneFlow, kZones> flows;
  std::array<double, kZones> last_turn{};
  std::array<int, kZones> directions{};
  std::deque<DecisionSums> sums;
  Crossings result;
  double next_sum_ms = 0;
  double next_sample_ms = 0;
  std::array<double, kZones> sampled{};
  double samples = 0;
  // Calls per millisecond over all zones at the highest demand.
  const double slots_per_zone = kSlots * kTargetsPerZone;
  const std::array<double, 2> peak_per_ms = {
      kZones * slots_per_zone * kMeanLoad * 2 / 3 / kRunMs[0] * 1.55,
      kZones * slots_per_zone * kMeanLoad / 3 / kRunMs[1] * 1.55};
  const double per_ms = peak_per_ms[0] + peak_per_ms[1];
  std::exponential_distribution<double> gap(per_ms);
  for (double now_ms = 0; now_ms < kDurationMs; now_ms += gap(random)) {
    const bool is_lost = lost_zone < kZones && now_ms >= 20000;
    while (!ends.empty() && ends.top().at_ms <= now_ms) {
      --running[ends.top().target];
      --outstanding[ends.top().zone];
      ends.pop();
    }
    if (now_ms >= next_sample_ms) {
      next_sample_ms += 50;
      ++samples;
      for (std::size_t zone = 0; zone < kZones; ++zone) {
        sampled[zone] += outstanding[zone];
      }
    }
    if (now_ms >= next_sum_ms) {
      next_sum_ms += 500;
      DecisionSums now_sums;
      for (std::size_t zone = 0; zone < kZones; ++zone) {
        ZoneLoad& load = now_sums.zones[{KeyOf(zone), kService}];
        load.slots = is_lost && zone == lost_zone ? 0 : slots_per_zone;
        load.outstanding = sampled[zone] / samples;
      }
      sums.push_back(now_sums);
      sampled = {};
      samples = 0;
      if (sums.size() > 2) {
        sums.pop_front();
      }
      for (std::size_t zone = 0; zone < kZones; ++zone) {
        ZoneFlow& flow = flows[zone];
        DecayTraffic(Millis{static_cast<std::int64_t>(now_ms)}, flow);
        UpdateFlow(SurplusOf(KeyOf(zone), kService,
                             is_lost && zone == lost_zone ? 0 : slots_per_zone,
                             sums.front()),
                   flow);
        const double moved = flow.part - last_turn[zone];
        const int direction = moved > 0 ? 1 : -1;
        if (std::abs(moved) > 0.02) {
          result.turns += direction != directions[zone] ? 1 : 0;
          directions[zone] = direction;
          last_turn[zone] = flow.part;
        } else if (direction == directions[zone]) {
          last_turn[zone] = flow.part;
        }
      }
    }
    const auto zone = static_cast<std::size_t>(uniform(random) * kZones);
    const std::size_t route = uniform(random) * per_ms < peak_per_ms[0] ? 0 : 1;
    if (uniform(random) * 1.55 > DemandOf(zone, now_ms)) {
      continue;
    }
    std::size_t near_zone = zone;
    if (uses_surplus) {
      const double leaving =
          LeavingPart(static_cast<std::uint32_t>(route), flows[zone]);
      if (uniform(random) < leaving) {
        std::vector<std::uint32_t> usable;
        for (std::size_t other = 0; other < kZones; ++other) {
          if (other != zone && !(is_lost && other == lost_zone)) {
            usable.push_back(KeyOf(other));
          }
        }
        const std::uint32_t chosen =
            ChooseZone(flows[zone], usable, uniform(random));
        near_zone = chosen == 0 ? zone : chosen - 1;
        result.sent_away[route] += near_zone == zone ? 0 : 1;
      }
    }
    std::vector<PlacementTarget> targets(kTargets);
    for (std::size_t i = 0; i < kTargets; ++i) {
      targets[i].is_open = !(is_lost && i / kTargetsPerZone == lost_zone);
      targets[i].is_own_zone = i / kTargetsPerZone == near_zone;
      targets[i].slots = kSlots;
      targets[i].reported_load = running[i];
      targets[i].work_ms = kRunMs[0];
    }
    PlacementRules rules;
    rules.acceptable_ms = 0.25 * kLatencyTargetMs;
    rules.keeps_zone = uses_surplus;
    const std::size_t chosen =
        ChoosePlacementTarget(rules, targets, Millis{0},
                              {uniform(random), uniform(random),
                               uniform(random), uniform(random)})
            .value();
    const double wait_ms =
        running[chosen] < kSlots
            ? 0
            : (running[chosen] - kSlots + 1.0) / kSlots * kRunMs[0];
    ++running[chosen];
    ++outstanding[zone];
    ends.push({now_ms + wait_ms + kRunMs[route], chosen, zone});
    RecordTraffic(static_cast<std::uint32_t>(route), kBytes[route],
                  LatencyMs{kRunMs[route]}, flows[zone]);
    result.calls[route] += 1;
    result.total_wait_ms += wait_ms;
    if (chosen / kTargetsPerZone != zone) {
      result.crossed[route] += 1;
      result.bytes += kBytes[route];
    }
  }
  for (std::size_t zone = 0; zone < kZones; ++zone) {
    result.parts[zone] = flows[zone].part;
  }
  return result;
}

TEST_CASE("the surplus of a zone leaves it, smallest calls first") {
  // Call by call, small and large calls crossed alike.
  const Crossings before = RunZones(false);
  const Crossings summed = RunZones(true);
  const double calls = summed.calls[0] + summed.calls[1];
  INFO("bytes " << summed.bytes << ", before " << before.bytes << "; crossed "
                << summed.crossed[0] << " small, " << summed.crossed[1]
                << " large, before " << before.crossed[0] << ", "
                << before.crossed[1] << "; wait "
                << summed.total_wait_ms / calls << " ms, before "
                << before.total_wait_ms / calls);
  REQUIRE(summed.crossed[0] > 0);
  REQUIRE(summed.bytes < before.bytes);
  // The surplus is at most a fifth of the slot time, and the small calls have
  // two thirds of it.
  REQUIRE(summed.sent_away[0] > 0.5 * summed.crossed[0]);
  REQUIRE(summed.sent_away[1] == 0);
  REQUIRE(summed.crossed[1] < before.crossed[1]);
  // No call pays for it with a wait: a few milliseconds of a run of 40.
  REQUIRE(summed.total_wait_ms / calls < 4);
}

TEST_CASE("the part that leaves follows the demand without oscillating") {
  // Twelve rises and twelve falls in three periods; four zones that begin.
  const Crossings summed = RunZones(true);
  INFO(summed.turns << " turns");
  REQUIRE(summed.turns <= 28);
}

TEST_CASE("all calls of a zone without targets leave it") {
  const Crossings summed = RunZones(true, 2);
  INFO("parts " << summed.parts[0] << " " << summed.parts[1] << " "
                << summed.parts[2] << " " << summed.parts[3]);
  // The other zones are full too at times: what fits nowhere is not sent.
  REQUIRE(summed.parts[2] > 0.3);
  REQUIRE(summed.crossed[1] > 0);
}

DecisionSums TwoZones(double own_outstanding, double other_outstanding) {
  DecisionSums sums;
  sums.zones[{1, kService}] = {100, 0, own_outstanding};
  sums.zones[{2, kService}] = {100, 0, other_outstanding};
  sums.zones[{3, kService + 1}] = {1000, 0, 0};
  return sums;
}

TEST_CASE("a zone keeps its calls up to 0.85 of its slots") {
  REQUIRE(SurplusOf(1, kService, 100, TwoZones(85, 20)).part == 0);
  const ZoneSurplus surplus = SurplusOf(1, kService, 100, TwoZones(105, 20));
  REQUIRE(surplus.calls == Approx(20));
  REQUIRE(surplus.part == Approx(20.0 / 105));
  REQUIRE(surplus.spare.at(2) == Approx(65));
  // A node that reaches no target of its zone.
  REQUIRE(SurplusOf(1, kService, 0, TwoZones(50, 20)).part == Approx(1));
  // The zone of another service is no place to go to.
  REQUIRE(surplus.spare.count(3) == 0);
}

TEST_CASE("what fits nowhere stays in its zone") {
  REQUIRE(SurplusOf(1, kService, 100, TwoZones(185, 75)).calls == Approx(10));
  REQUIRE(SurplusOf(1, kService, 100, TwoZones(185, 100)).calls == 0);
}

TEST_CASE("a zone that is gone from the sums gets nothing") {
  ZoneFlow flow;
  flow.part = 1;
  flow.surplus.spare = {{2, 30}, {3, 10}};
  REQUIRE(ChooseZone(flow, {2, 3}, 0.7) == 2);
  REQUIRE(ChooseZone(flow, {2, 3}, 0.8) == 3);
  // Its targets are unreachable at once, before the sums show it.
  REQUIRE(ChooseZone(flow, {3}, 0.1) == 3);
  REQUIRE(ChooseZone(flow, {4}, 0.1) == 0);
  REQUIRE(ChooseZone(flow, {}, 0.1) == 0);
}

TEST_CASE("a route without traffic yet leaves as the others do") {
  ZoneFlow flow;
  flow.part = 0.25;
  REQUIRE(LeavingPart(1, flow) == 0.25);
  RecordTraffic(1, 100, LatencyMs{10}, flow);
  RecordTraffic(2, 5000, LatencyMs{30}, flow);
  REQUIRE(LeavingPart(1, flow) == Approx(1));
  REQUIRE(LeavingPart(2, flow) == 0);
  flow.part = 0.5;
  REQUIRE(LeavingPart(2, flow) == Approx(1.0 / 3));
}

}  // namespace
}  // namespace almondlink::control
