#ifndef ALMONDLINK_CONTROL_DECISION_SUMS_H_
#define ALMONDLINK_CONTROL_DECISION_SUMS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "almondlink/base/clock.h"

/// Sums over all nodes that decisions under lasting load need beside the loads
/// of load_sums.h.
///
/// They travel as the loads of a large fleet do: each node reports its own part
/// to the aggregator of its group, aggregators exchange the sums of their
/// groups, and each node receives the total. They change more slowly than loads
/// and are used in a fleet of any size, so each has an interval of its own and
/// one path. Nothing in them is per node or per pair of nodes.
namespace almondlink::control {

/// Requests per second that were sent to the targets of a service, and those of
/// them that a target refused without running them.
struct RefusalRates {
  double sent_per_s = 0;
  double refused_per_s = 0;
};

/// Refused callers of one class that were invited to return while it is short
/// of capacity (see returning_callers.h), and requests that did return, per
/// second.
struct ReturnRates {
  double invited_per_s = 0;
  double returned_per_s = 0;
};

/// Capacity and demand of a service in one availability zone, in slots.
struct ZoneLoad {
  /// Usable slots of the targets in the zone, weighted by their speed.
  double slots = 0;
  /// Calls that run or are queued at the targets in the zone.
  double load = 0;
  /// Calls that the nodes of the zone have under way at targets of any zone.
  double outstanding = 0;
};

/// Accounts whose demand lies in one range of multiples of their weight.
struct DemandBucket {
  double per_s = 0;
  double weight = 0;
};

/// Demand of the accounts of one class by the ratio of demand and weight: each
/// bucket covers a factor of the square root of two, from 2^-8 to 2^8.
constexpr std::size_t kDemandBuckets = 32;
struct DemandHistogram {
  std::array<DemandBucket, kDemandBuckets> buckets{};
};

/// Run times of one route, scaled to a target of speed 1: each bucket covers a
/// factor of the cube root of two, from 1 ms.
constexpr std::size_t kRunTimeBuckets = 48;
struct RunTimeHistogram {
  std::array<double, kRunTimeBuckets> runs{};
};

/// Hash of an availability zone's name and number of a service.
using ZoneService = std::pair<std::uint32_t, std::uint32_t>;

/// Part of one node, or sum over any number of nodes.
struct DecisionSums {
  std::uint32_t nodes = 0;
  /// By service, see ServiceCapacity::key.
  std::map<std::uint32_t, RefusalRates> refusals;
  /// By class of root requests, see RootRate::route.
  std::map<std::uint32_t, ReturnRates> returns;
  std::map<std::uint32_t, DemandHistogram> account_demand;
  /// By called route.
  std::map<std::uint32_t, RunTimeHistogram> run_times;
  std::map<ZoneService, ZoneLoad> zones;
};

void AddDecisionSums(const DecisionSums& added, DecisionSums& sums);

/// Part or sum of a node, and when it arrived.
struct ReceivedSums {
  Millis received_at;
  DecisionSums sums;
};

/// State of a node as an aggregator, by name of the sender. Not thread safe.
struct DecisionAggregator {
  std::map<std::string, ReceivedSums> members;
  std::map<std::string, ReceivedSums> groups;
};

/// Interval of reports, sums and totals. A total is up to three intervals old.
constexpr Millis kDecisionInterval{500};
/// Parts and sums older than this are dropped, and so are totals.
constexpr Millis kMaxDecisionAge{2500};

/// Drops parts and sums that are older than kMaxDecisionAge.
void ExpireDecisions(Millis now, DecisionAggregator& aggregator);

/// Sum over the members of the group.
DecisionSums GroupDecisions(const DecisionAggregator& aggregator);

/// `own` plus the sums of the other aggregators.
DecisionSums TotalDecisions(const DecisionSums& own,
                            const DecisionAggregator& aggregator);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_DECISION_SUMS_H_
