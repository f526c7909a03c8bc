#ifndef ALMONDLINK_CONTROL_LOAD_SUMS_H_
#define ALMONDLINK_CONTROL_LOAD_SUMS_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "almondlink/base/clock.h"
#include "almondlink/control/chain_admission.h"
#include "almondlink/control/repeat_allowance.h"

/// Sums of the loads of a large fleet.
///
/// Admission and the bound on repeats use sums over all nodes. If each node
/// sent its load to every other node, the messages of a fleet would grow with
/// the square of its size. Instead, the nodes of an availability zone are
/// divided into groups of at most `kMaxGroupSize`, and each group has an
/// aggregator: the member of the zone that rendezvous hashing selects for the
/// group.
///
///     node -> its aggregator              load
///     aggregator -> other aggregators     sum over its group
///     aggregator -> the nodes it serves   total over all groups
///
/// With n nodes in G groups a node sends one message per interval and receives
/// one; an aggregator handles n / G loads and G - 1 sums. A total is up to
/// three intervals old.
///
/// An aggregator adds up whatever it receives, so nodes with different views of
/// the membership need not agree on the groups: for a moment a node may be
/// counted twice or not at all, together with its target. Shares depend on the
/// ratio of demand and capacity, which both count the same nodes.
namespace almondlink::control {

constexpr std::uint32_t kMaxGroupSize = 64;

/// Number of groups of a zone: the smallest power of two with groups of at most
/// `kMaxGroupSize` nodes. A power of two changes rarely as the zone grows.
std::uint32_t GroupCount(std::uint32_t nodes_in_zone);

/// The group of a node. Precondition: `groups` > 0.
std::uint32_t GroupOf(std::string_view node, std::uint32_t groups);

/// Rank of a candidate as the aggregator of a group; the highest is selected.
std::uint64_t AggregatorRank(std::string_view candidate, std::uint32_t group);

/// Whether a node leaves its load to the sums instead of sending it to every
/// other node. Direct loads are more recent, so fleets of up to `direct_nodes`
/// use them. `nodes`: known nodes; `is_summed`: the current answer, which has
/// hysteresis.
bool UsesSums(std::uint32_t nodes, std::uint32_t direct_nodes, bool is_summed);

/// Repeat counts of one service.
struct RepeatSums {
  std::uint64_t requests = 0;
  std::uint64_t requests_half_earlier = 0;
  std::uint64_t requests_previous = 0;
  std::uint64_t repeats = 0;
};

void AddRepeats(const RepeatCounts& counts, RepeatSums& sums);

/// Load of one node.
struct NodeLoad {
  /// Service of the target beside the node, see ServiceCapacity::key; 0 if
  /// there is no target.
  std::uint32_t service = 0;
  TargetCapacity target;
  std::vector<RootRate> roots;
  /// By service.
  std::map<std::uint32_t, RepeatCounts> repeats;
};

/// Demand of one route at the targets of a service.
struct DemandSums {
  double calls_per_s = 0;
  /// The part of `calls_per_s` whose mean time is known, and the sum of its
  /// rates times its mean times.
  double timed_calls_per_s = 0;
  double timed_work = 0;
};

/// Capacity and demand of the targets of a service.
struct TargetSums {
  std::uint32_t targets = 0;
  double waiting = 0;
  /// Slots, less those that a target's own failures waste or that its rate
  /// limit leaves idle.
  double slots = 0;
  /// The part of `slots` at targets whose mean time of a call is known, and the
  /// sum of slots / mean time over them.
  double timed_slots = 0;
  double slots_per_ms = 0;
  std::map<std::uint32_t, DemandSums> demand;
};

/// Sums over any number of nodes; maps are by service or route.
struct LoadSums {
  std::uint32_t nodes = 0;
  std::map<std::uint32_t, TargetSums> services;
  std::map<std::uint32_t, RootTotals> roots;
  std::map<std::uint32_t, RepeatSums> repeats;
  /// Names of nodes that do not answer their aggregator.
  std::vector<std::string> silent_nodes;
};

/// Sums the loads of some nodes. Speed and failures of a target are compared
/// with the other targets of the same service among them.
LoadSums SumLoads(const std::vector<const NodeLoad*>& loads);

void AddSums(const LoadSums& added, LoadSums& sums);

/// The targets as one target of the same capacity and demand.
TargetCapacity CombinedTarget(const TargetSums& sums);

/// State of a node as an aggregator. Not thread safe.
struct LoadAggregator {
  struct Member {
    Millis received_at;
    /// Its load is part of the sums; otherwise it only receives the totals.
    bool is_counted = false;
    NodeLoad load;
  };
  struct Group {
    Millis received_at;
    LoadSums sums;
  };
  /// By name of the node.
  std::map<std::string, Member> members;
  /// Sums of the other aggregators, by name of the node.
  std::map<std::string, Group> groups;
};

/// Interval of the reports of a node that handles requests, and of an idle one.
constexpr Millis kBusyReport{250};
constexpr Millis kIdleReport{1000};
/// Interval of the sums and totals of an aggregator.
constexpr Millis kAggregation{200};
/// A member is queried if it has not reported for this long, an aggregator if
/// it has not sent totals.
constexpr Millis kReportOverdue{1300};
constexpr Millis kTotalsOverdue{700};

/// Loads and sums older than this are dropped. Of a member that does not
/// answer the other nodes are told meanwhile.
constexpr Millis kMaxLoadAge{2600};
constexpr Millis kMaxSumsAge{1000};

/// Drops loads and sums that are too old. Returns the members that have not
/// reported for `overdue` although they still count.
std::vector<std::string> ExpireLoads(Millis now,
                                     Millis overdue,
                                     LoadAggregator& aggregator);

/// Sum over the members that are counted.
LoadSums GroupSums(const LoadAggregator& aggregator);

/// `own` plus the sums of the other aggregators.
LoadSums TotalSums(const LoadSums& own, const LoadAggregator& aggregator);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_LOAD_SUMS_H_
