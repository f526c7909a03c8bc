#include "almondlink/control/chain_admission.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "almondlink/control/error_rate.h"
#include "almondlink/control/named_limit.h"
#include "almondlink/control/route_exchange.h"

namespace almondlink::control {

namespace {

/// Rate of admitted root requests below which the calls per root request are
/// not updated, because the ratio would be noise.
constexpr double kMinRootsPerSecond = 1.0;
/// Shares from here on are set to 1, since updates approach it only
/// asymptotically.
constexpr double kFullShare = 0.995;
/// Lower bound of divisors that are call rates, per second.
constexpr double kMinCallsPerSecond = 0.01;
/// Time constant of the completed fraction of a chain. Longer than a chain
/// takes, so that calls still to come after a rise of load do not count as
/// missing; with a longer one, capacity stays reserved for chains that end
/// early.
constexpr double kCompletionTimeConstantMs = 2000;
/// Lower bound of the capacity in divisions, in slots.
constexpr double kMinCapacity = 1e-3;
constexpr double kMillisPerSecond = 1000;
/// Maximum factor by which a target that is faster than the mean counts for
/// more slots.
constexpr double kMaxRelativeSpeed = 2.0;
/// A measured speed counts in place of the mean times of completed runs only if
/// it is below this part of theirs: the target is warming up or has become
/// slow. Smaller differences are noise of the short window in which it is
/// measured, and would let the capacity of a full service fluctuate.
constexpr double kSlowPhaseFactor = 0.6;
/// Iterations over the minimum share, which depends on the overall share and
/// vice versa; each halves the remaining error.
constexpr int kFloorRounds = 4;
/// Bisection steps for the level of sharing: an error of a millionth.
constexpr int kBisectionRounds = 20;

/// Demand and allocation of one route at one service, in slots.
struct RouteAllocation {
  std::uint32_t route = 0;
  std::uint32_t priority = 0;
  std::uint32_t route_priority = 0;
  std::optional<std::uint32_t> account_priority;
  /// Slots for the requests that other services admit, and for all of them.
  double wanted_slots = 0;
  double offered_slots = 0;
  /// Slots for one root request per second; 0 if the root is unknown.
  double slots_per_root = 0;
  /// Slots for the minimum share, and the most that any route of the same or
  /// lower priority gets by it, up to the demand.
  double floor = 0;
  double ordered_floor = 0;
  double granted = 0;
};

/// Calls of each route at a service, and the mean time of a call.
struct ServiceDemand {
  std::map<std::uint32_t, RouteDemand> routes;
  double mean_work_ms = 0;
};

/// Sums the demand over the targets. Mean times are taken over the targets that
/// know theirs.
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
      // Weighted sum, divided by the rate below.
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

/// Speed that the measured speeds of a service's targets are relative to: the
/// upper median of them, or 1 if that is less. A target measures a change of
/// its own speed at once. If the runs of all targets take longer, because they
/// wait for a service further down, none of them has become slower beside the
/// others and their slots are worth as much as before. The mean would hide a
/// single slow target, whose slots are lost.
double ReferenceSpeed(const ServiceCapacity& service) {
  std::vector<double> speeds;
  for (const TargetCapacity& target : service.targets) {
    if (target.speed > 0) {
      speeds.push_back(target.speed);
    }
  }
  if (speeds.empty()) {
    return 1;
  }
  const auto middle =
      speeds.begin() + static_cast<std::ptrdiff_t>(speeds.size() / 2);
  std::nth_element(speeds.begin(), middle, speeds.end());
  return std::min(1.0, *middle);
}

/// Capacity of a service, in slots of mean speed: the slots of a slow target
/// count for less, and a target that names a rate limit has only the slots that
/// it can keep busy.
///
/// Queued requests are subtracted as the slots that work them off in
/// `drain_ms`, but at most one slot per request, since a request cannot use
/// more. Without this bound, a backlog of calls that take longer than
/// `drain_ms` would cost more slots than it can use. This occurs at a service
/// whose slots are held while its own calls wait further down; its capacity
/// would fall to zero, also for routes that do not lead to the service that is
/// short. In the third and fourth second of a surge on a newly started fleet,
/// 0.77 of the most urgent requests complete with the bound and 0.42 without
/// (test/replay, relay-large-1-cold, means of six seeds).
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
  const double reference_speed = ReferenceSpeed(service);
  double capacity = 0;
  for (const TargetCapacity& target : service.targets) {
    const bool is_known = target.work_ms > 0 && mean_work_ms > 0;
    const double by_time = is_known ? mean_work_ms / target.work_ms : 1;
    const double measured = target.speed / reference_speed;
    const bool is_slow_phase =
        target.speed > 0 && measured < kSlowPhaseFactor * by_time;
    const double speed =
        std::min(kMaxRelativeSpeed, is_slow_phase ? measured : by_time);
    const double excess_errors =
        ExcessErrorRate(target.error_rate,
                        (total_error_rate - target.error_rate) / other_targets);
    const double usable_slots = target.slots * (1 - excess_errors);
    double slots = usable_slots * rules.planned_share * speed;
    if (target.limit_per_s.has_value() && mean_work_ms > 0) {
      slots = std::min(
          slots, PlannedSlotsWithinLimit(*target.limit_per_s, mean_work_ms));
    }
    capacity += slots - target.waiting * slots_per_queued;
  }
  return std::max(0.0, capacity);
}

/// Calls at `service` per root request of the route.
///
/// The counted calls are those of complete chains. Where chains end early,
/// because calls are refused or arrive too late, fewer calls are made. The
/// rates show this only with a delay, since calls arrive up to seconds after
/// their root request. Where the rates show more calls than a chain has, they
/// belong to root requests admitted earlier, which still need capacity. The
/// result is therefore the larger of the rates and the counted calls times the
/// slowly updated completed fraction. In the third and fourth second of a surge
/// on a newly started fleet, callers get 0.72 of the value of their requests,
/// and 0.62 with the rates alone (test/replay, relay-large-1-cold, means of six
/// seeds).
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

/// Weight of a route when capacity is divided by cost. Calls whose root is
/// unknown have weight 0, which allocates all of their demand.
double WeightOf(double cost_exponent, const RouteAllocation& entry) {
  return entry.slots_per_root > 0
             ? std::pow(entry.slots_per_root, cost_exponent)
             : 0;
}

/// Additional slots of a route at a level of sharing: the fraction level /
/// weight of its unmet demand, at most all of it.
double AdditionalSlots(double level,
                       double cost_exponent,
                       const RouteAllocation& entry) {
  const double weight = WeightOf(cost_exponent, entry);
  const double part = weight > level ? level / weight : 1;
  return part * (entry.wanted_slots - entry.granted);
}

/// Divides `assured` slots evenly among the routes, each up to its demand, and
/// returns the slots allocated. A route with little demand is served almost
/// fully by this, and callers that retry immediately, which multiplies the
/// demand of their route, gain nothing.
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

/// Raises allocations to the floor selected by `floor`, all by the same
/// fraction of what they lack if the capacity is short. Returns the slots used.
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

/// Divides the remaining capacity among routes of one priority and returns the
/// slots allocated. A request that takes four times the slots of another takes
/// the capacity of four of those, so the share of a route falls with its cost
/// and the same capacity serves more callers.
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

/// Allocates the assured fraction first, then the minimum shares, then the rest
/// by priority.
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

/// Admitted share of a route, and the service that limits it.
struct RouteLimit {
  double share = 1;
  std::string limiting_service;
  std::map<std::uint32_t, GivenShare> given;
  double not_carried = 0;
  std::string refusing_service;
};
using RouteLimits = std::map<std::uint32_t, RouteLimit>;

/// Capacity of one service and the allocations of the routes that call it.
struct ServiceAllocation {
  const std::string* service = nullptr;
  double capacity = 0;
  std::vector<RouteAllocation> routes;
  /// The capacity is in repeats per second, see carried_roots.h.
  bool is_repeats = false;
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
      // Calls whose root request is unknown here are allocated first.
      entry.wanted_slots = calls.calls_per_s * calls.work_ms / kMillisPerSecond;
    } else {
      entry.priority = known->second.priority;
      entry.route_priority = known->second.route_priority;
      entry.account_priority = known->second.account_priority;
      entry.slots_per_root =
          calls.work_ms / kMillisPerSecond *
          CallsPerRoot(service, calls, root->second, admission);
      entry.wanted_slots = root->second.offered_per_s * entry.slots_per_root;
    }
    entry.offered_slots = entry.wanted_slots;
    allocation.routes.push_back(entry);
  }
  return allocation;
}

/// The repeats at a service, as a capacity that the limited classes share.
ServiceAllocation MakeRepeatAllocation(
    const RefusingService& refusing,
    const std::map<std::uint32_t, RootTotals>& roots,
    const ChainAdmission& admission) {
  ServiceAllocation allocation;
  allocation.service = &refusing.service;
  allocation.capacity = refusing.repeats_per_s;
  allocation.is_repeats = true;
  for (const auto& [route, repeats] : refusing.repeats_per_root) {
    const auto root = roots.find(route);
    const auto known = admission.routes.find(route);
    if (root == roots.end() || known == admission.routes.end()) {
      continue;
    }
    RouteAllocation entry;
    entry.route = route;
    entry.priority = known->second.priority;
    entry.route_priority = known->second.route_priority;
    entry.account_priority = known->second.account_priority;
    entry.slots_per_root = repeats;
    entry.wanted_slots = root->second.offered_per_s * repeats;
    entry.offered_slots = entry.wanted_slots;
    allocation.routes.push_back(entry);
  }
  return allocation;
}

/// Demand divided by capacity, after the limits that other services impose on
/// the routes.
double OverloadRatio(const ServiceAllocation& service, RouteLimits& limits) {
  double demand = 0;
  for (const RouteAllocation& entry : service.routes) {
    demand += entry.wanted_slots * limits[entry.route].share;
  }
  return demand <= 0 ? 0 : demand / std::max(kMinCapacity, service.capacity);
}

/// Fraction of the root requests of all routes that is admitted under `limits`,
/// reduced by the allocations in `entries`.
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

/// Sets the floors of each route: the slots for the share `min_share` of its
/// requests, and at least as many as any less urgent route gets by its own
/// floor, up to its demand. Without the second floor, the minimum share of a
/// route with long chains would be paid by the route of the next priority,
/// however little that one needs.
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
    // A route that another service limits further gains nothing from more slots
    // here.
    const double part = share > 0 ? std::min(1.0, min_share / share) : 1.0;
    if (roots.count(entry.route) > 0) {
      entry.floor = part * entry.wanted_slots;
      max_floor = std::max(max_floor, entry.floor);
      entry.ordered_floor =
          has_ordered_floors ? std::min(entry.wanted_slots, max_floor) : 0;
    }
  }
}

/// Allocates the capacity so that no route falls too far behind the others. The
/// minimum share depends on the overall share, which depends on the
/// allocations, so it is approached from below by iteration.
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

std::vector<ExchangeClass> ExchangeClassesOf(
    const std::vector<RouteAllocation>& routes) {
  std::vector<ExchangeClass> classes;
  classes.reserve(routes.size());
  for (const RouteAllocation& entry : routes) {
    ExchangeClass converted;
    converted.route = entry.route;
    converted.route_priority = entry.route_priority;
    converted.account_priority = entry.account_priority;
    converted.slots_per_root = entry.slots_per_root;
    converted.offered_slots = entry.offered_slots;
    converted.wanted_slots = entry.wanted_slots;
    converted.granted_slots = entry.granted;
    classes.push_back(converted);
  }
  return classes;
}

bool IsMostUrgent(std::uint32_t most_urgent_route,
                  const RouteAllocation& entry) {
  return entry.slots_per_root > 0 && entry.route_priority <= most_urgent_route;
}

/// Divides the capacity as AllocateWithFloors does, but gives the classes of
/// the most urgent route at least the slots that they get without floors. The
/// others share what remains.
void AllocateWithProtection(const ChainRules& rules,
                            const std::map<std::uint32_t, RootTotals>& roots,
                            const RouteLimits& limits,
                            std::uint32_t most_urgent_route,
                            ServiceAllocation& service) {
  ServiceAllocation unfloored = service;
  ServiceAllocation others = service;
  AllocateWithFloors(rules, roots, limits, service);
  AllocateCapacity(rules, unfloored.capacity, unfloored.routes);
  RouteLimits limits_of_others = limits;
  std::vector<RouteAllocation> protected_routes;
  bool takes_from_protected = false;
  for (const RouteAllocation& entry : service.routes) {
    if (!IsMostUrgent(most_urgent_route, entry)) {
      continue;
    }
    const auto same =
        std::find_if(unfloored.routes.begin(), unfloored.routes.end(),
                     [&entry](const RouteAllocation& other) {
                       return other.route == entry.route;
                     });
    takes_from_protected =
        takes_from_protected || same->granted > entry.granted;
    RouteAllocation kept = entry;
    kept.granted = std::max(entry.granted, same->granted);
    others.capacity = std::max(0.0, others.capacity - kept.granted);
    if (kept.wanted_slots > 0) {
      limits_of_others[kept.route].share *= kept.granted / kept.wanted_slots;
    }
    protected_routes.push_back(kept);
  }
  if (!takes_from_protected) {
    return;
  }
  others.routes.erase(
      std::remove_if(others.routes.begin(), others.routes.end(),
                     [most_urgent_route](const RouteAllocation& entry) {
                       return IsMostUrgent(most_urgent_route, entry);
                     }),
      others.routes.end());
  AllocateWithFloors(rules, roots, limits_of_others, others);
  service.routes = std::move(others.routes);
  service.routes.insert(service.routes.end(), protected_routes.begin(),
                        protected_routes.end());
}

/// Records what the classes of a service gave, see RouteShare::given.
void RecordGiven(const std::map<ExchangePair, double>& moved,
                 const ServiceAllocation& service,
                 RouteLimits& limits) {
  std::map<std::uint32_t, const RouteAllocation*> by_route;
  for (const RouteAllocation& entry : service.routes) {
    by_route[entry.route] = &entry;
  }
  for (const auto& [pair, slots] : moved) {
    const RouteAllocation& giver = *by_route[pair.first];
    GivenShare& given = limits[pair.first].given[pair.second];
    given.share += slots / giver.offered_slots;
    given.ratio = giver.slots_per_root / by_route[pair.second]->slots_per_root;
    given.service = *service.service;
  }
}

/// Divides repeats by priority alone. A minimum share would be spent on chains
/// of which few complete.
void AllocateRepeats(const ChainRules& rules, ServiceAllocation& repeats) {
  ChainRules by_priority = rules;
  by_priority.assured_fraction = 0;
  AllocateCapacity(by_priority, repeats.capacity, repeats.routes);
}

/// Records what a capacity of repeats does not admit, see
/// RouteShare::not_carried. `granted` is the admitted fraction of what the
/// other services admit.
void RecordNotCarried(double granted,
                      const std::string& service,
                      RouteLimit& limit) {
  const double refused = limit.share * (1 - granted);
  if (limit.refusing_service.empty() || refused > limit.not_carried) {
    limit.refusing_service = service;
  }
  limit.not_carried += refused;
}

/// Divides the capacity of one service, with an exchange if one is allowed
/// there. `has_exchange` tells whether a service allocated before has one, and
/// is set if this one has: requests that are admitted because of an exchange
/// must not take slots from the most urgent route at the other services of
/// their chains either.
void AllocateService(const ChainRules& rules,
                     const std::map<std::uint32_t, RootTotals>& roots,
                     ChainAdmission& admission,
                     ServiceAllocation& service,
                     RouteLimits& limits,
                     bool& has_exchange) {
  const std::vector<RouteAllocation> unallocated = service.routes;
  AllocateWithFloors(rules, roots, limits, service);
  if (rules.exchange_ratio <= 0 || !admission.most_urgent_route.has_value()) {
    return;
  }
  const std::uint32_t most_urgent_route = *admission.most_urgent_route;
  std::vector<ExchangeClass> classes = ExchangeClassesOf(service.routes);
  std::set<ExchangePair>& pairs = admission.exchanges[*service.service];
  pairs = AllowedExchanges({rules.exchange_ratio, most_urgent_route}, classes,
                           pairs);
  if (pairs.empty() && !has_exchange) {
    return;
  }
  has_exchange = true;
  service.routes = unallocated;
  AllocateWithProtection(rules, roots, limits, most_urgent_route, service);
  if (pairs.empty()) {
    return;
  }
  classes = ExchangeClassesOf(service.routes);
  RestorePriorityOrder(classes);
  RecordGiven(ExchangeSlots(pairs, classes), service, limits);
  for (std::size_t i = 0; i < classes.size(); ++i) {
    service.routes[i].granted = classes[i].granted_slots;
  }
}

/// Allocates the capacity of the services one by one, the most overloaded
/// first. Root requests that one service does not admit are no demand at the
/// others.
void AllocateServices(const ChainRules& rules,
                      const std::map<std::uint32_t, RootTotals>& roots,
                      ChainAdmission& admission,
                      std::vector<ServiceAllocation>& services,
                      RouteLimits& limits) {
  bool has_exchange = false;
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
    if (most_overloaded->is_repeats) {
      AllocateRepeats(rules, *most_overloaded);
    } else {
      AllocateService(rules, roots, admission, *most_overloaded, limits,
                      has_exchange);
    }
    for (const RouteAllocation& entry : most_overloaded->routes) {
      if (entry.granted < entry.wanted_slots) {
        RouteLimit& limit = limits[entry.route];
        const double granted = entry.granted / entry.wanted_slots;
        if (most_overloaded->is_repeats) {
          RecordNotCarried(granted, *most_overloaded->service, limit);
        }
        limit.share *= granted;
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
  UpdateShares(rules, services, {}, roots, admission);
}

void UpdateShares(const ChainRules& rules,
                  const std::vector<ServiceCapacity>& services,
                  const std::vector<RefusingService>& refusing,
                  const std::map<std::uint32_t, RootTotals>& roots,
                  ChainAdmission& admission) {
  std::vector<ServiceAllocation> allocations;
  allocations.reserve(services.size() + refusing.size());
  for (const ServiceCapacity& service : services) {
    allocations.push_back(
        MakeServiceAllocation(rules, service, roots, admission));
  }
  for (const RefusingService& service : refusing) {
    allocations.push_back(MakeRepeatAllocation(service, roots, admission));
  }
  RouteLimits limits;
  AllocateServices(rules, roots, admission, allocations, limits);
  for (auto& [route, state] : admission.routes) {
    const RouteLimit& limit = limits[route];
    // Without a limit the share is set to 1 at once, so that no request is
    // refused while the share converges.
    const double step = limit.limiting_service.empty() ? 1 : rules.share_step;
    state.share += step * (limit.share - state.share);
    state.limiting_service = limit.limiting_service;
    state.given = limit.given;
    state.not_carried = limit.not_carried;
    state.refusing_service = limit.refusing_service;
    if (state.share >= kFullShare) {
      state.share = 1;
    }
  }
}

}  // namespace almondlink::control
