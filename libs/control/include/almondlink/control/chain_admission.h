#ifndef ALMONDLINK_CONTROL_CHAIN_ADMISSION_H_
#define ALMONDLINK_CONTROL_CHAIN_ADMISSION_H_

#include <cstdint>
#include <map>
#include <vector>

#include "almondlink/base/clock.h"
#include "almondlink/control/demand_meter.h"

/// Admission of root requests by the room of every service that their chain of
/// calls leads to.
///
/// A root request is worth its value only if all calls of its chain succeed;
/// one that is refused deep in the chain has used the services above it for
/// nothing. So load is refused at the root, before anything has run. Each
/// service tells how many slots the calls of each root route want there
/// (DemandMeter), how many it has, and what waits. From this the share of each
/// route's root requests that fits is worked out in one step instead of being
/// felt for: the room is given out by priority, after a small assured share for
/// every route, and a route gets the least of what the services of its chain
/// allow. All nodes see the same figures and so come to the same shares.
///
/// Patterns answered: a surge that asks for two to three times what a deep,
/// shared service can do; a service that turns 5 to 12 times slower.
namespace almondlink::control {

/// What one service has and is asked for, over all its targets.
struct ServiceRoom {
  double slots = 0;
  /// Requests that wait there, in slots times milliseconds of work.
  double backlog_slot_ms = 0;
  std::vector<RouteDemand> demand;
};

/// Constants of the admission.
struct ChainRules {
  /// Part of the slots that is planned for: what is left takes the swings of
  /// arrivals within a window, so that calls rarely wait.
  double planned_share = 0.92;
  /// Time within which what waits is to be worked off, in milliseconds.
  double drain_ms = 500;
  /// Share of a route's requests that is let in whatever the others want, so
  /// that no kind of request is shut out.
  double assured_share = 0.1;
  /// Part of the way to the new share that one step goes, down and up: down
  /// faster, since too much that is let in is wasted work.
  double step_down = 0.5;
  double step_up = 0.25;
};

/// Share of one route's root requests that is let in.
struct RouteShare {
  std::uint32_t priority = 0;
  double share = 1;
  /// The share as the calls now seen at the services were let in: an average
  /// over the time that a chain takes.
  double seen_share = 1;
};

/// State of one node's admission. Plain data; one thread at a time.
struct ChainAdmission {
  std::map<std::uint32_t, RouteShare> routes;
  Millis updated;
};

/// Works the shares out anew from what the services told. `peer_shares`: the
/// mean share of each route over the other nodes, which keeps nodes together.
void UpdateShares(const ChainRules& rules,
                  Millis now,
                  const std::vector<ServiceRoom>& services,
                  const std::map<std::uint32_t, double>& peer_shares,
                  ChainAdmission& admission);

/// Whether one root request is let in; `draw` is uniform in 0 to 1.
bool IsLetIn(std::uint32_t route, double draw, const ChainAdmission& admission);

/// The share of `route` in force, 1 if nothing binds it.
double ShareOf(std::uint32_t route, const ChainAdmission& admission);

/// Makes `route` known with its priority.
void NoteRoute(std::uint32_t route,
               std::uint32_t priority,
               ChainAdmission& admission);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_CHAIN_ADMISSION_H_
