#ifndef ALMONDLINK_CONTROL_ZONE_SURPLUS_H_
#define ALMONDLINK_CONTROL_ZONE_SURPLUS_H_

#include <cstdint>
#include <map>
#include <vector>

#include "almondlink/base/clock.h"
#include "almondlink/control/decision_sums.h"

/// Which calls leave their availability zone, from the sums over all nodes.
///
/// Traffic between zones is charged by the byte. Where the calls that the nodes
/// of a zone have in flight for a service exceed what its targets in the zone
/// can run, the excess goes to zones with spare capacity, and the calls with
/// the fewest bytes go first. Compared call by call, small and large calls
/// would cross alike, also while the zone still has free slots.
namespace almondlink::control {

/// Part of the slots up to which a zone keeps its own calls.
constexpr double kZoneFill = 0.85;

/// What a zone is to send elsewhere for one service.
struct ZoneSurplus {
  /// Calls in flight beyond the capacity of the zone that other zones can run.
  double calls = 0;
  /// `calls` as a part of the zone's calls in flight.
  double part = 0;
  /// Spare slots of the other zones, by hash of their names.
  std::map<std::uint32_t, double> spare;
};

/// Computes the surplus of a zone from the sums and from the slots that the
/// node can reach in its own zone. Where all zones together have less spare
/// capacity than surplus, each sends its share of what fits; the rest stays.
/// Pure.
ZoneSurplus SurplusOf(std::uint32_t zone,
                      std::uint32_t service,
                      double own_slots,
                      const DecisionSums& sums);

/// Calls of one route to a service, as seen by this node.
struct RouteTraffic {
  /// Sums of the calls' bytes (request and answer), of their run times and
  /// their number, with a decaying weight.
  double bytes = 0;
  double time_ms = 0;
  double calls = 0;
};

/// State of one service at an entry node. Not thread safe.
struct ZoneFlow {
  /// Part of the zone's calls in flight that leaves it now; approaches that of
  /// the surplus by half of the difference with each new sum.
  double part = 0;
  ZoneSurplus surplus;
  /// By called route.
  std::map<std::uint32_t, RouteTraffic> routes;
  Millis decayed_at;
};

/// Applies a new sum.
void UpdateFlow(const ZoneSurplus& surplus, ZoneFlow& flow);

/// Records an answered call.
void RecordTraffic(std::uint32_t route,
                   double bytes,
                   LatencyMs took,
                   ZoneFlow& flow);
/// Applies the loss of weight of recorded calls since the last time.
void DecayTraffic(Millis now, ZoneFlow& flow);

/// Part of the calls of a route that leaves the zone: all calls of the routes
/// with the fewest bytes, as many as `flow.part` of the slot time requires.
double LeavingPart(std::uint32_t route, const ZoneFlow& flow);

/// The zone that a leaving call goes to, in proportion to the spare slots of
/// the zones in `usable`; 0 if none of them has any. `draw` is in [0, 1).
std::uint32_t ChooseZone(const ZoneFlow& flow,
                         const std::vector<std::uint32_t>& usable,
                         double draw);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_ZONE_SURPLUS_H_
