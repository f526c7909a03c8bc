#ifndef ALMONDLINK_RELAY_DECISION_EXCHANGE_H_
#define ALMONDLINK_RELAY_DECISION_EXCHANGE_H_

#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "almondlink/base/clock.h"
#include "almondlink/control/decision_sums.h"
#include "almondlink/relay/peer_table.h"
#include "almondlink/relay/relay_settings.h"

/// Exchange of the sums of almondlink/control/decision_sums.h between nodes.
///
/// Reports, sums and totals take the way of LoadExchange: a node reports to the
/// aggregator of its group and gets totals on the same link. A lost aggregator
/// is replaced with the next report by the node that rendezvous hashing selects
/// then. Until its totals arrive, and on a node that is cut off, the last total
/// is used up to kMaxDecisionAge, then none; decisions then do without. A
/// silent aggregator is noticed by LoadExchange or by the calls to its target.
namespace almondlink::relay {

/// Not thread safe: belongs to one loop.
class DecisionExchange {
 public:
  /// All arguments must outlive the object.
  DecisionExchange(const RelaySettings& settings, PeerTable& peers);

  /// Sends what is due. `make_own` builds the part of this node and is called
  /// once per report; an empty part is reported more rarely, and totals without
  /// content are sent once. Call every 100 ms.
  void Tick(Millis now, const std::function<control::DecisionSums()>& make_own);

  /// Handle frames; they return false if the payload cannot be decoded.
  bool OnReport(const PeerLinkPointer& link, std::string_view payload);
  bool OnSums(const PeerLinkPointer& link, std::string_view payload);
  bool OnTotals(const PeerPointer& peer, std::string_view payload);

  void OnAcceptedClosed(LinkId link);
  void OnLinkLost(const PeerPointer& peer);

  /// The sums over all nodes, including this one; null if none were received
  /// lately. Valid until the next call of a method.
  const control::DecisionSums* Totals(Millis now) const;
  /// Time since the totals arrived.
  Millis TotalsAge(Millis now) const { return now - this->totals_at; }

 private:
  void Report(const control::DecisionSums& own, Millis now);
  void Aggregate(Millis now);

  const RelaySettings& settings;
  PeerTable& peers;
  /// The node that this one reports to, which may be itself; null if there is
  /// none.
  PeerPointer reports_to;
  Millis last_report;
  Millis reported_at;
  bool was_empty = true;
  /// The totals that were sent last had no content.
  bool was_total_empty = true;
  control::DecisionSums totals;
  Millis totals_at;
  control::DecisionAggregator aggregator;
  /// Accepted links of the members, by name of the node.
  std::map<std::string, LinkId> member_links;
  Millis last_aggregation;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_DECISION_EXCHANGE_H_
