#ifndef ALMONDLINK_RELAY_LOAD_EXCHANGE_H_
#define ALMONDLINK_RELAY_LOAD_EXCHANGE_H_

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "almondlink/base/clock.h"
#include "almondlink/control/load_sums.h"
#include "almondlink/relay/peer_table.h"
#include "almondlink/relay/relay_settings.h"

/// Exchange of load sums between nodes, see almondlink/control/load_sums.h.
///
/// A node reports to the aggregator of its group and receives totals on the
/// same link, which show that the aggregator works. If totals do not arrive,
/// the node queries the aggregator and all other nodes that have been silent,
/// since it may be cut off itself. An aggregator queries members that do not
/// report, and all nodes of a zone whose aggregator does not answer. It names
/// those that do not answer in its sums, and the receivers query them too
/// before they stop sending calls there.
namespace almondlink::relay {

/// Not thread safe: belongs to one loop.
class LoadExchange {
 public:
  /// All arguments must outlive the object.
  LoadExchange(const RelaySettings& settings, PeerTable& peers);

  /// Whether the load of this node is part of the sums. If not, it is sent to
  /// all nodes directly.
  bool IsSummed() const { return this->is_summed; }

  /// Sends what is due. `own`: current state of this node. Returns true if
  /// IsSummed() has changed. Call every 100 ms.
  bool Tick(Millis now, const StateFrame& own);

  /// Handle frames; they return false if the payload cannot be decoded.
  bool OnReport(const PeerLinkPointer& link, std::string_view payload);
  bool OnSums(const PeerLinkPointer& link, std::string_view payload);
  bool OnTotals(const PeerPointer& peer, std::string_view payload);

  void OnAcceptedClosed(LinkId link);
  void OnLinkLost(const PeerPointer& peer);
  /// The node does not answer, see Peer::is_suspect.
  void OnSuspect(const PeerPointer& peer);

  /// The sums over all nodes whose loads are summed, including this one; null
  /// if none were received lately. Valid until the next call of a method.
  const control::LoadSums* Totals(Millis now) const;

  /// Repeat counts of a service in the totals without those of this node.
  control::RepeatSums RepeatsOfOthers(std::uint32_t service, Millis now) const;

  /// Number of nodes that report to this one, and of other aggregators that
  /// send it their sums.
  std::size_t MemberCount() const { return this->aggregator.members.size(); }
  std::size_t GroupCount() const { return this->aggregator.groups.size(); }

 private:
  void Leave();
  void Report(Millis now, const StateFrame& own);
  void WatchTotals(Millis now);
  void Aggregate(Millis now);
  void QuerySilentMembers(Millis now);
  std::vector<std::string> SilentNodes() const;
  void SetTotals(Millis now, control::LoadSums sums);
  bool NeedsTotals() const;

  const RelaySettings& settings;
  PeerTable& peers;
  bool is_summed = false;
  /// The node that this one reports to, which may be itself; null if none is
  /// needed.
  PeerPointer reports_to;
  /// When this node began to report to it, and when it last did.
  Millis reports_since;
  Millis last_report;
  /// Repeat counts of the last report.
  std::map<std::uint32_t, control::RepeatSums> reported_repeats;
  control::LoadSums totals;
  Millis totals_at;
  /// All silent nodes were queried since totals last arrived.
  bool has_queried_all = false;
  control::LoadAggregator aggregator;
  /// Accepted links of the members, by name of the node.
  std::map<std::string, LinkId> member_links;
  Millis last_aggregation;
  /// The other aggregators that the last sums were sent to.
  std::vector<PeerPointer> others;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_LOAD_EXCHANGE_H_
