#include "almondlink/model/fleet.h"

#include <catch2/catch.hpp>
#include <utility>
#include <vector>

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
  // A killed process is noticed at once; a silent host when its report or its
  // totals are overdue. In all cases within the time in which a change must be
  // known to every node of the large fleets, 4 s.
  const std::vector<std::pair<FleetFault, double>> bounds = {
      {FleetFault::kKilledAggregator, 1500},
      {FleetFault::kKilledHalf, 3500},
      {FleetFault::kSilentAggregator, 3500},
      {FleetFault::kSilentZone, 4000}};
  for (const std::uint32_t nodes : {200U, 1000U}) {
    for (const std::uint32_t seed : {1U, 2U, 3U}) {
      for (const auto& [fault, bound] : bounds) {
        INFO("nodes " << nodes << ", seed " << seed << ", fault "
                      << static_cast<int>(fault));
        const double repaired = Play(nodes, fault, seed).repaired_after_ms;
        REQUIRE(repaired >= 0);
        REQUIRE(repaired <= bound);
      }
    }
  }
}

}  // namespace
}  // namespace almondlink::model
