#include "almondlink/control/load_sums.h"

#include <algorithm>
#include <cmath>
#include <iterator>

#include "almondlink/base/hash.h"
#include "almondlink/control/error_rate.h"
#include "almondlink/control/named_limit.h"

namespace almondlink::control {

namespace {

/// Part of `direct_nodes` that a fleet must shrink to before its nodes send
/// direct loads again.
constexpr double kDirectAgainPart = 0.75;
/// Bound on the speed of a target relative to the mean, as for direct loads.
constexpr double kMaxRelativeSpeed = 2.0;

/// Means over the targets of one service.
struct ServiceMeans {
  std::uint32_t targets = 0;
  double error_rates = 0;
  double timed_calls_per_s = 0;
  double timed_work = 0;

  double WorkMs() const {
    return this->timed_calls_per_s > 0
               ? this->timed_work / this->timed_calls_per_s
               : 0;
  }
  double ErrorRateWithout(double own) const {
    return this->targets < 2 ? 0
                             : (this->error_rates - own) / (this->targets - 1);
  }
};

std::map<std::uint32_t, ServiceMeans> MeansOf(
    const std::vector<const NodeLoad*>& loads) {
  std::map<std::uint32_t, ServiceMeans> all;
  for (const NodeLoad* load : loads) {
    if (load->service == 0) {
      continue;
    }
    ServiceMeans& means = all[load->service];
    ++means.targets;
    means.error_rates += load->target.error_rate;
    for (const RouteDemand& demand : load->target.demand) {
      if (demand.work_ms > 0) {
        means.timed_calls_per_s += demand.calls_per_s;
        means.timed_work += demand.calls_per_s * demand.work_ms;
      }
    }
  }
  return all;
}

void AddTarget(const TargetCapacity& target,
               const ServiceMeans& means,
               TargetSums& sums) {
  const double excess_errors = ExcessErrorRate(
      target.error_rate, means.ErrorRateWithout(target.error_rate));
  double slots = target.slots * (1 - excess_errors);
  if (target.limit_per_s.has_value() && target.work_ms > 0) {
    slots = std::min(
        slots, PlannedSlotsWithinLimit(*target.limit_per_s, target.work_ms));
  }
  ++sums.targets;
  sums.waiting += target.waiting;
  sums.slots += slots;
  if (target.work_ms > 0) {
    const double work_ms =
        std::max(target.work_ms, means.WorkMs() / kMaxRelativeSpeed);
    sums.timed_slots += slots;
    sums.slots_per_ms += slots / work_ms;
  }
  for (const RouteDemand& demand : target.demand) {
    DemandSums& total = sums.demand[demand.route];
    total.calls_per_s += demand.calls_per_s;
    if (demand.work_ms > 0) {
      total.timed_calls_per_s += demand.calls_per_s;
      total.timed_work += demand.calls_per_s * demand.work_ms;
    }
  }
}

}  // namespace

std::uint32_t GroupCount(std::uint32_t nodes_in_zone) {
  std::uint32_t groups = 1;
  while (groups * kMaxGroupSize < nodes_in_zone) {
    groups *= 2;
  }
  return groups;
}

std::uint32_t GroupOf(std::string_view node, std::uint32_t groups) {
  return static_cast<std::uint32_t>(StableHash(node) % groups);
}

std::uint64_t AggregatorRank(std::string_view candidate, std::uint32_t group) {
  // Seed 0 is the hash that selects the group of a node.
  return StableHash(candidate, group + 1ULL);
}

bool UsesSums(std::uint32_t nodes, std::uint32_t direct_nodes, bool is_summed) {
  return nodes > (is_summed ? kDirectAgainPart : 1) * direct_nodes;
}

void AddRepeats(const RepeatCounts& counts, RepeatSums& sums) {
  sums.requests += counts.requests;
  sums.requests_half_earlier += counts.requests_half_earlier;
  sums.requests_previous += counts.requests_previous;
  sums.repeats += counts.repeats;
}

LoadSums SumLoads(const std::vector<const NodeLoad*>& loads) {
  const std::map<std::uint32_t, ServiceMeans> means = MeansOf(loads);
  LoadSums sums;
  for (const NodeLoad* load : loads) {
    ++sums.nodes;
    if (load->service != 0) {
      AddTarget(load->target, means.at(load->service),
                sums.services[load->service]);
    }
    for (const RootRate& rate : load->roots) {
      AddRootRate(rate, sums.roots);
    }
    for (const auto& [service, counts] : load->repeats) {
      AddRepeats(counts, sums.repeats[service]);
    }
  }
  return sums;
}

void AddSums(const LoadSums& added, LoadSums& sums) {
  sums.nodes += added.nodes;
  sums.silent_nodes.insert(sums.silent_nodes.end(), added.silent_nodes.begin(),
                           added.silent_nodes.end());
  for (const auto& [service, targets] : added.services) {
    TargetSums& total = sums.services[service];
    total.targets += targets.targets;
    total.waiting += targets.waiting;
    total.slots += targets.slots;
    total.timed_slots += targets.timed_slots;
    total.slots_per_ms += targets.slots_per_ms;
    for (const auto& [route, demand] : targets.demand) {
      DemandSums& route_total = total.demand[route];
      route_total.calls_per_s += demand.calls_per_s;
      route_total.timed_calls_per_s += demand.timed_calls_per_s;
      route_total.timed_work += demand.timed_work;
    }
  }
  for (const auto& [route, roots] : added.roots) {
    AddRootTotals(roots, sums.roots[route]);
  }
  for (const auto& [service, repeats] : added.repeats) {
    RepeatSums& total = sums.repeats[service];
    total.requests += repeats.requests;
    total.requests_half_earlier += repeats.requests_half_earlier;
    total.requests_previous += repeats.requests_previous;
    total.repeats += repeats.repeats;
  }
}

TargetCapacity CombinedTarget(const TargetSums& sums) {
  TargetCapacity target;
  target.slots = static_cast<std::uint32_t>(std::lround(sums.slots));
  target.waiting = static_cast<std::uint32_t>(std::lround(sums.waiting));
  target.work_ms =
      sums.slots_per_ms > 0 ? sums.timed_slots / sums.slots_per_ms : 0;
  for (const auto& [route, demand] : sums.demand) {
    RouteDemand combined;
    combined.route = route;
    combined.calls_per_s = demand.calls_per_s;
    combined.work_ms = demand.timed_calls_per_s > 0
                           ? demand.timed_work / demand.timed_calls_per_s
                           : 0;
    target.demand.push_back(combined);
  }
  return target;
}

std::vector<std::string> ExpireLoads(Millis now,
                                     Millis overdue,
                                     LoadAggregator& aggregator) {
  std::vector<std::string> late;
  for (auto entry = aggregator.members.begin();
       entry != aggregator.members.end();) {
    const Millis age = now - entry->second.received_at;
    if (age > overdue) {
      late.push_back(entry->first);
    }
    entry =
        age > kMaxLoadAge ? aggregator.members.erase(entry) : std::next(entry);
  }
  for (auto entry = aggregator.groups.begin();
       entry != aggregator.groups.end();) {
    const bool is_old = now - entry->second.received_at > kMaxSumsAge;
    entry = is_old ? aggregator.groups.erase(entry) : std::next(entry);
  }
  return late;
}

LoadSums GroupSums(const LoadAggregator& aggregator) {
  std::vector<const NodeLoad*> loads;
  for (const auto& [name, member] : aggregator.members) {
    if (member.is_counted) {
      loads.push_back(&member.load);
    }
  }
  return SumLoads(loads);
}

LoadSums TotalSums(const LoadSums& own, const LoadAggregator& aggregator) {
  LoadSums total = own;
  for (const auto& [name, group] : aggregator.groups) {
    AddSums(group.sums, total);
  }
  return total;
}

}  // namespace almondlink::control
