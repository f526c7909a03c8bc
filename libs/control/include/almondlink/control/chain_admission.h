#ifndef ALMONDLINK_CONTROL_CHAIN_ADMISSION_H_
#define ALMONDLINK_CONTROL_CHAIN_ADMISSION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "almondlink/base/clock.h"
#include "almondlink/control/chain_counts.h"
#include "almondlink/control/demand_meter.h"

/// Admission of root requests by the room of every service that their chain of
/// calls leads to.
///
/// A root request is worth its value only if all calls of its chain succeed;
/// one that is refused deep in the chain has used the services above it for
/// nothing. So load is refused at the root, before anything has run, and the
/// share of each route's roots that fits is worked out instead of felt for:
///
///     slots wanted at a service by a route
///         = roots offered per second            (all nodes, half a second old)
///         * calls there for each root           (counted, see chain_counts.h)
///         * time of one call there              (of the last few dozen calls)
///
/// The room of a service is given out by the priority of the routes, after a
/// small part that all get alike and what keeps a route from being shut out
/// (`least_part`; then no route gets fewer slots than a less urgent one). A
/// route gets the least of what the services of its chain allow. The wanted
/// slots do not depend on the share in force, so the result does not swing with
/// the time that a chain takes. Every node works from the same figures and
/// comes to the same shares.
///
/// Patterns answered: a surge that asks for two to three times what a deep,
/// shared service can do; a service that turns 5 to 12 times slower; one that
/// loses three of four targets.
namespace almondlink::control {

/// Root requests of one route on one node.
struct RootRate {
  std::uint32_t route = 0;
  double offered_per_s = 0;
  double admitted_per_s = 0;
  /// Calls of a chain as the node has counted them; empty if it has not yet.
  std::vector<ServiceCalls> calls;
};

/// Whether calls per root differ by more than a tenth from those that were
/// told.
bool HaveChainsChanged(const std::vector<RootRate>& announced,
                       const std::vector<RootRate>& current);

/// The same on all nodes.
struct RootTotals {
  double offered_per_s = 0;
  double admitted_per_s = 0;
  /// Roots let in by the nodes that have counted their chains, and the calls of
  /// these by service.
  double counted_per_s = 0;
  std::map<std::uint32_t, double> calls_per_s;
};

/// Adds what one node told.
void AddRootRate(const RootRate& rate,
                 std::map<std::uint32_t, RootTotals>& sums);

/// Calls at a service for each root; none if no node has counted a chain.
std::optional<double> CountedCallsPerRoot(const RootTotals& sum,
                                          std::uint32_t service);

/// One target of a service.
struct TargetCapacity {
  std::uint32_t slots = 0;
  std::uint32_t waiting = 0;
  /// Mean time of a call there; 0 if unknown.
  double work_ms = 0;
  std::vector<RouteDemand> demand;
  /// Part of its answers that are failures of its own: where they stand out,
  /// that part of its slots makes nothing whole.
  double error_rate = 0;
};

/// What the targets of one service told.
struct ServiceCapacity {
  std::string service;
  std::vector<TargetCapacity> targets;
  /// Its number in ServiceCalls; 0 if its calls are not counted.
  std::uint32_t key = 0;
};

/// Constants of the admission.
struct ChainRules {
  /// Part of the slots that is planned for. What waits is taken off the room,
  /// so a swing of arrivals is worked off without a reserve: at 0.94 a
  /// sixteenth of the slots stayed empty while requests were refused, worth
  /// 0.01 to 0.03 of what callers were owed on days of high load.
  double planned_share = 1;
  /// Time within which what waits is to be worked off, in milliseconds.
  double drain_ms = 500;
  /// Part of the room that all routes get alike, whatever their priority: no
  /// kind of request is shut out, and the most valued one still gets four
  /// fifths and its own part of the rest.
  double assured_fraction = 0.2;
  /// No route's share falls below this part of the share of all root requests
  /// that are let in. Operators call a kind shut out that is served less than a
  /// quarter as often as all, counted by requests; a request that is refused
  /// comes back about once, so this part of the tries is just more than that.
  /// Each more costs the most valued kind: with two of three targets gone it is
  /// served 0.86, 0.77 and 0.61 for 0.1, 0.15 and 0.2 (test/replay).
  double min_relative_share = 0.15;
  /// Whether that guard also keeps a route's slots above a less urgent one's.
  bool has_ordered_floors = true;
  /// How far routes of one priority share the room by what a request costs: 0
  /// gives each the same part of what it wants, 1 the same slots. With a search
  /// of four times the cost of a lookup, 1 serves 0.96 to 0.97 of all instead
  /// of 0.95, and the search 0.79 instead of 0.81.
  double cost_exponent = 1;
  /// Part of the way to the new share that one step goes.
  double share_step = 0.5;
};

/// Share of one route's root requests that is let in.
struct RouteShare {
  std::uint32_t priority = 0;
  double share = 1;
  /// Root requests on this node.
  RateMeter offered;
  RateMeter admitted;
  /// The service that binds the share; empty if none does.
  std::string limiting_service;
};

/// What the rates at a service say of the calls of one route.
struct ObservedCalls {
  /// Calls for each root let in, both averaged over the same seconds.
  double per_root = 0;
  /// Part of a chain's counted calls that roots come to, on average.
  double completed_fraction = 1;
};

/// State of one node's admission. Plain data; one thread at a time.
struct ChainAdmission {
  std::map<std::uint32_t, RouteShare> routes;
  std::map<std::pair<std::string, std::uint32_t>, ObservedCalls> observed_calls;
  /// Chains of this node's own roots.
  ChainCounts chains;
  Millis updated;
  /// Length of the last window of rates in milliseconds.
  double window_ms = 0;
};

/// Notes a root request and decides it; `draw` is uniform in 0 to 1.
bool TryAdmitRoot(std::uint32_t route,
                  std::uint32_t priority,
                  double draw,
                  ChainAdmission& admission);

/// The share of `route` in force, 1 if nothing binds it.
double ShareOf(std::uint32_t route, const ChainAdmission& admission);

/// Closes the window of this node's rates; call before OwnRates and
/// UpdateShares, every 100 ms or so.
void UpdateRootRates(Millis now, ChainAdmission& admission);

/// Rates of this node, to be told to the others.
std::vector<RootRate> LocalRootRates(const ChainAdmission& admission);

/// Works the shares out anew. `roots`: sums over all nodes.
void UpdateShares(const ChainRules& rules,
                  const std::vector<ServiceCapacity>& services,
                  const std::map<std::uint32_t, RootTotals>& roots,
                  ChainAdmission& admission);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_CHAIN_ADMISSION_H_
