#include <algorithm>
#include <cstdint>
#include <map>
#include <string>

#include "almondlink/base/event_log.h"
#include "almondlink/relay/relay_node.h"

/// The metrics of a relay node (docs/OPERATIONS.md lists them).
namespace almondlink::relay {

namespace {

constexpr double kMillisPerSecond = 1000;

void WriteTarget(const ServedCalls& served, MetricText& out) {
  out.AddSingle("target_running", "gauge", "Calls running at the target.",
                served.Running());
  out.AddSingle("target_waiting", "gauge", "Calls queued for a slot.",
                served.Waiting());
  out.AddSingle("target_slots", "gauge", "Maximum number of concurrent calls.",
                control::UsableSlots(served.Ledger()));
  out.AddSingle("target_connects_total", "counter",
                "Connections opened to the target.",
                static_cast<double>(served.ConnectCount()));
  out.AddSingle("target_sent_total", "counter", "Requests sent to the target.",
                static_cast<double>(served.Counters().sent));
  const ServedCounters& counters = served.Counters();
  const std::uint64_t unnamed =
      counters.refused_unnamed_first + counters.refused_unnamed_later;
  out.Begin("target_refusals_total", "counter",
            "Refusals by the target: with the id of their request, or without "
            "on a connection that had carried no other request (first) or had "
            "(later).");
  out.Add("id=\"named\"",
          static_cast<double>(counters.refused_by_target - unnamed));
  out.Add("id=\"first\"", static_cast<double>(counters.refused_unnamed_first));
  out.Add("id=\"later\"", static_cast<double>(counters.refused_unnamed_later));
  out.Begin("target_limit_per_s", "gauge",
            "Requests per second that the target accepts from all nodes "
            "together; absent while it names no limit.");
  if (served.Limit().per_s.has_value()) {
    out.Add("", *served.Limit().per_s);
  }
  out.AddSingle("target_rate_limited_total", "counter",
                "Calls returned because the rate limit that the target names "
                "was used up.",
                static_cast<double>(served.Counters().rate_limited));
  out.AddSingle("target_ends_total", "counter",
                "Crashes of the target's process while it served calls.",
                static_cast<double>(served.Counters().target_crashes));
}

void WriteRepeats(
    const std::map<std::string, control::RepeatCapacity>& capacities,
    const std::map<std::string, std::uint64_t>& denied,
    MetricText& out) {
  out.Begin("repeats_left", "gauge", "Repeats that this node may still make.");
  for (const auto& [service, capacity] : capacities) {
    out.Add(MetricLabel("service", service), capacity.bound - capacity.repeats);
  }
  out.Begin("repeats_allowed", "gauge",
            "Repeats that this node may make within the window.");
  for (const auto& [service, capacity] : capacities) {
    out.Add(MetricLabel("service", service), capacity.bound);
  }
  out.Begin("repeats_denied_total", "counter",
            "Repeats denied because the limit was reached.");
  for (const auto& [service, count] : denied) {
    out.Add(MetricLabel("service", service), static_cast<double>(count));
  }
}

void WriteQuarantine(const EntryCalls& entry,
                     const control::QuarantineTable& table,
                     MetricText& out) {
  const control::QuarantineRules& rules = QuarantineExchange::Rules();
  const auto held = std::count_if(
      table.records.begin(), table.records.end(), [&rules](const auto& known) {
        return control::IsQuarantined(rules, known.second);
      });
  out.Begin("blamed_requests", "gauge",
            "Distinct requests that crashed targets, and those of them that "
            "are quarantined (held).");
  out.Add("state=\"known\"", static_cast<double>(table.records.size()));
  out.Add("state=\"held\"", static_cast<double>(held));
  const TrialCounts& trials = entry.Trials();
  out.Begin("trials_total", "counter",
            "Trials of quarantined requests by outcome; whole: quarantined "
            "wrongly.");
  for (const auto& [outcome, count] : trials.by_outcome) {
    out.Add(MetricLabel("outcome", outcome), static_cast<double>(count));
  }
  out.AddSingle("refused_for_ends_total", "counter",
                "Requests refused because they crashed targets.",
                static_cast<double>(trials.refused));
}

void WriteLog(MetricText& out) {
  const LogCounts lines = CountLogLines();
  out.Begin("log_lines_total", "counter", "Log lines by outcome.");
  out.Add("outcome=\"written\"", static_cast<double>(lines.written));
  out.Add("outcome=\"left_out\"", static_cast<double>(lines.left_out));
}

void WritePeers(const PeerTable& peers, MetricText& out) {
  const std::vector<PeerPointer>& all = peers.All();
  const auto count = [&all](bool (*holds)(const Peer&)) {
    return static_cast<double>(std::count_if(
        all.begin(), all.end(),
        [holds](const PeerPointer& peer) { return holds(*peer); }));
  };
  out.AddSingle("peers", "gauge", "Reachable nodes, including this one.",
                peers.CountReachable());
  out.AddSingle("peers_suspect", "gauge",
                "Nodes that are silent while answers are due.",
                count([](const Peer& peer) { return peer.is_suspect; }));
  out.AddSingle("peer_links", "gauge", "Open links to other nodes.",
                static_cast<double>(peers.CountLinks()));
  out.AddSingle("open_targets", "gauge", "Targets that accept calls.",
                count([](const Peer& peer) {
                  return peer.IsReachable() &&
                         peer.reported.state == InstanceState::kReady;
                }));
}

void WriteLoads(const LoadExchange& loads, Millis now, MetricText& out) {
  const control::LoadSums* totals = loads.Totals(now);
  out.AddSingle("summed_nodes", "gauge",
                "Nodes in the load totals that this node received last.",
                totals == nullptr ? 0 : totals->nodes);
  out.AddSingle("load_members", "gauge",
                "Nodes that report their load to this one.",
                static_cast<double>(loads.MemberCount()));
  out.AddSingle("load_groups", "gauge",
                "Aggregators that send this node their sums.",
                static_cast<double>(loads.GroupCount()));
}

}  // namespace

void RelayNode::WriteMetrics(MetricText& out) {
  const Millis now = BootTimeNow();
  this->entry.Counts().Write(out);
  WriteRepeats(this->entry.RepeatCapacities(now), this->entry.RepeatsDenied(),
               out);
  out.Begin("refused_for_total", "counter",
            "Root requests refused at entry, by the service that lacked "
            "capacity.");
  for (const auto& [service, count] : this->entry.RefusalsByService()) {
    out.Add(MetricLabel("service", service), static_cast<double>(count));
  }
  WriteAccountCounts(this->entry.CountsByAccount(), out);
  this->WriteLeaves(out);
  this->entry.WriteReturns(out);
  WriteRouteDecisions(
      this->entry.RouteDecisions(),
      [this](std::uint32_t key) { return this->entry.RouteName(key); }, out);
  out.Begin(
      "short_slot_seconds_total", "counter",
      "Slot time, available (there) and used, while requests were refused "
      "because this target's service lacked capacity.");
  out.Add("part=\"there\"", this->short_available_s);
  out.Add("part=\"used\"", this->short_used_s);
  out.Begin("admitted_share", "gauge", "Share of the root requests admitted.");
  for (const auto& [key, share] : this->entry.Admission().routes) {
    out.Add(MetricLabel("route", this->entry.RouteName(key)), share.share);
  }
  this->WriteChains(out);
  WriteTarget(this->served, out);
  this->WriteCapacityMetrics(out);
  this->WriteQueue(out);
  WritePeers(this->peers, out);
  WriteLoads(this->loads, now, out);
  WriteQuarantine(this->entry, this->entry.Quarantine().Table(), out);
  out.AddSingle("follows_policy_source", "gauge",
                "1 if this node polls the policy source for others.",
                this->FollowsSource() ? 1 : 0);
  out.AddSingle("policy_version", "gauge", "Version of the policy in force.",
                static_cast<double>(this->PolicyVersion()));
  if (this->PolicyVersion() != 0) {
    out.AddSingle("policy_age_seconds", "gauge",
                  "Time since the policy in force was applied.",
                  static_cast<double>((now - this->policy_applied_at).count) /
                      kMillisPerSecond);
  }
  WriteLog(out);
}

/// Omits services that no known node reports any more.
void RelayNode::WriteChains(MetricText& out) const {
  std::map<std::uint32_t, std::string> names;
  for (const PeerPointer& peer : this->peers.All()) {
    names.emplace(ServiceKeyOf(peer->reported.service), peer->reported.service);
  }
  out.Begin("calls_per_root", "gauge",
            "Calls at a service per root request, as counted at this node.");
  for (const auto& [route, chain] : this->entry.Admission().chains.routes) {
    for (const control::ServiceCalls& calls : chain.calls) {
      const auto name = names.find(calls.service);
      if (name != names.end()) {
        out.Add(MetricLabel("route", this->entry.RouteName(route)) + "," +
                    MetricLabel("service", name->second),
                calls.per_root);
      }
    }
  }
}

}  // namespace almondlink::relay
