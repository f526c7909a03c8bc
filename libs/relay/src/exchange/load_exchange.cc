#include "almondlink/relay/load_exchange.h"

#include <algorithm>
#include <utility>

#include "almondlink/base/event_log.h"
#include "exchange/aggregators.h"

namespace almondlink::relay {

namespace {

/// Totals are used for this long after the last aggregator was lost.
constexpr Millis kMaxTotalsAge{5000};
/// A node that was heard from this recently is not queried.
constexpr Millis kRecentlyHeard{500};

LoadReportFrame MakeReport(const StateFrame& own, bool is_counted) {
  LoadReportFrame report;
  report.is_counted = is_counted;
  const bool is_open = own.state == InstanceState::kReady && !own.is_stopping;
  report.service = own.instance.empty() ? 0 : ServiceKeyOf(own.service);
  report.slots = is_open ? own.slots : 0;
  report.load = LoadOf(own);
  report.limit_per_s = own.limit_per_s;
  return report;
}

/// Makes PeerTable check whether the node still answers.
void Query(Millis now, Peer& peer) {
  const bool is_due = !peer.is_self && peer.IsReachable() &&
                      now - peer.link->LastReceived() > kRecentlyHeard &&
                      peer.last_query_at <= peer.link->LastReceived();
  if (is_due) {
    peer.last_query_at = now;
  }
}

}  // namespace

LoadExchange::LoadExchange(const RelaySettings& settings_in,
                           PeerTable& peers_in)
    : settings(settings_in), peers(peers_in) {}

/// Whether this node or one that it can reach leaves its load to the sums.
bool LoadExchange::NeedsTotals() const {
  return this->is_summed ||
         std::any_of(this->peers.All().begin(), this->peers.All().end(),
                     [](const PeerPointer& peer) {
                       return !peer->is_self && peer->IsReachable() &&
                              peer->reported.is_load_summed;
                     });
}

bool LoadExchange::Tick(Millis now, const StateFrame& own) {
  const bool was_summed = this->is_summed;
  this->is_summed =
      control::UsesSums(static_cast<std::uint32_t>(this->peers.All().size()),
                        this->settings.decisions.direct_nodes, this->is_summed);
  const PeerPointer aggregator_node =
      this->NeedsTotals()
          ? AggregatorOf(this->peers, this->settings.zone.Value(),
                         kVersionLoadSums)
          : nullptr;
  if (aggregator_node != this->reports_to) {
    this->Leave();
    this->reports_to = aggregator_node;
    this->reports_since = now;
    this->last_report = Millis{0};
    LogEvent(
        kEventAggregatorChosen,
        {{"node", aggregator_node == nullptr ? std::string()
                                             : aggregator_node->node.name}});
  }
  if (this->reports_to != nullptr) {
    this->Report(now, own);
    this->WatchTotals(now);
  }
  if (now - this->last_aggregation >= control::kAggregation) {
    this->last_aggregation = now;
    this->Aggregate(now);
  }
  return this->is_summed != was_summed;
}

/// Ends the reports to the current aggregator, so that it does not count this
/// node beside the next one.
void LoadExchange::Leave() {
  if (this->reports_to == nullptr) {
    return;
  }
  if (this->reports_to->is_self) {
    this->aggregator.members.erase(this->reports_to->node.name);
  } else if (this->reports_to->IsReachable()) {
    LoadReportFrame last;
    last.is_last = true;
    Append(last, this->reports_to->link->OutputBuffer());
    this->reports_to->link->ScheduleFlush();
  }
}

void LoadExchange::Report(Millis now, const StateFrame& own) {
  const bool is_busy = own.running + own.waiting > 0 || !own.roots.empty();
  const Millis interval = is_busy ? control::kBusyReport : control::kIdleReport;
  if (this->last_report != Millis{0} && now - this->last_report < interval) {
    return;
  }
  this->last_report = now;
  const LoadReportFrame report = MakeReport(own, this->is_summed);
  this->reported_repeats.clear();
  for (const ServiceRepeats& entry : report.load.repeats) {
    if (report.is_counted) {
      control::AddRepeats(entry.counts, this->reported_repeats[entry.service]);
    }
  }
  if (this->reports_to->is_self) {
    this->aggregator.members[this->reports_to->node.name] = {
        now, report.is_counted, ToNodeLoad(report)};
    return;
  }
  Append(report, this->reports_to->link->OutputBuffer());
  this->reports_to->link->ScheduleFlush();
}

/// Queries the aggregator if its totals are overdue, and once all other nodes:
/// if most of them are silent too, this node is cut off.
void LoadExchange::WatchTotals(Millis now) {
  if (this->reports_to->is_self ||
      now - std::max(this->totals_at, this->reports_since) <=
          control::kTotalsOverdue) {
    return;
  }
  Query(now, *this->reports_to);
  if (!this->has_queried_all) {
    this->has_queried_all = true;
    for (const PeerPointer& peer : this->peers.All()) {
      Query(now, *peer);
    }
  }
}

/// Queries members that have not reported.
void LoadExchange::QuerySilentMembers(Millis now) {
  for (const std::string& name :
       control::ExpireLoads(now, control::kReportOverdue, this->aggregator)) {
    const PeerPointer member = this->peers.FindPeer(name);
    if (member != nullptr) {
      Query(now, *member);
    }
  }
}

/// Names of the nodes that do not answer this node.
std::vector<std::string> LoadExchange::SilentNodes() const {
  std::vector<std::string> silent;
  for (const PeerPointer& peer : this->peers.All()) {
    if (peer->is_suspect) {
      silent.push_back(peer->node.name);
    }
  }
  return silent;
}

/// If an aggregator does not answer another one, its zone may be cut off.
void LoadExchange::OnSuspect(const PeerPointer& peer) {
  const bool is_aggregator = std::find(this->others.begin(), this->others.end(),
                                       peer) != this->others.end();
  if (!is_aggregator || this->aggregator.members.empty()) {
    return;
  }
  const Millis now = BootTimeNow();
  for (const PeerPointer& other : this->peers.All()) {
    if (other->reported.zone == peer->reported.zone) {
      Query(now, *other);
    }
  }
}

void LoadExchange::Aggregate(Millis now) {
  this->QuerySilentMembers(now);
  if (this->aggregator.members.empty()) {
    this->member_links.clear();
    this->others.clear();
    return;
  }
  control::LoadSums sums = control::GroupSums(this->aggregator);
  sums.silent_nodes = this->SilentNodes();
  std::string frame;
  AppendSums(FrameType::kLoadSums, sums, frame);
  this->others = OtherAggregators(this->peers, kVersionLoadSums);
  for (const PeerPointer& other : this->others) {
    if (this->aggregator.groups.count(other->node.name) == 0) {
      // It may have been lost without notice, and another have taken over.
      Query(now, *other);
    }
    other->link->OutputBuffer() += frame;
    other->link->ScheduleFlush();
  }
  control::LoadSums total = control::TotalSums(sums, this->aggregator);
  frame.clear();
  AppendSums(FrameType::kLoadTotals, total, frame);
  for (const auto& [name, id] : this->member_links) {
    const PeerLinkPointer link = this->peers.FindAcceptedLink(id);
    if (link != nullptr && this->aggregator.members.count(name) > 0) {
      link->OutputBuffer() += frame;
      link->ScheduleFlush();
    }
  }
  if (this->reports_to != nullptr && this->reports_to->is_self) {
    this->SetTotals(now, std::move(total));
  }
}

bool LoadExchange::OnReport(const PeerLinkPointer& link,
                            std::string_view payload) {
  LoadReportFrame report;
  if (!Decode(payload, report)) {
    return false;
  }
  const std::string name = this->peers.NodeOfAcceptedLink(link->Id());
  if (name.empty()) {
    return true;
  }
  if (report.is_last) {
    this->aggregator.members.erase(name);
    this->member_links.erase(name);
    return true;
  }
  this->aggregator.members[name] = {BootTimeNow(), report.is_counted,
                                    ToNodeLoad(report)};
  this->member_links[name] = link->Id();
  const PeerPointer member = this->peers.FindPeer(name);
  if (member != nullptr && report.is_counted) {
    member->reported.repeats = std::move(report.load.repeats);
    member->has_repeat_counts = true;
  }
  return true;
}

bool LoadExchange::OnSums(const PeerLinkPointer& link,
                          std::string_view payload) {
  control::LoadSums sums;
  if (!Decode(payload, sums)) {
    return false;
  }
  const std::string name = this->peers.NodeOfAcceptedLink(link->Id());
  if (!name.empty()) {
    this->aggregator.groups[name] = {BootTimeNow(), std::move(sums)};
  }
  return true;
}

bool LoadExchange::OnTotals(const PeerPointer& peer, std::string_view payload) {
  control::LoadSums sums;
  if (!Decode(payload, sums)) {
    return false;
  }
  // An aggregator that this node has left sends totals until its report is too
  // old.
  if (peer == this->reports_to) {
    this->SetTotals(BootTimeNow(), std::move(sums));
  }
  return true;
}

void LoadExchange::SetTotals(Millis now, control::LoadSums sums) {
  this->totals = std::move(sums);
  this->totals_at = now;
  this->has_queried_all = false;
  for (const std::string& name : this->totals.silent_nodes) {
    const PeerPointer peer = this->peers.FindPeer(name);
    if (peer != nullptr) {
      Query(now, *peer);
    }
  }
}

void LoadExchange::OnAcceptedClosed(LinkId link) {
  const auto closed =
      std::find_if(this->member_links.begin(), this->member_links.end(),
                   [link](const auto& entry) { return entry.second == link; });
  if (closed != this->member_links.end()) {
    this->aggregator.members.erase(closed->first);
    this->member_links.erase(closed);
  }
}

void LoadExchange::OnLinkLost(const PeerPointer& peer) {
  this->aggregator.groups.erase(peer->node.name);
}

const control::LoadSums* LoadExchange::Totals(Millis now) const {
  const bool is_known =
      this->totals_at != Millis{0} && now - this->totals_at <= kMaxTotalsAge;
  return is_known ? &this->totals : nullptr;
}

control::RepeatSums LoadExchange::RepeatsOfOthers(std::uint32_t service,
                                                  Millis now) const {
  const control::LoadSums* sums = this->Totals(now);
  if (sums == nullptr) {
    return {};
  }
  const auto all = sums->repeats.find(service);
  if (all == sums->repeats.end()) {
    return {};
  }
  control::RepeatSums others = all->second;
  const auto own = this->reported_repeats.find(service);
  if (own != this->reported_repeats.end()) {
    // The totals may hold an older report with smaller counts.
    const auto without = [](std::uint64_t sum, std::uint64_t part) {
      return sum - std::min(sum, part);
    };
    others.requests = without(others.requests, own->second.requests);
    others.requests_half_earlier = without(others.requests_half_earlier,
                                           own->second.requests_half_earlier);
    others.requests_previous =
        without(others.requests_previous, own->second.requests_previous);
    others.repeats = without(others.repeats, own->second.repeats);
  }
  return others;
}

}  // namespace almondlink::relay
