#include "almondlink/model/fleet.h"

#include <catch2/catch.hpp>

/// Pattern: a fleet that grows from 200 to 2,000 nodes. With direct loads, what
/// a node sends and receives grows with the fleet.
namespace almondlink::model {
namespace {

FleetFigures Play(std::uint32_t nodes,
                  FleetFault fault = FleetFault::kNone,
                  std::uint32_t seed = 1) {
  FleetPlan plan;
  plan.nodes = nodes;
  plan.fault = fault;
  plan.seed = seed;
  return PlayFleet(plan);
}

TEST_CASE("a node in the middle sends and receives the same at any size") {
  const FleetFigures small = Play(200);
  for (const std::uint32_t nodes : {1000U, 2000U}) {
    const FleetFigures large = Play(nodes);
    REQUIRE(large.messages_per_s <= 1.3 * small.messages_per_s);
    REQUIRE(large.bytes_per_s <= 1.3 * small.bytes_per_s);
    REQUIRE(large.mean_age_ms <= 1000);
  }
}

TEST_CASE("an aggregator stays within a node's budget at 2,000 nodes") {
  const FleetFigures figures = Play(2000);
  REQUIRE(figures.aggregators >= 2000 / 64);
  // 2 % of a core, at 15 microseconds for each message.
  REQUIRE(figures.messages_per_s_busiest <= 0.02 / 15e-6);
}

TEST_CASE("direct loads grow with the fleet, which is why they are summed") {
  FleetPlan plan;
  plan.nodes = 1000;
  plan.scheme = FleetScheme::kDirect;
  REQUIRE(PlayFleet(plan).messages_per_s >= 1000);
}

TEST_CASE("the sums are whole again after a loss") {
  for (const std::uint32_t nodes : {200U, 1000U}) {
    for (const std::uint32_t seed : {1U, 2U, 3U}) {
      INFO("nodes " << nodes << ", seed " << seed);
      const double killed =
          Play(nodes, FleetFault::kKilledAggregator, seed).repaired_after_ms;
      REQUIRE(killed >= 0);
      REQUIRE(killed <= 1500);
      const double half =
          Play(nodes, FleetFault::kKilledHalf, seed).repaired_after_ms;
      REQUIRE(half >= 0);
      REQUIRE(half <= 3500);
      const double silent =
          Play(nodes, FleetFault::kSilentAggregator, seed).repaired_after_ms;
      REQUIRE(silent >= 0);
      REQUIRE(silent <= 3500);
      const double zone =
          Play(nodes, FleetFault::kSilentZone, seed).repaired_after_ms;
      REQUIRE(zone >= 0);
      REQUIRE(zone <= 4500);
    }
  }
}

}  // namespace
}  // namespace almondlink::model
