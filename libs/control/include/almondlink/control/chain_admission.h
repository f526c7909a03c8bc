#ifndef ALMONDLINK_CONTROL_CHAIN_ADMISSION_H_
#define ALMONDLINK_CONTROL_CHAIN_ADMISSION_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "almondlink/base/clock.h"
#include "almondlink/control/carried_roots.h"
#include "almondlink/control/chain_counts.h"
#include "almondlink/control/demand_meter.h"
#include "almondlink/control/route_exchange.h"

/// Admission of root requests by the capacity of every service on their call
/// chain.
///
/// A root request is of use to its caller only if all calls of its chain
/// succeed. One that is refused deep in the chain has wasted the capacity of
/// the services above. Load is therefore refused at the root, before anything
/// has run. The admitted share of each route is computed from the demand
/// instead of adjusted by feedback:
///
///     slots that a route demands at a service
///         = root requests offered per second    (all nodes, reports are up to
///                                                half a second old)
///         * calls there per root request        (counted, see chain_counts.h)
///         * mean time of one call there         (last few dozen calls)
///
/// Each service first divides a small part of its capacity evenly among the
/// routes (`assured_fraction`). It then raises every route to a minimum share
/// (`min_relative_share`), which gives no route fewer slots than a less urgent
/// one, and allocates the rest by priority. Slots may then be exchanged for
/// those of cheaper, less urgent requests (route_exchange.h). The admitted
/// share of a route is the smallest that the services of its chain allow.
///
/// The demand does not depend on the share in force, so shares do not oscillate
/// with the duration of a chain. All nodes compute from the same figures and
/// arrive at the same shares.
///
/// Designed for: a surge of two to three times the capacity of a service deep
/// in the chain that many routes share, a service that becomes 5 to 12 times
/// slower, and the loss of three of a service's four targets.
namespace almondlink::control {

/// Rates of the root requests of one route, as counted by one node.
struct RootRate {
  std::uint32_t route = 0;
  double offered_per_s = 0;
  double admitted_per_s = 0;
  /// Mean calls per root request by service; empty until the node has counted a
  /// chain of this route.
  std::vector<ServiceCalls> calls;
};

/// Whether the calls per root request of any route differ by more than a tenth
/// between the rates last announced to other nodes and the current ones.
bool HaveChainsChanged(const std::vector<RootRate>& announced,
                       const std::vector<RootRate>& current);

/// Rates of the root requests of one route, summed over all nodes.
struct RootTotals {
  double offered_per_s = 0;
  double admitted_per_s = 0;
  /// Admitted root requests per second on the nodes that have counted their
  /// chains, and the resulting calls per second by service.
  double counted_per_s = 0;
  std::map<std::uint32_t, double> calls_per_s;
};

/// Adds the rates of one node to the totals by route.
void AddRootRate(const RootRate& rate,
                 std::map<std::uint32_t, RootTotals>& sums);

/// Adds totals over some nodes to the totals of the same route.
void AddRootTotals(const RootTotals& added, RootTotals& sum);

/// Mean calls at a service per root request, 0 for a service that the chains do
/// not reach; nothing if no node has counted a chain.
std::optional<double> CountedCallsPerRoot(const RootTotals& sum,
                                          std::uint32_t service);

/// Capacity and demand of one target, as its node reports them.
struct TargetCapacity {
  std::uint32_t slots = 0;
  std::uint32_t waiting = 0;
  /// Mean time of a call at this target in milliseconds; 0 if unknown.
  double work_ms = 0;
  std::vector<RouteDemand> demand;
  /// Fraction of the target's answers that are failures of its own. The part by
  /// which it exceeds that of the other targets (see error_rate.h) is taken
  /// off its slots, since a slot that runs a failing call completes no request.
  double error_rate = 0;
  /// Requests per second that the target accepts from all nodes together;
  /// nothing if it names no limit.
  std::optional<double> limit_per_s;
  /// Measured speed relative to the mean of the service, used in place of that
  /// by `work_ms`; 0 if unknown.
  double speed = 0;
};

/// Capacity and demand of one service.
struct ServiceCapacity {
  std::string service;
  std::vector<TargetCapacity> targets;
  /// Number of the service in ServiceCalls; 0 if its calls are not counted.
  std::uint32_t key = 0;
};

/// Parameters of the admission.
struct ChainRules {
  /// Fraction of the slots that is allocated. Queued requests are subtracted
  /// from the capacity, so bursts of arrivals are absorbed without a reserve.
  /// With 0.94, a sixteenth of the slots stayed idle while requests were
  /// refused, which lost callers 0.01 to 0.03 of the value of their requests
  /// under high load.
  double planned_share = 1;
  /// Time in which queued requests are to be worked off, in milliseconds.
  double drain_ms = 500;
  /// Fraction of the capacity that is divided evenly among the routes, whatever
  /// their priority, so that no route is shut out. The most urgent route still
  /// gets four fifths of the capacity and its part of this fraction.
  double assured_fraction = 0.2;
  /// Lower bound of a route's admitted share, relative to the admitted share of
  /// all root requests. Operators regard a route as shut out if it is served
  /// less than a quarter as often as all routes, counted by requests. A refused
  /// request is retried about once, so 0.15 of the attempts is just above that.
  /// A higher value costs the most urgent route: with two of three targets
  /// lost, 0.86, 0.77 and 0.61 of its requests are served at 0.1, 0.15 and 0.2
  /// (test/replay).
  double min_relative_share = 0.15;
  /// Whether the lower bound also guarantees each route as many slots as any
  /// less urgent route gets from it.
  bool has_ordered_floors = true;
  /// Exponent of the cost of a request in the division of capacity among routes
  /// of equal priority: with 0 each route gets the same fraction of its demand,
  /// with 1 the same number of slots. With a search that costs four times as
  /// much as a lookup, 1 serves 0.96 to 0.97 of all requests instead of 0.95,
  /// and 0.79 of the searches instead of 0.81.
  double cost_exponent = 1;
  /// Fraction of the difference to the new share that one update applies.
  double share_step = 0.5;
  /// Least number of requests of a less urgent route that have to be served
  /// whole for each request of a more urgent one that is given up; 0: none is.
  double exchange_ratio = 1.5;
};

/// Share of the root requests of a class that is refused so that requests of a
/// less urgent class are served, see route_exchange.h.
struct GivenShare {
  double share = 0;
  /// Cost of a request in multiples of one of the class that is served.
  double ratio = 0;
  /// Name of the service where the slots were moved.
  std::string service;
};

/// Admission state of one route.
struct RouteShare {
  std::uint32_t priority = 0;
  /// See RootRequest.
  std::uint32_t route_priority = 0;
  std::optional<std::uint32_t> account_priority;
  double share = 1;
  /// Rates of the root requests on this node.
  RateMeter offered;
  RateMeter admitted;
  /// Name of the service that limits the share; empty if none does.
  std::string limiting_service;
  /// What the class gives up for less urgent ones, by their class.
  std::map<std::uint32_t, GivenShare> given;
  /// Share of the root requests that is refused because repeats cannot carry
  /// them (carried_roots.h), and the name of the service that refuses the most.
  double not_carried = 0;
  std::string refusing_service;
};

/// Calls of one route at one service, derived from the rates.
struct ObservedCalls {
  /// Calls per admitted root request, both rates averaged over the same time.
  double per_root = 0;
  /// Fraction of the counted calls of a chain that are actually made, averaged
  /// over time; below 1 where chains end early.
  double completed_fraction = 1;
};

/// Admission state of one node. Not thread safe.
struct ChainAdmission {
  std::map<std::uint32_t, RouteShare> routes;
  std::map<std::pair<std::string, std::uint32_t>, ObservedCalls> observed_calls;
  /// Calls per root request, counted for the root requests of this node.
  ChainCounts chains;
  /// Priority of the most urgent route of the policy in force; without it no
  /// slots are exchanged.
  std::optional<std::uint32_t> most_urgent_route;
  /// Exchanges that have begun, by service.
  std::map<std::string, std::set<ExchangePair>> exchanges;
  Millis updated;
  /// Length of the last rate window in milliseconds.
  double window_ms = 0;
};

/// A root request that asks for admission.
struct RootRequest {
  /// Class of the request: its route and the priority of its account.
  std::uint32_t route = 0;
  /// See root_priority.h.
  std::uint32_t priority = 0;
  /// What `priority` was made of; no account priority if the policy names none.
  std::uint32_t route_priority = 0;
  std::optional<std::uint32_t> account_priority;
  /// Share of such requests that is admitted; that of the class if not set.
  std::optional<double> share;
};

/// Counts a root request and returns whether it is admitted. `draw` is a random
/// number, uniform in [0, 1).
bool TryAdmitRoot(const RootRequest& request,
                  double draw,
                  ChainAdmission& admission);

/// Counts a root request and returns whether it is admitted. `draw` is a random
/// number, uniform in [0, 1).
bool TryAdmitRoot(std::uint32_t route,
                  std::uint32_t priority,
                  double draw,
                  ChainAdmission& admission);

/// Fraction of the root requests of `route` that is admitted now; 1 if no
/// service limits it.
double ShareOf(std::uint32_t route, const ChainAdmission& admission);

/// Closes the rate window of this node. Call about every 100 ms, before
/// LocalRootRates and UpdateShares.
void UpdateRootRates(Millis now, ChainAdmission& admission);

/// Rates of this node, to be announced to the other nodes.
std::vector<RootRate> LocalRootRates(const ChainAdmission& admission);

/// Recomputes the admitted share of each route. `services` and `roots` are the
/// totals over all nodes.
void UpdateShares(const ChainRules& rules,
                  const std::vector<ServiceCapacity>& services,
                  const std::map<std::uint32_t, RootTotals>& roots,
                  ChainAdmission& admission);

/// The same, where root requests are limited also by the repeats that services
/// with refusing targets leave for them, see carried_roots.h.
void UpdateShares(const ChainRules& rules,
                  const std::vector<ServiceCapacity>& services,
                  const std::vector<RefusingService>& refusing,
                  const std::map<std::uint32_t, RootTotals>& roots,
                  ChainAdmission& admission);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_CHAIN_ADMISSION_H_
