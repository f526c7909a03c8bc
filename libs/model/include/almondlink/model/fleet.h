#ifndef ALMONDLINK_MODEL_FLEET_H_
#define ALMONDLINK_MODEL_FLEET_H_

#include <cstdint>

#include "almondlink/base/clock.h"

/// A fleet of nodes in virtual time: what nodes send each other about their
/// load, and how long it takes until all know it.
///
/// Nodes report, aggregate and take over by the rules of
/// almondlink/control/load_sums.h; their target's work is not simulated. Frames
/// have the sizes of the relay's encoding for the given numbers of services and
/// routes. The same fleet can be played with loads that each node sends to
/// every other one, for comparison.
namespace almondlink::model {

enum class FleetScheme {
  /// Each node sends its load to every other node.
  kDirect,
  /// Loads are summed by groups.
  kSums,
};

/// What happens to the fleet at FleetPlan::fault_at.
enum class FleetFault {
  kNone,
  /// The process of an aggregator ends; its links break.
  kKilledAggregator,
  /// The host of an aggregator stops without a sign.
  kSilentAggregator,
  /// The processes of half of all nodes end.
  kKilledHalf,
  /// The hosts of one zone stop without a sign.
  kSilentZone,
};

struct FleetPlan {
  std::uint32_t nodes = 200;
  std::uint32_t zones = 5;
  std::uint32_t services = 4;
  std::uint32_t routes = 4;
  FleetScheme scheme = FleetScheme::kSums;
  FleetFault fault = FleetFault::kNone;
  Millis fault_at{3000};
  Millis length{8000};
  std::uint32_t seed = 1;
};

/// Figures of the last second before the fault, and of what follows it.
struct FleetFigures {
  /// Messages and bytes that a node sends and receives a second, with the heads
  /// of their packets: of the node in the middle and of the busiest.
  double messages_per_s = 0;
  double messages_per_s_busiest = 0;
  double bytes_per_s = 0;
  double bytes_per_s_busiest = 0;
  /// Bytes a second that cross zones, in the whole fleet.
  double zone_bytes_per_s = 0;
  /// Aggregators in the whole fleet.
  std::uint32_t aggregators = 0;
  /// Links of a node: one each way to every other node.
  std::uint32_t links = 0;
  /// Mean age of the loads that a node knows, over nodes and time.
  double mean_age_ms = 0;
  /// Time from the fault until each remaining node knows exactly the loads of
  /// all that remain; -1 if it was not reached.
  double repaired_after_ms = -1;
};

/// Plays the plan. Preconditions: at least two nodes, at least one zone.
FleetFigures PlayFleet(const FleetPlan& plan);

}  // namespace almondlink::model

#endif  // ALMONDLINK_MODEL_FLEET_H_
