#include <algorithm>
#include <string>
#include <utility>

#include "almondlink/base/event_log.h"
#include "almondlink/relay/relay_node.h"

/// Reports and leaves of the instance beside the node, and their
/// acknowledgement.
namespace almondlink::relay {

namespace {

/// Maximum wait for another node to confirm that it has recorded a drain.
constexpr Millis kConfirmWait{300};

}  // namespace

Result<void> RelayNode::OnReport(const control::InstanceReport& report,
                                 std::function<void()> acknowledge) {
  const policy::RouteTablePointer& table = this->entry.Table();
  const bool is_unnamed = table != nullptr && !table->connections.empty() &&
                          table->connections.count(report.service) == 0;
  if (is_unnamed) {
    return Fail(ErrorKind::kBadMessage,
                "service: " + report.service + " is not in the policy");
  }
  const control::ReportEffect effect = this->served.OnReport(report);
  if (effect == control::ReportEffect::kRefused) {
    return Fail(ErrorKind::kBadMessage,
                "service: a running instance cannot change its service");
  }
  if (effect == control::ReportEffect::kChanged) {
    this->LogInstance("report");
    this->peers.AnnounceState();
  }
  if (report.is_leaving) {
    this->AcknowledgeLeave(report.incarnation, "report",
                           std::move(acknowledge));
    return {};
  }
  acknowledge();
  return {};
}

void RelayNode::OnLeave(const control::InstanceIncarnation& start,
                        std::function<void()> acknowledge) {
  this->ApplyLeave(start, "leave");
  this->AcknowledgeLeave(start, "leave", std::move(acknowledge));
}

void RelayNode::ApplyLeave(const control::InstanceIncarnation& start,
                           const char* cause) {
  if (this->served.OnLeave(start) == control::ReportEffect::kChanged) {
    this->LogInstance(cause);
    this->peers.AnnounceState();
  }
}

void RelayNode::OnRememberedInstance(const InstanceRecord& record) {
  if (record.state != InstanceState::kDraining) {
    return;
  }
  const control::InstanceIncarnation start{record.instance, record.started_at};
  if (this->served.Ledger().departed.count(start) == 0) {
    LogEvent(kEventLeaveRemembered, {{"instance", start.id},
                                     {"born", std::to_string(start.started_at)},
                                     {"source", "peer"}});
  }
  if (this->served.RestoreDraining(start) == control::ReportEffect::kChanged) {
    this->LogInstance("peer");
    this->peers.AnnounceState();
  }
}

void RelayNode::AcknowledgeLeave(const control::InstanceIncarnation& instance,
                                 const char* call,
                                 std::function<void()> acknowledge) {
  PendingAck pending;
  const control::InstanceReport& current = this->served.Ledger().current;
  pending.instance = instance;
  pending.report = {current.incarnation.started_at, current.sequence};
  pending.since = BootTimeNow();
  pending.call = call;
  pending.acknowledge = std::move(acknowledge);
  this->pending_acks.push_back(std::move(pending));
  this->peers.AnnounceState();
}

void RelayNode::RunPendingAcks(Millis now,
                               const std::optional<ReportId>& confirmed) {
  std::vector<PendingAck> open;
  open.swap(this->pending_acks);
  for (PendingAck& pending : open) {
    // An older node that does not report the start time means the current
    // instance.
    const bool is_confirmed =
        confirmed.has_value() &&
        pending.report.sequence <= confirmed->sequence &&
        (confirmed->started_at == 0 ||
         confirmed->started_at == pending.report.started_at);
    if (is_confirmed || now - pending.since >= kConfirmWait) {
      this->LogAcknowledged(now, pending, is_confirmed ? "peer" : "none");
      pending.acknowledge();
    } else {
      this->pending_acks.push_back(std::move(pending));
    }
  }
}

void RelayNode::LogInstance(const char* cause) const {
  const control::InstanceTracker& tracker = this->served.Ledger();
  LogEvent(kEventInstance,
           {{"instance", tracker.current.incarnation.id},
            {"born", std::to_string(tracker.current.incarnation.started_at)},
            {"service", tracker.current.service},
            {"state", ToString(tracker.phase)},
            {"cause", cause},
            {"capacity", std::to_string(tracker.current.capacity)},
            {"sequence", std::to_string(tracker.current.sequence)}});
}

void RelayNode::LogAcknowledged(Millis now,
                                const PendingAck& pending,
                                const char* basis) const {
  const control::InstanceTracker& tracker = this->served.Ledger();
  const bool is_current = tracker.phase != control::InstancePhase::kNone &&
                          tracker.current.incarnation.id == pending.instance.id;
  LogEvent(kEventLeaveAcknowledged,
           {{"instance", pending.instance.id},
            {"born", std::to_string(pending.instance.started_at)},
            {"call", pending.call},
            {"basis", basis},
            {"current", is_current ? "yes" : "no"},
            {"after_ms", std::to_string((now - pending.since).count)}});
  // The line tells what a later process is bound by, so it must not be lost
  // with this one.
  FlushLog();
}

}  // namespace almondlink::relay
