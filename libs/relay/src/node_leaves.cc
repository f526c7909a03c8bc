#include <algorithm>
#include <string>
#include <utility>

#include "almondlink/base/event_log.h"
#include "almondlink/relay/relay_node.h"

/// Reports and leaves of the instance beside the node, their acknowledgement,
/// and what is known of leaves from before the start.
namespace almondlink::relay {

namespace {

/// Leaves that are announced to other nodes; an earlier one is too old for a
/// report from before it to arrive.
constexpr std::size_t kMaxAnnounced = 4;
/// Reports that wait for the leaves from before the start.
constexpr std::size_t kMaxHeld = 32;
/// Time between two health checks of a target that has not passed one.
constexpr Millis kHealthInterval{500};

}  // namespace

bool RelayNode::KnowsEarlierLeaves() const {
  return this->leave_memory.source != control::LeaveSource::kNone;
}

Result<void> RelayNode::OnReport(const control::InstanceReport& report,
                                 Acknowledge acknowledge) {
  const policy::RouteTablePointer& table = this->entry.Table();
  const bool is_unnamed = table != nullptr && !table->connections.empty() &&
                          table->connections.count(report.service) == 0;
  if (is_unnamed) {
    return Fail(ErrorKind::kBadMessage,
                "service: " + report.service + " is not in the policy");
  }
  const Millis now = BootTimeNow();
  if (!this->KnowsEarlierLeaves()) {
    control::RecordHeldReport(now, report, this->leave_memory);
    this->HoldReport({now, report, /*is_leave_call=*/false});
    this->UpdateLeaves(now);
  } else if (this->ApplyReport(now, report) ==
             control::ReportEffect::kRefused) {
    return Fail(ErrorKind::kBadMessage,
                "service: a running instance cannot change its service");
  }
  if (report.is_leaving) {
    this->AcknowledgeLeave(report.incarnation, "report",
                           std::move(acknowledge));
    return {};
  }
  acknowledge(true);
  return {};
}

void RelayNode::OnLeave(const control::InstanceIncarnation& start,
                        Acknowledge acknowledge) {
  const Millis now = BootTimeNow();
  if (!this->KnowsEarlierLeaves()) {
    control::InstanceReport report;
    report.incarnation = start;
    this->HoldReport({now, report, /*is_leave_call=*/true});
  } else {
    this->ApplyLeave(now, start, "leave");
  }
  this->AcknowledgeLeave(start, "leave", std::move(acknowledge));
}

/// Leaves stay until they can be applied: without one, a report from before it
/// would open the target.
void RelayNode::HoldReport(HeldReport held) {
  this->held_reports.push_back(std::move(held));
  if (this->held_reports.size() <= kMaxHeld) {
    return;
  }
  const auto oldest =
      std::find_if(this->held_reports.begin(), this->held_reports.end(),
                   [](const HeldReport& entry) {
                     return !entry.is_leave_call && !entry.report.is_leaving;
                   });
  this->held_reports.erase(
      oldest == this->held_reports.end() ? this->held_reports.begin() : oldest);
}

/// Asks the target for its health if its reports alone do not tell yet that it
/// is in service.
void RelayNode::CheckHealth(Millis now) {
  const policy::RouteTablePointer& table = this->entry.Table();
  const bool is_due = table != nullptr && !this->is_checking_health &&
                      now >= this->next_health_check &&
                      control::NeedsHealthCheck(this->leave_memory);
  if (!is_due) {
    return;
  }
  const auto path =
      table->health_paths.find(this->leave_memory.reporting_service);
  if (path == table->health_paths.end()) {
    return;
  }
  this->is_checking_health = true;
  this->next_health_check = now + kHealthInterval;
  this->served.CheckHealth(path->second, [this](const HealthAnswer& answer) {
    this->OnHealth(answer);
  });
}

void RelayNode::OnHealth(const HealthAnswer& answer) {
  this->is_checking_health = false;
  LogEvent(kEventHealthChecked, {{"instance", this->leave_memory.reporting.id},
                                 {"status", std::to_string(answer.status)},
                                 {"answered_by", answer.instance_id}});
  if (IsHealthy(answer)) {
    control::RecordHealthy(answer.instance_id, this->leave_memory);
    this->UpdateLeaves(BootTimeNow());
  }
}

void RelayNode::ApplyHeldReports() {
  std::deque<HeldReport> held;
  held.swap(this->held_reports);
  for (const HeldReport& entry : held) {
    if (entry.is_leave_call) {
      this->ApplyLeave(entry.received, entry.report.incarnation, "leave");
    } else {
      this->ApplyReport(entry.received, entry.report);
    }
  }
}

control::ReportEffect RelayNode::ApplyReport(
    Millis received,
    const control::InstanceReport& report) {
  const control::ReportEffect effect = this->served.OnReport(received, report);
  if (effect == control::ReportEffect::kChanged) {
    this->LogInstance("report");
    this->peers.AnnounceState();
  }
  return effect;
}

void RelayNode::ApplyLeave(Millis received,
                           const control::InstanceIncarnation& start,
                           const char* cause) {
  const control::InstanceIncarnation meant =
      control::ResolveIncarnation(start, this->served.Ledger());
  if (this->served.OnLeave(received, meant) ==
      control::ReportEffect::kChanged) {
    this->LogInstance(cause);
    this->peers.AnnounceState();
  }
  this->AnnounceLeave(meant);
}

/// Applies a leave that was acknowledged before this node started.
void RelayNode::RestoreLeave(const control::InstanceIncarnation& instance,
                             const char* source) {
  const control::InstanceIncarnation meant =
      control::ResolveIncarnation(instance, this->served.Ledger());
  if (this->served.Ledger().departed.count(meant) != 0) {
    return;
  }
  LogEvent(kEventLeaveRemembered,
           {{"instance", instance.id},
            {"born", std::to_string(instance.started_at)},
            {"source", source}});
  if (this->served.RestoreDraining(instance) ==
      control::ReportEffect::kChanged) {
    this->LogInstance("earlier");
    this->peers.AnnounceState();
  }
  // The nodes that had recorded it may be lost too. All that other nodes tell
  // is announced at once: in a large fleet each of them tells the same.
  const bool is_stored = this->AddLeave(instance).is_stored;
  if (this->leave_memory.has_store_record && !is_stored &&
      this->hooks.on_leave != nullptr) {
    this->hooks.on_leave(instance);
  }
}

void RelayNode::RestoreLeaves(
    control::LeaveSource source,
    const std::vector<control::InstanceIncarnation>& leaves) {
  for (const control::InstanceIncarnation& instance : leaves) {
    this->RestoreLeave(instance, control::ToString(source));
    this->AddLeave(instance).is_stored = true;
  }
  if (source == control::LeaveSource::kStore) {
    this->leave_memory.has_store_record = true;
    this->StoreRecordedLeaves();
  } else if (!this->KnowsEarlierLeaves()) {
    this->leave_memory.source = source;
    this->LogEarlierLeaves(BootTimeNow());
    this->ApplyHeldReports();
  }
  this->UpdateLeaves(BootTimeNow());
}

/// Writes the leaves that other nodes recorded and the store lacks: the process
/// that was to write them is gone.
void RelayNode::StoreRecordedLeaves() {
  if (this->hooks.on_leave == nullptr) {
    return;
  }
  for (const AnnouncedLeave& leave : this->announced_leaves) {
    if (!leave.is_stored) {
      this->hooks.on_leave(leave.instance);
    }
  }
}

/// Whether the nodes that told what they recorded of an earlier process of this
/// node leave no room for a leave that none of them has.
bool RelayNode::HasEnoughPeerRecords() const {
  const std::vector<PeerPointer>& all = this->peers.All();
  const auto silent =
      std::count_if(all.begin(), all.end(), [this](const PeerPointer& peer) {
        return !peer->is_self && this->told_records.count(peer->node.name) == 0;
      });
  return this->is_settled &&
         control::HasEnoughRecords(this->told_records.size(),
                                   static_cast<std::size_t>(silent));
}

void RelayNode::UpdateLeaves(Millis now) {
  if (!this->KnowsEarlierLeaves()) {
    this->CheckHealth(now);
    this->leave_memory.has_peer_record = this->HasEnoughPeerRecords();
  }
  if (control::UpdateLeaveMemory(now, this->leave_memory)) {
    this->LogEarlierLeaves(now);
    this->ApplyHeldReports();
  }
  if (this->sent_leaves_revision != this->leaves_revision) {
    this->sent_leaves_revision = this->leaves_revision;
    this->peers.AnnounceLeaves();
  }
  this->RunPendingAcks(now);
}

RelayNode::AnnouncedLeave* RelayNode::FindLeave(
    const control::InstanceIncarnation& instance) {
  const auto found =
      std::find_if(this->announced_leaves.begin(), this->announced_leaves.end(),
                   [&instance](const AnnouncedLeave& leave) {
                     return leave.instance == instance;
                   });
  return found == this->announced_leaves.end() ? nullptr : &*found;
}

/// Adds a leave to those that are announced with the next tick.
RelayNode::AnnouncedLeave& RelayNode::AddLeave(
    const control::InstanceIncarnation& instance) {
  if (AnnouncedLeave* const known = this->FindLeave(instance)) {
    return *known;
  }
  this->announced_leaves.push_back({instance, ++this->leaves_revision, false});
  if (this->announced_leaves.size() > kMaxAnnounced) {
    this->announced_leaves.pop_front();
  }
  return this->announced_leaves.back();
}

RelayNode::AnnouncedLeave& RelayNode::AnnounceLeave(
    const control::InstanceIncarnation& instance) {
  AnnouncedLeave& leave = this->AddLeave(instance);
  if (this->sent_leaves_revision != this->leaves_revision) {
    this->sent_leaves_revision = this->leaves_revision;
    this->peers.AnnounceLeaves();
  }
  return leave;
}

LeavesFrame RelayNode::MakeLeaves() const {
  LeavesFrame leaves;
  leaves.revision = this->leaves_revision;
  for (const AnnouncedLeave& leave : this->announced_leaves) {
    leaves.instances.push_back(leave.instance);
  }
  return leaves;
}

void RelayNode::AcknowledgeLeave(const control::InstanceIncarnation& instance,
                                 const char* call,
                                 Acknowledge acknowledge) {
  PendingAck pending;
  pending.instance =
      control::ResolveIncarnation(instance, this->served.Ledger());
  pending.since = BootTimeNow();
  pending.call = call;
  pending.acknowledge = std::move(acknowledge);
  const bool is_stored = this->AnnounceLeave(pending.instance).is_stored;
  if (!is_stored && this->hooks.on_leave != nullptr) {
    this->hooks.on_leave(pending.instance);
  }
  this->pending_acks.push_back(std::move(pending));
  this->RunPendingAcks(BootTimeNow());
}

void RelayNode::OnLeaveStored(const control::InstanceIncarnation& instance) {
  if (AnnouncedLeave* const leave = this->FindLeave(instance)) {
    leave->is_stored = true;
  }
  this->RunPendingAcks(BootTimeNow());
}

control::LeaveEvidence RelayNode::EvidenceOf(const PendingAck& pending) {
  control::LeaveEvidence evidence;
  evidence.since = pending.since;
  const AnnouncedLeave* const leave = this->FindLeave(pending.instance);
  if (leave == nullptr) {
    return evidence;
  }
  evidence.is_stored = leave->is_stored;
  for (const auto& [link, confirmation] : this->leaves_confirmed) {
    if (confirmation.revision >= leave->revision) {
      evidence.recorded_by.insert(confirmation.node);
    }
  }
  return evidence;
}

void RelayNode::RunPendingAcks(Millis now) {
  const std::size_t other_nodes = this->peers.All().size() - 1;
  std::vector<PendingAck> open;
  open.swap(this->pending_acks);
  for (PendingAck& pending : open) {
    const control::LeaveEvidence evidence = this->EvidenceOf(pending);
    const control::LeaveAnswer answer =
        control::AnswerLeave(now, evidence, other_nodes);
    if (answer == control::LeaveAnswer::kWait) {
      this->pending_acks.push_back(std::move(pending));
      continue;
    }
    const bool is_kept = answer == control::LeaveAnswer::kAcknowledge;
    this->LogAcknowledgement(now, pending, evidence, is_kept);
    pending.acknowledge(is_kept);
  }
}

void RelayNode::LogInstance(const char* cause) const {
  const control::InstanceTracker& tracker = this->served.Ledger();
  LogEvent(kEventInstance,
           {{"instance", tracker.current.incarnation.id},
            {"born", std::to_string(tracker.current.incarnation.started_at)},
            {"service", tracker.current.service},
            {"state", control::ToString(tracker.phase)},
            {"cause", cause},
            {"capacity", std::to_string(tracker.current.capacity)},
            {"sequence", std::to_string(tracker.current.sequence)}});
}

void RelayNode::LogAcknowledgement(Millis now,
                                   const PendingAck& pending,
                                   const control::LeaveEvidence& evidence,
                                   bool is_kept) {
  const control::InstanceTracker& tracker = this->served.Ledger();
  const bool is_current = tracker.phase != control::InstancePhase::kNone &&
                          tracker.current.incarnation.id == pending.instance.id;
  const char* const basis = !is_kept             ? "none"
                            : evidence.is_stored ? "store"
                                                 : "nodes";
  ++this->leave_answers[basis];
  LogEvent(is_kept ? kEventLeaveAcknowledged : kEventLeaveNotKept,
           {{"instance", pending.instance.id},
            {"born", std::to_string(pending.instance.started_at)},
            {"call", pending.call},
            {"basis", basis},
            {"recorded", std::to_string(evidence.recorded_by.size())},
            {"current", is_current ? "yes" : "no"},
            {"after_ms", std::to_string((now - pending.since).count)}});
  // The line tells what a later process is bound by, so it must not be lost
  // with this one.
  FlushLog();
}

void RelayNode::LogEarlierLeaves(Millis now) const {
  LogEvent(kEventEarlierLeavesKnown,
           {{"source", control::ToString(this->leave_memory.source)},
            {"after_ms",
             std::to_string((now - this->leave_memory.started_at).count)},
            {"leaves", std::to_string(this->announced_leaves.size())},
            {"held", std::to_string(this->held_reports.size())}});
}

void RelayNode::WriteLeaves(MetricText& out) const {
  out.Begin("leaves_answered_total", "counter",
            "Leaves of the target that were acknowledged, by what keeps them, "
            "or refused (none).");
  for (const auto& [basis, count] : this->leave_answers) {
    out.Add(MetricLabel("basis", basis), static_cast<double>(count));
  }
  out.AddSingle("earlier_leaves_known", "gauge",
                "Whether the leaves from before the start are known.",
                this->KnowsEarlierLeaves() ? 1 : 0);
}

}  // namespace almondlink::relay
