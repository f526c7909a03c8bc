#include "almondlink/relay/decision_exchange.h"

#include <algorithm>
#include <utility>

#include "exchange/aggregators.h"

namespace almondlink::relay {

namespace {

/// Interval of the reports of a node that has nothing to contribute. It still
/// needs the totals, which only members of a group receive.
constexpr Millis kEmptyReportInterval{2000};

bool IsEmpty(const control::DecisionSums& sums) {
  return sums.refusals.empty() && sums.returns.empty() &&
         sums.account_demand.empty() && sums.run_times.empty() &&
         sums.zones.empty();
}

}  // namespace

DecisionExchange::DecisionExchange(const RelaySettings& settings_in,
                                   PeerTable& peers_in)
    : settings(settings_in), peers(peers_in) {}

void DecisionExchange::Tick(
    Millis now,
    const std::function<control::DecisionSums()>& make_own) {
  if (now - this->last_report >= control::kDecisionInterval) {
    this->last_report = now;
    const PeerPointer chosen = AggregatorOf(
        this->peers, this->settings.zone.Value(), kVersionDecisionSums);
    if (chosen != this->reports_to) {
      this->aggregator.members.erase(this->peers.SelfPeer()->node.name);
      this->reports_to = chosen;
      this->was_empty = true;
    }
    if (this->reports_to != nullptr) {
      this->Report(make_own(), now);
    }
  }
  if (now - this->last_aggregation >= control::kDecisionInterval) {
    this->last_aggregation = now;
    this->Aggregate(now);
  }
}

void DecisionExchange::Report(const control::DecisionSums& own, Millis now) {
  const bool is_empty = IsEmpty(own);
  const bool is_due = !is_empty || !this->was_empty ||
                      now - this->reported_at >= kEmptyReportInterval;
  this->was_empty = is_empty;
  if (!is_due) {
    return;
  }
  this->reported_at = now;
  if (this->reports_to->is_self) {
    this->aggregator.members[this->reports_to->node.name] = {now, own};
    return;
  }
  AppendDecisions(FrameType::kDecisionReport, own,
                  this->reports_to->link->OutputBuffer());
  this->reports_to->link->ScheduleFlush();
}

void DecisionExchange::Aggregate(Millis now) {
  control::ExpireDecisions(now, this->aggregator);
  if (this->aggregator.members.empty()) {
    this->member_links.clear();
    return;
  }
  const control::DecisionSums sums = control::GroupDecisions(this->aggregator);
  std::string frame;
  AppendDecisions(FrameType::kDecisionSums, sums, frame);
  for (const PeerPointer& other :
       OtherAggregators(this->peers, kVersionDecisionSums)) {
    other->link->OutputBuffer() += frame;
    other->link->ScheduleFlush();
  }
  control::DecisionSums total = control::TotalDecisions(sums, this->aggregator);
  const bool is_empty = IsEmpty(total);
  const bool is_unchanged = is_empty && this->was_total_empty;
  this->was_total_empty = is_empty;
  frame.clear();
  AppendDecisions(FrameType::kDecisionTotals, total, frame);
  for (const auto& [name, id] : this->member_links) {
    const PeerLinkPointer link = this->peers.FindAcceptedLink(id);
    if (!is_unchanged && link != nullptr &&
        this->aggregator.members.count(name) > 0) {
      link->OutputBuffer() += frame;
      link->ScheduleFlush();
    }
  }
  if (this->reports_to != nullptr && this->reports_to->is_self) {
    this->totals = std::move(total);
    this->totals_at = now;
  }
}

bool DecisionExchange::OnReport(const PeerLinkPointer& link,
                                std::string_view payload) {
  control::DecisionSums part;
  if (!Decode(payload, part)) {
    return false;
  }
  const std::string name = this->peers.NodeOfAcceptedLink(link->Id());
  if (!name.empty()) {
    this->aggregator.members[name] = {BootTimeNow(), std::move(part)};
    this->member_links[name] = link->Id();
  }
  return true;
}

bool DecisionExchange::OnSums(const PeerLinkPointer& link,
                              std::string_view payload) {
  control::DecisionSums sums;
  if (!Decode(payload, sums)) {
    return false;
  }
  const std::string name = this->peers.NodeOfAcceptedLink(link->Id());
  if (!name.empty()) {
    this->aggregator.groups[name] = {BootTimeNow(), std::move(sums)};
  }
  return true;
}

bool DecisionExchange::OnTotals(const PeerPointer& peer,
                                std::string_view payload) {
  control::DecisionSums sums;
  if (!Decode(payload, sums)) {
    return false;
  }
  if (peer == this->reports_to) {
    this->totals = std::move(sums);
    this->totals_at = BootTimeNow();
  }
  return true;
}

void DecisionExchange::OnAcceptedClosed(LinkId link) {
  const auto closed =
      std::find_if(this->member_links.begin(), this->member_links.end(),
                   [link](const auto& entry) { return entry.second == link; });
  if (closed != this->member_links.end()) {
    this->aggregator.members.erase(closed->first);
    this->member_links.erase(closed);
  }
}

void DecisionExchange::OnLinkLost(const PeerPointer& peer) {
  this->aggregator.groups.erase(peer->node.name);
}

const control::DecisionSums* DecisionExchange::Totals(Millis now) const {
  const bool is_known = this->totals_at != Millis{0} &&
                        now - this->totals_at <= control::kMaxDecisionAge;
  return is_known ? &this->totals : nullptr;
}

}  // namespace almondlink::relay
