#include "almondlink/control/decision_sums.h"

#include <iterator>

namespace almondlink::control {

namespace {

void AddHistogram(const DemandHistogram& added, DemandHistogram& sum) {
  for (std::size_t i = 0; i < kDemandBuckets; ++i) {
    sum.buckets[i].per_s += added.buckets[i].per_s;
    sum.buckets[i].weight += added.buckets[i].weight;
  }
}

void AddHistogram(const RunTimeHistogram& added, RunTimeHistogram& sum) {
  for (std::size_t i = 0; i < kRunTimeBuckets; ++i) {
    sum.runs[i] += added.runs[i];
  }
}

void Expire(Millis now, std::map<std::string, ReceivedSums>& received) {
  for (auto entry = received.begin(); entry != received.end();) {
    const bool is_old = now - entry->second.received_at > kMaxDecisionAge;
    entry = is_old ? received.erase(entry) : std::next(entry);
  }
}

}  // namespace

void AddDecisionSums(const DecisionSums& added, DecisionSums& sums) {
  sums.nodes += added.nodes;
  for (const auto& [service, rates] : added.refusals) {
    RefusalRates& total = sums.refusals[service];
    total.sent_per_s += rates.sent_per_s;
    total.refused_per_s += rates.refused_per_s;
  }
  for (const auto& [route, rates] : added.returns) {
    ReturnRates& total = sums.returns[route];
    total.invited_per_s += rates.invited_per_s;
    total.returned_per_s += rates.returned_per_s;
  }
  for (const auto& [route, demand] : added.account_demand) {
    AddHistogram(demand, sums.account_demand[route]);
  }
  for (const auto& [route, run_times] : added.run_times) {
    AddHistogram(run_times, sums.run_times[route]);
  }
  for (const auto& [zone, load] : added.zones) {
    ZoneLoad& total = sums.zones[zone];
    total.slots += load.slots;
    total.load += load.load;
    total.outstanding += load.outstanding;
    total.waiting += load.waiting;
  }
}

void ExpireDecisions(Millis now, DecisionAggregator& aggregator) {
  Expire(now, aggregator.members);
  Expire(now, aggregator.groups);
}

DecisionSums GroupDecisions(const DecisionAggregator& aggregator) {
  DecisionSums sums;
  for (const auto& [name, member] : aggregator.members) {
    AddDecisionSums(member.sums, sums);
  }
  return sums;
}

DecisionSums TotalDecisions(const DecisionSums& own,
                            const DecisionAggregator& aggregator) {
  DecisionSums total = own;
  for (const auto& [name, group] : aggregator.groups) {
    AddDecisionSums(group.sums, total);
  }
  return total;
}

}  // namespace almondlink::control
