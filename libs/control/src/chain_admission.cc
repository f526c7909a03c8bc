#include "almondlink/control/chain_admission.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "almondlink/control/error_share.h"

namespace almondlink::control {

namespace {

/// Root requests per second below which the number of calls for each is not
/// learned: the ratio would be chance.
constexpr double kMinRootsPerSecond = 1.0;
/// A share this near to 1 is 1.
constexpr double kFullShare = 0.995;
/// Calls a second that sums are divided by at least.
constexpr double kMinCallsPerSecond = 0.01;
/// Time constant of the part of its chain that a root comes to: longer than a
/// chain takes, so that the calls still to come after a rise of load do not
/// count as missing; with more, room is kept for chains that die early.
constexpr double kCompletionTimeConstantMs = 2000;
/// Slots below which a service has none.
constexpr double kMinCapacity = 1e-3;
constexpr double kMillisPerSecond = 1000;
/// Most that a target counts for by being faster than the mean.
constexpr double kMaxRelativeSpeed = 2.0;
/// Rounds in which the least share and the share of all find each other; each
/// round halves what is between them.
constexpr int kFloorRounds = 4;
/// Rounds in which the level of sharing is closed in on, each by half: a
/// millionth.
constexpr int kBisectionRounds = 20;

/// Slots that one route wants at one service if all of it were let in.
struct RouteAllocation {
  std::uint32_t route = 0;
  std::uint32_t priority = 0;
  double wanted_slots = 0;
  /// Slots for one root request a second.
  double slots_per_root = 0;
  /// Slots for the least share, and as many as a less urgent route gets so.
  double floor = 0;
  double ordered_floor = 0;
  double granted = 0;
};

/// Calls of each route at a service and the mean time of one.
struct ServiceDemand {
  std::map<std::uint32_t, RouteDemand> routes;
  double mean_work_ms = 0;
};

/// Sums over targets. The time of a call is averaged over those that know it.
ServiceDemand SumDemand(const ServiceCapacity& service) {
  ServiceDemand sum;
  std::map<std::uint32_t, double> timed_calls;
  double calls = 0;
  double work = 0;
  for (const TargetCapacity& target : service.targets) {
    for (const RouteDemand& demand : target.demand) {
      RouteDemand& total = sum.routes[demand.route];
      total.route = demand.route;
      total.calls_per_s += demand.calls_per_s;
      if (demand.work_ms <= 0) {
        continue;
      }
      // Summed for now, divided below.
      total.work_ms += demand.calls_per_s * demand.work_ms;
      timed_calls[demand.route] += demand.calls_per_s;
      calls += demand.calls_per_s;
      work += demand.calls_per_s * demand.work_ms;
    }
  }
  for (auto& [route, total] : sum.routes) {
    total.work_ms /= std::max(kMinCallsPerSecond, timed_calls[route]);
  }
  sum.mean_work_ms = calls > 0 ? work / calls : 0;
  return sum;
}

/// Slots in terms of the mean call: a target that turned slow counts for less.
///
/// What waits is taken off as the slots that work it off in `drain_ms`, but one
/// for each call at most: that is all a call can use. Where calls take longer
/// than that time, as at a service that holds its slots while its own calls
/// wait further down, the same backlog would otherwise cost twice its slots and
/// more, until no room is left for any route, also for those that do not lead
/// to the service that is short. In the third and
/// fourth second of a surge over a fleet that has just started 0.77 of the most
/// valued requests end whole with it, 0.42 without (test/replay,
/// relay-large-1-cold, means of six seeds).
double CapacityOf(const ChainRules& rules,
                  const ServiceCapacity& service,
                  double mean_work_ms) {
  const double slots_per_queued = std::min(1.0, mean_work_ms / rules.drain_ms);
  double total_error_rate = 0;
  for (const TargetCapacity& target : service.targets) {
    total_error_rate += target.error_rate;
  }
  const double other_targets =
      std::max(1.0, static_cast<double>(service.targets.size()) - 1);
  double capacity = 0;
  for (const TargetCapacity& target : service.targets) {
    const bool is_known = target.work_ms > 0 && mean_work_ms > 0;
    const double speed =
        is_known ? std::min(kMaxRelativeSpeed, mean_work_ms / target.work_ms)
                 : 1;
    const double excess_errors =
        ErrorsOver(target.error_rate,
                   (total_error_rate - target.error_rate) / other_targets);
    const double usable_slots = target.slots * (1 - excess_errors);
    capacity += usable_slots * rules.planned_share * speed -
                target.waiting * slots_per_queued;
  }
  return std::max(0.0, capacity);
}

/// Calls at `service` for each root of the route.
///
/// Counted calls are those of whole chains. Where chains end early, because
/// calls are refused or come too late, fewer are made: the rates show it, but
/// only after a while, since calls come up to seconds after their root. And
/// where the rates show more calls than a chain has, they are those of roots
/// let in before, which need their room all the same. So the count, reduced
/// slowly, or the rates if they are above. In the third and fourth second of a
/// surge over a fleet that has just started 0.72 of what callers are owed is
/// served with it, 0.62 with the rates alone (test/replay, relay-large-1-cold,
/// means of six seeds).
double CallsPerRoot(const ServiceCapacity& service,
                    const RouteDemand& demand,
                    const RootTotals& roots,
                    ChainAdmission& admission) {
  const std::pair<std::string, std::uint32_t> key{service.service,
                                                  demand.route};
  ObservedCalls& observed = admission.observed_calls[key];
  if (roots.admitted_per_s >= kMinRootsPerSecond) {
    observed.per_root = demand.calls_per_s / roots.admitted_per_s;
  }
  const std::optional<double> counted = CountedCallsPerRoot(roots, service.key);
  if (service.key == 0 || !counted.has_value() || *counted <= 0) {
    return observed.per_root;
  }
  const double fraction = std::min(1.0, observed.per_root / *counted);
  const double weight =
      1 - std::exp(-admission.window_ms / kCompletionTimeConstantMs);
  observed.completed_fraction +=
      weight * (fraction - observed.completed_fraction);
  return std::max(observed.per_root, observed.completed_fraction * *counted);
}

/// What a request weighs when room is shared by cost. Calls whose root is not
/// known weigh nothing: their room is not divided.
double WeightOf(double cost_exponent, const RouteAllocation& entry) {
  return entry.slots_per_root > 0
             ? std::pow(entry.slots_per_root, cost_exponent)
             : 0;
}

/// Slots that a route gets besides at that level of sharing: of what it misses
/// the part that is the level over its weight.
double AdditionalSlots(double level,
                       double cost_exponent,
                       const RouteAllocation& entry) {
  const double weight = WeightOf(cost_exponent, entry);
  const double part = weight > level ? level / weight : 1;
  return part * (entry.wanted_slots - entry.granted);
}

/// Gives a part of the room to all alike, each up to what it wants: a kind that
/// needs little is kept nearly whole by it, and callers that repeat at once,
/// which multiply what their route wants, gain nothing.
double GrantAssuredSlots(double assured, std::vector<RouteAllocation>& routes) {
  std::sort(routes.begin(), routes.end(),
            [](const RouteAllocation& a, const RouteAllocation& b) {
              return a.wanted_slots < b.wanted_slots;
            });
  double remaining = assured;
  std::size_t remaining_routes = routes.size();
  for (RouteAllocation& entry : routes) {
    entry.granted = std::min(entry.wanted_slots,
                             remaining / static_cast<double>(remaining_routes));
    remaining -= entry.granted;
    --remaining_routes;
  }
  return assured - remaining;
}

/// Raises grants that are below `floor`, all by the same part if the room is
/// short. Returns what that takes.
double RaiseToFloor(double RouteAllocation::*floor,
                    double capacity,
                    std::vector<RouteAllocation>& routes) {
  double missing = 0;
  for (const RouteAllocation& entry : routes) {
    missing += std::max(0.0, entry.*floor - entry.granted);
  }
  if (missing <= 0) {
    return 0;
  }
  const double part = std::min(1.0, capacity / missing);
  for (RouteAllocation& entry : routes) {
    entry.granted += part * std::max(0.0, entry.*floor - entry.granted);
  }
  return part * missing;
}

/// Shares what is left among routes of one priority. A request that takes four
/// times the slots of another keeps three others out, so its route's share
/// falls with its cost: the same room serves more callers. Returns what it
/// gave.
double GrantByCost(double cost_exponent,
                   double capacity,
                   std::vector<RouteAllocation>::iterator first,
                   std::vector<RouteAllocation>::iterator end) {
  double missing = 0;
  double high = 0;
  for (auto entry = first; entry != end; ++entry) {
    missing += entry->wanted_slots - entry->granted;
    high = std::max(high, WeightOf(cost_exponent, *entry));
  }
  const auto allocated_at = [&](double level) {
    double sum = 0;
    for (auto entry = first; entry != end; ++entry) {
      sum += AdditionalSlots(level, cost_exponent, *entry);
    }
    return sum;
  };
  double low = 0;
  if (missing > capacity) {
    for (int round = 0; round < kBisectionRounds; ++round) {
      const double middle = (low + high) / 2;
      (allocated_at(middle) > capacity ? high : low) = middle;
    }
  }
  const double level = missing > capacity ? low : high;
  const double allocated = allocated_at(level);
  for (auto entry = first; entry != end; ++entry) {
    entry->granted += AdditionalSlots(level, cost_exponent, *entry);
  }
  return allocated;
}

/// Grants the assured part first, then what keeps routes from being shut out,
/// then by priority.
void AllocateCapacity(const ChainRules& rules,
                      double capacity,
                      std::vector<RouteAllocation>& routes) {
  capacity -= GrantAssuredSlots(rules.assured_fraction * capacity, routes);
  capacity -= RaiseToFloor(&RouteAllocation::floor, capacity, routes);
  capacity -= RaiseToFloor(&RouteAllocation::ordered_floor, capacity, routes);
  std::sort(routes.begin(), routes.end(),
            [](const RouteAllocation& a, const RouteAllocation& b) {
              return a.priority < b.priority;
            });
  for (auto first = routes.begin(); first != routes.end();) {
    const auto end =
        std::find_if(first, routes.end(), [&](const RouteAllocation& entry) {
          return entry.priority != first->priority;
        });
    capacity = std::max(
        0.0, capacity - GrantByCost(rules.cost_exponent, capacity, first, end));
    first = end;
  }
}

/// The share that fits, and the service that makes it so small.
struct RouteLimit {
  double share = 1;
  std::string limiting_service;
};
using RouteLimits = std::map<std::uint32_t, RouteLimit>;

/// One service with its room and what is wanted there.
struct ServiceAllocation {
  const std::string* service = nullptr;
  double capacity = 0;
  std::vector<RouteAllocation> routes;
  bool is_allocated = false;
};

ServiceAllocation MakeServiceAllocation(
    const ChainRules& rules,
    const ServiceCapacity& service,
    const std::map<std::uint32_t, RootTotals>& roots,
    ChainAdmission& admission) {
  const ServiceDemand demand = SumDemand(service);
  ServiceAllocation allocation;
  allocation.service = &service.service;
  allocation.capacity = CapacityOf(rules, service, demand.mean_work_ms);
  for (const auto& [route, calls] : demand.routes) {
    const auto root = roots.find(route);
    const auto known = admission.routes.find(route);
    RouteAllocation entry;
    entry.route = route;
    if (root == roots.end() || known == admission.routes.end()) {
      // Calls whose root is not known here take their room first.
      entry.wanted_slots = calls.calls_per_s * calls.work_ms / kMillisPerSecond;
    } else {
      entry.priority = known->second.priority;
      entry.slots_per_root =
          calls.work_ms / kMillisPerSecond *
          CallsPerRoot(service, calls, root->second, admission);
      entry.wanted_slots = root->second.offered_per_s * entry.slots_per_root;
    }
    allocation.routes.push_back(entry);
  }
  return allocation;
}

/// Wanted slots over room, with the shares that other services already bind.
double OverloadRatio(const ServiceAllocation& service, RouteLimits& limits) {
  double demand = 0;
  for (const RouteAllocation& entry : service.routes) {
    demand += entry.wanted_slots * limits[entry.route].share;
  }
  return demand <= 0 ? 0 : demand / std::max(kMinCapacity, service.capacity);
}

/// Part of the root requests of all routes that `fits` lets in, with the grants
/// of `all` where they are less.
double OverallShare(const std::map<std::uint32_t, RootTotals>& roots,
                    const std::vector<RouteAllocation>& entries,
                    const RouteLimits& limits) {
  double offered = 0;
  double admitted = 0;
  for (const auto& [route, rate] : roots) {
    const auto limit = limits.find(route);
    double share = limit == limits.end() ? 1.0 : limit->second.share;
    for (const RouteAllocation& entry : entries) {
      if (entry.route == route && entry.granted < entry.wanted_slots) {
        share *= entry.granted / entry.wanted_slots;
      }
    }
    offered += rate.offered_per_s;
    admitted += rate.offered_per_s * share;
  }
  return offered > 0 ? admitted / offered : 1.0;
}

/// What each route is to get at least: `least` of its requests, and no fewer
/// slots than a less urgent route gets so, unless that is all it wants.
/// Without the second part the guard of a kind with long chains would be paid
/// by whichever kind comes next in urgency, however little that one needs.
void SetFloors(bool has_ordered_floors,
               double min_share,
               const std::map<std::uint32_t, RootTotals>& roots,
               const RouteLimits& limits,
               std::vector<RouteAllocation>& routes) {
  std::sort(routes.begin(), routes.end(),
            [](const RouteAllocation& a, const RouteAllocation& b) {
              return a.priority > b.priority;
            });
  double max_floor = 0;
  for (RouteAllocation& entry : routes) {
    const auto limit = limits.find(entry.route);
    const double share = limit == limits.end() ? 1.0 : limit->second.share;
    // A route may be bound below it elsewhere: room here would not help.
    const double part = share > 0 ? std::min(1.0, min_share / share) : 1.0;
    if (roots.count(entry.route) > 0) {
      entry.floor = part * entry.wanted_slots;
      max_floor = std::max(max_floor, entry.floor);
      entry.ordered_floor =
          has_ordered_floors ? std::min(entry.wanted_slots, max_floor) : 0;
    }
  }
}

/// Grants the room so that no route falls too far behind all. The least share
/// depends on the share of all, which depends on the grants, so it is closed in
/// on from below.
void AllocateWithFloors(const ChainRules& rules,
                        const std::map<std::uint32_t, RootTotals>& roots,
                        const RouteLimits& limits,
                        ServiceAllocation& service) {
  const std::vector<RouteAllocation> unallocated = service.routes;
  AllocateCapacity(rules, service.capacity, service.routes);
  for (int round = 0; round < kFloorRounds; ++round) {
    const double min_share =
        rules.min_relative_share * OverallShare(roots, service.routes, limits);
    service.routes = unallocated;
    SetFloors(rules.has_ordered_floors, min_share, roots, limits,
              service.routes);
    AllocateCapacity(rules, service.capacity, service.routes);
  }
}

/// Settles the services one by one, the one with the most pressure first: what
/// it does not let in is not wanted of the others any more.
void AllocateServices(const ChainRules& rules,
                      const std::map<std::uint32_t, RootTotals>& roots,
                      std::vector<ServiceAllocation>& services,
                      RouteLimits& limits) {
  for (std::size_t round = 0; round < services.size(); ++round) {
    ServiceAllocation* most_overloaded = nullptr;
    double max_ratio = 1;
    for (ServiceAllocation& service : services) {
      const double ratio = OverloadRatio(service, limits);
      if (!service.is_allocated && ratio > max_ratio) {
        max_ratio = ratio;
        most_overloaded = &service;
      }
    }
    if (most_overloaded == nullptr) {
      return;
    }
    most_overloaded->is_allocated = true;
    for (RouteAllocation& entry : most_overloaded->routes) {
      entry.wanted_slots *= limits[entry.route].share;
    }
    AllocateWithFloors(rules, roots, limits, *most_overloaded);
    for (const RouteAllocation& entry : most_overloaded->routes) {
      if (entry.granted < entry.wanted_slots) {
        RouteLimit& limit = limits[entry.route];
        limit.share *= entry.granted / entry.wanted_slots;
        limit.limiting_service = *most_overloaded->service;
      }
    }
  }
}

}  // namespace

void UpdateShares(const ChainRules& rules,
                  const std::vector<ServiceCapacity>& services,
                  const std::map<std::uint32_t, RootTotals>& roots,
                  ChainAdmission& admission) {
  std::vector<ServiceAllocation> allocations;
  allocations.reserve(services.size());
  for (const ServiceCapacity& service : services) {
    allocations.push_back(
        MakeServiceAllocation(rules, service, roots, admission));
  }
  RouteLimits limits;
  AllocateServices(rules, roots, allocations, limits);
  for (auto& [route, state] : admission.routes) {
    const RouteLimit& limit = limits[route];
    // What is offered fits, whatever was let in before: nobody is refused while
    // the share finds its way back.
    const double step = limit.limiting_service.empty() ? 1 : rules.share_step;
    state.share += step * (limit.share - state.share);
    state.limiting_service = limit.limiting_service;
    if (state.share >= kFullShare) {
      state.share = 1;
    }
  }
}

}  // namespace almondlink::control
