#include "almondlinkd/report.h"

#include <nlohmann/json.hpp>

#include "almondlink/base/metrics.h"

namespace almondlink::daemon {

namespace {

using Json = nlohmann::json;

Json ToTree(const LatencySummary& summary) {
  return {{"count", summary.count},
          {"mean_ms", summary.mean},
          {"p50_ms", summary.p50},
          {"p99_ms", summary.p99},
          {"max_ms", summary.max}};
}

Json BundleTree(const NodeReport& report) {
  if (report.bundle == nullptr) {
    return nullptr;
  }
  const policy::InForce& in_force = *report.bundle->in_force;
  Json budgets = Json::object();
  for (const auto& [team, budget] : report.bundle->budgets) {
    budgets[team] = budget->millitokens.load();
  }
  return {{"version", in_force.bundle->version},
          {"offset", in_force.offset},
          {"proposal", in_force.proposal},
          {"retry_budget_millitokens", budgets}};
}

Json MembersTree(const control::Membership& membership) {
  Json members = Json::array();
  for (const auto& [node, entry] : membership.members) {
    const wire::Member& member = entry.member;
    members.push_back({{"node", node},
                       {"incarnation", member.incarnation},
                       {"version", member.version},
                       {"state", member.state},
                       {"draining", member.is_draining},
                       {"service", member.service},
                       {"region", member.region},
                       {"zone", member.zone},
                       {"address", member.address},
                       {"slots", member.slots}});
  }
  return members;
}

Json TargetTree(const TargetSideReport& target) {
  return {{"limit", target.limit},
          {"in_flight", target.in_flight},
          {"waiting", target.waiting},
          {"threshold", target.threshold},
          {"utilization", target.utilization},
          {"baseline_ms", target.baseline_ms},
          {"service_time_ms", target.service_time_ms},
          {"dispatched", target.dispatched},
          {"refused", target.refused},
          {"keys", target.keys},
          {"connections", target.connections},
          {"connects", target.client.connects},
          {"reuses", target.client.reuses},
          {"without_id", target.client.without_id},
          {"surplus", target.client.surplus},
          {"calls", target.calls},
          {"target_time", ToTree(target.target_time)}};
}

Json EntryTree(const EntryReport& entry) {
  Json targets = Json::array();
  for (const TargetReport& target : entry.targets) {
    targets.push_back({{"service", target.service},
                       {"node", target.node},
                       {"in_flight", target.view.in_flight},
                       {"latency_ms", target.view.latency},
                       {"utilization", target.view.utilization},
                       {"level", target.view.level},
                       {"draining", target.view.is_draining},
                       {"suspect", target.view.is_suspect},
                       {"health", static_cast<int>(target.view.health.state)}});
  }
  return {{"targets", targets},
          {"links", entry.links},
          {"late_answers", entry.late_answers},
          {"open_calls", entry.open_calls},
          {"call_time", ToTree(entry.call_time)},
          {"added_time", ToTree(entry.added_time)}};
}

control::UsageTable SumUsage(const NodeReport& report) {
  control::UsageTable sum;
  for (const EntryReport& entry : report.entries) {
    control::AddUsage(entry.usage, sum);
  }
  return sum;
}

Json UsageTree(const NodeReport& report) {
  Json cells = Json::array();
  for (const auto& [key, cell] : SumUsage(report).cells) {
    cells.push_back({{"team", cell.team},
                     {"operation", cell.operation},
                     {"criticality", ToString(key.criticality)},
                     {"nested", cell.is_nested},
                     {"served", cell.served},
                     {"not_run", cell.not_run},
                     {"unknown", cell.unknown},
                     {"retries", cell.retries},
                     {"wasted", cell.wasted}});
  }
  return cells;
}

Json PlatformTree(const NodeReport& report) {
  const PlatformReport& platform = report.platform;
  return {{"log_up", platform.is_log_up},
          {"reads", platform.reads},
          {"read_failures", platform.read_failures},
          {"appends", platform.appends},
          {"append_failures", platform.append_failures},
          {"bundle_next_offset", platform.bundle_next_offset},
          {"usage_sequence", platform.usage_sequence},
          {"claims",
           {{"claims", report.claims.claims},
            {"appends", report.claims.appends},
            {"append_failures", report.claims.append_failures},
            {"reads", report.claims.reads},
            {"read_failures", report.claims.read_failures},
            {"known_keys", report.claims.known_keys}}}};
}

void WriteUsage(const NodeReport& report, std::string& out) {
  for (const auto& [key, cell] : SumUsage(report).cells) {
    const std::string labels = "team=\"" + cell.team + "\",operation=\"" +
                               cell.operation + "\",criticality=\"" +
                               ToString(key.criticality) + "\",nested=\"" +
                               (cell.is_nested ? "true" : "false") + "\"";
    WriteMetric(out, "served_total", labels, static_cast<double>(cell.served));
    WriteMetric(out, "not_run_total", labels,
                static_cast<double>(cell.not_run));
    WriteMetric(out, "outcome_unknown_total", labels,
                static_cast<double>(cell.unknown));
    WriteMetric(out, "retries_total", labels,
                static_cast<double>(cell.retries));
    WriteMetric(out, "wasted_total", labels, static_cast<double>(cell.wasted));
    for (std::size_t i = 0; i < cell.refusals.size(); ++i) {
      if (cell.refusals[i] > 0) {
        const std::string reason = std::string(",reason=\"") +
                                   AnswerFor(static_cast<ErrorKind>(i)).name +
                                   "\"";
        WriteMetric(out, "refusals_total", labels + reason,
                    static_cast<double>(cell.refusals[i]));
      }
    }
  }
}

void WriteLatency(const std::string& name,
                  const std::string& labels,
                  const LatencySummary& summary,
                  std::string& out) {
  const std::string separator = labels.empty() ? "" : ",";
  WriteMetric(out, name, labels + separator + "quantile=\"0.5\"", summary.p50);
  WriteMetric(out, name, labels + separator + "quantile=\"0.99\"", summary.p99);
  WriteMetric(out, name + "_count", labels, static_cast<double>(summary.count));
}

}  // namespace

std::string ToJson(const NodeReport& report) {
  Json entries = Json::array();
  for (const EntryReport& entry : report.entries) {
    entries.push_back(EntryTree(entry));
  }
  const Json tree = {{"node", report.node},
                     {"incarnation", report.incarnation},
                     {"draining", report.is_draining},
                     {"bundle", BundleTree(report)},
                     {"members", MembersTree(report.membership)},
                     {"gossip",
                      {{"sent_messages", report.gossip.sent_messages},
                       {"sent_bytes", report.gossip.sent_bytes},
                       {"received_messages", report.gossip.received_messages},
                       {"received_bytes", report.gossip.received_bytes},
                       {"refused_messages", report.gossip.refused_messages}}},
                     {"peer_links_in", report.peer_links_in},
                     {"target", TargetTree(report.target)},
                     {"entry_loops", entries},
                     {"usage", UsageTree(report)},
                     {"callers",
                      {{"open_connections", report.callers.open_connections},
                       {"requests", report.callers.requests},
                       {"malformed", report.callers.malformed},
                       {"turned_away", report.callers.turned_away}}},
                     {"platform", PlatformTree(report)},
                     {"work_open", report.work_open},
                     {"calls_open", report.calls_open}};
  return tree.dump(2, ' ', false, Json::error_handler_t::replace) + "\n";
}

std::string ToMetrics(const NodeReport& report) {
  std::string out;
  const std::uint64_t version =
      report.bundle == nullptr ? 0 : report.bundle->in_force->bundle->version;
  WriteMetric(out, "bundle_version", "", static_cast<double>(version));
  WriteMetric(out, "members", "",
              static_cast<double>(control::LivingCount(report.membership)));
  WriteMetric(out, "draining", "", report.is_draining ? 1 : 0);
  WriteMetric(out, "log_up", "", report.platform.is_log_up ? 1 : 0);
  WriteMetric(out, "caller_connections", "",
              static_cast<double>(report.callers.open_connections));
  WriteMetric(out, "caller_requests_total", "",
              static_cast<double>(report.callers.requests));
  WriteMetric(out, "caller_malformed_total", "",
              static_cast<double>(report.callers.malformed));
  WriteMetric(out, "concurrency_limit", "", report.target.limit);
  WriteMetric(out, "in_flight", "", report.target.in_flight);
  WriteMetric(out, "queue_length", "", report.target.waiting);
  WriteMetric(out, "pressure_level", "",
              control::kRankCount - report.target.threshold);
  WriteMetric(out, "target_connects_total", "",
              static_cast<double>(report.target.client.connects));
  WriteMetric(out, "target_reuses_total", "",
              static_cast<double>(report.target.client.reuses));
  WriteMetric(out, "target_answers_without_id_total", "",
              static_cast<double>(report.target.client.without_id));
  WriteMetric(out, "target_surplus_total", "",
              static_cast<double>(report.target.client.surplus));
  WriteMetric(out, "gossip_sent_bytes_total", "",
              static_cast<double>(report.gossip.sent_bytes));
  WriteMetric(out, "claim_appends_total", "",
              static_cast<double>(report.claims.appends));
  WriteLatency("target_time_ms", "", report.target.target_time, out);
  for (std::size_t i = 0; i < report.entries.size(); ++i) {
    const std::string labels = "loop=\"" + std::to_string(i) + "\"";
    WriteLatency("call_time_ms", labels, report.entries[i].call_time, out);
    WriteLatency("added_time_ms", labels, report.entries[i].added_time, out);
  }
  WriteUsage(report, out);
  return out;
}

void AddShared(SharedState& shared, NodeReport& report) {
  report.incarnation = shared.incarnation.Value();
  report.bundle = shared.bundle.Read();
  report.work_open = shared.work.Size();
  report.calls_open = shared.calls_open.load();
  report.is_draining = shared.is_draining.load();
}

}  // namespace almondlink::daemon
