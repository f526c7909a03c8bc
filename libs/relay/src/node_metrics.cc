#include <algorithm>
#include <map>
#include <string>

#include "almondlink/base/event_log.h"
#include "almondlink/relay/relay_node.h"

/// The metrics of a relay node (docs/OPERATIONS.md lists them).
namespace almondlink::relay {

namespace {

constexpr double kMillisPerSecond = 1000;

void WriteTarget(const ServedCalls& served, MetricText& out) {
  out.AddSingle("target_running", "gauge", "Calls at the target now.",
                served.Running());
  out.AddSingle("target_waiting", "gauge", "Calls that wait for a slot.",
                served.Waiting());
  out.AddSingle("target_slots", "gauge", "Calls that may run at once.",
                control::UsableSlots(served.Ledger()));
  out.AddSingle("target_connects_total", "counter",
                "New connections to the target.",
                static_cast<double>(served.Connects()));
  out.AddSingle("target_ends_total", "counter",
                "Starts of the target whose process ended under calls.",
                static_cast<double>(served.Counters().target_ends));
}

void WriteRepeats(const std::map<std::string, control::RepeatRoom>& rooms,
                  const std::map<std::string, std::uint64_t>& denied,
                  MetricText& out) {
  out.Begin("repeats_left", "gauge", "Repeats that may still be made now.");
  for (const auto& [service, room] : rooms) {
    out.Add(MetricLabel("service", service), room.bound - room.repeats);
  }
  out.Begin("repeats_allowed", "gauge",
            "Repeats that this node may make within the window.");
  for (const auto& [service, room] : rooms) {
    out.Add(MetricLabel("service", service), room.bound);
  }
  out.Begin("repeats_denied_total", "counter",
            "Repeats asked for and not given: what failed was not made good.");
  for (const auto& [service, count] : denied) {
    out.Add(MetricLabel("service", service), static_cast<double>(count));
  }
}

void WriteBlame(const EntryCalls& entry,
                const control::BlameTable& table,
                MetricText& out) {
  const control::BlameRules& rules = BlameExchange::Rules();
  const auto held = std::count_if(
      table.records.begin(), table.records.end(), [&rules](const auto& known) {
        return control::IsSuspect(rules, known.second);
      });
  out.Begin("blamed_requests", "gauge",
            "Different requests that targets ended under, and those of them "
            "that run on trial only.");
  out.Add("state=\"known\"", static_cast<double>(table.records.size()));
  out.Add("state=\"held\"", static_cast<double>(held));
  const TrialCounts& trials = entry.Trials();
  out.Begin("trials_total", "counter",
            "Trials of such requests, by what came of them; whole: it was held "
            "wrongly.");
  for (const auto& [outcome, count] : trials.by_outcome) {
    out.Add(MetricLabel("outcome", outcome), static_cast<double>(count));
  }
  out.AddSingle("refused_for_ends_total", "counter",
                "Requests refused because targets ended under the same.",
                static_cast<double>(trials.refused));
}

void WriteLog(MetricText& out) {
  const LogCounts lines = CountLogLines();
  out.Begin("log_lines_total", "counter", "Log lines.");
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
  out.AddSingle("peers", "gauge", "Nodes that can be reached, with this one.",
                peers.CountLive());
  out.AddSingle("peers_suspect", "gauge",
                "Nodes that are silent while calls are out.",
                count([](const Peer& peer) { return peer.is_suspect; }));
  out.AddSingle("open_targets", "gauge", "Targets that take calls.",
                count([](const Peer& peer) {
                  return peer.IsReachable() &&
                         peer.told.state == InstanceState::kReady;
                }));
}

}  // namespace

void RelayNode::WriteMetrics(MetricText& out) {
  const Millis now = BootTimeNow();
  this->entry.Counts().Write(out);
  WriteRepeats(this->entry.RepeatCapacities(now), this->entry.RepeatsDenied(),
               out);
  out.Begin("refused_for_total", "counter",
            "Root requests refused at entry, by the service without room.");
  for (const auto& [service, count] : this->entry.RefusalsByService()) {
    out.Add(MetricLabel("service", service), static_cast<double>(count));
  }
  out.Begin("short_slot_seconds_total", "counter",
            "Slot time while requests were refused for want of this target.");
  out.Add("part=\"there\"", this->short_there_s);
  out.Add("part=\"used\"", this->short_used_s);
  out.Begin("admitted_share", "gauge", "Part of the root requests let in.");
  for (const auto& [key, share] : this->entry.Admission().routes) {
    out.Add(MetricLabel("route", this->entry.RouteName(key)), share.share);
  }
  this->WriteChains(out);
  WriteTarget(this->served, out);
  WritePeers(this->peers, out);
  WriteBlame(this->entry, this->entry.Quarantine().Table(), out);
  out.AddSingle("follows_policy_source", "gauge",
                "1: this node reads the policy's source for others.",
                this->FollowsSource() ? 1 : 0);
  out.AddSingle("policy_version", "gauge", "Version of the policy in force.",
                static_cast<double>(this->PolicyVersion()));
  if (this->PolicyVersion() != 0) {
    out.AddSingle("policy_age_seconds", "gauge",
                  "Time since that version is in force.",
                  static_cast<double>((now - this->policy_taken).count) /
                      kMillisPerSecond);
  }
  WriteLog(out);
}

/// Services that no peer names any more are left out.
void RelayNode::WriteChains(MetricText& out) const {
  std::map<std::uint32_t, std::string> names;
  for (const PeerPointer& peer : this->peers.All()) {
    names.emplace(ServiceKeyOf(peer->told.service), peer->told.service);
  }
  out.Begin("calls_per_root", "gauge",
            "Calls at a service for each root request, as counted here.");
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
