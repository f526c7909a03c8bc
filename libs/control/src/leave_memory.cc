#include "almondlink/control/leave_memory.h"

#include <algorithm>

namespace almondlink::control {

namespace {

/// Time from the start until the records of other nodes are used without the
/// store's answer. Links to other nodes are complete by then, and most targets
/// have not sent their first report.
constexpr Millis kStoreWait{1000};
/// Time for which reports must go on if nobody can tell of earlier leaves;
/// longer than a report is delayed.
constexpr Millis kReportingTime{4000};
/// Time that the store has to take a leave before the records of other nodes
/// are enough. An acknowledgement is due within a second.
constexpr Millis kAckByNodesAfter{500};
constexpr Millis kRefuseAfter{900};
/// Nodes that must have recorded a leave that the store has not taken: one of
/// them may be lost together with this node.
constexpr std::size_t kMinRecords = 2;

}  // namespace

const char* ToString(LeaveSource source) {
  switch (source) {
    case LeaveSource::kFirstStart:
      return "first-start";
    case LeaveSource::kStore:
      return "store";
    case LeaveSource::kPeers:
      return "peers";
    case LeaveSource::kReports:
      return "reports";
    default:
      return "none";
  }
}

void RecordHeldReport(Millis now,
                      const InstanceReport& report,
                      LeaveMemory& memory) {
  const bool goes_on = memory.reporting == report.incarnation &&
                       report.sequence > memory.last_sequence &&
                       !report.is_leaving;
  if (!goes_on) {
    memory.reporting = report.incarnation;
    memory.reporting_service = report.service;
    memory.first_report = now;
    memory.is_new_instance = IsFirstReport(report) && !report.is_leaving;
    memory.is_healthy = false;
  }
  memory.last_report = now;
  memory.last_sequence = report.sequence;
  memory.is_leaving = report.is_leaving;
}

void RecordHealthy(const std::string& id, LeaveMemory& memory) {
  memory.is_healthy =
      memory.is_healthy || (!id.empty() && id == memory.reporting.id);
}

bool NeedsHealthCheck(const LeaveMemory& memory) {
  return memory.source == LeaveSource::kNone && !memory.is_healthy &&
         !memory.reporting.id.empty() && !memory.is_leaving;
}

bool UpdateLeaveMemory(Millis now, LeaveMemory& memory) {
  if (memory.source != LeaveSource::kNone) {
    return false;
  }
  const bool has_waited = now - memory.started_at >= kStoreWait;
  const bool is_proved =
      memory.is_new_instance || memory.is_healthy ||
      memory.last_report - memory.first_report >= kReportingTime;
  if (memory.has_store_record && (memory.has_peer_record || is_proved)) {
    memory.source = LeaveSource::kStore;
  } else if (has_waited && memory.has_peer_record) {
    memory.source = LeaveSource::kPeers;
  } else if (has_waited && is_proved) {
    memory.source = LeaveSource::kReports;
  }
  return memory.source != LeaveSource::kNone;
}

bool HasEnoughRecords(std::size_t told, std::size_t silent) {
  return told > 0 && silent < kMinRecords;
}

LeaveAnswer AnswerLeave(Millis now,
                        const LeaveEvidence& evidence,
                        std::size_t other_nodes) {
  if (evidence.is_stored) {
    return LeaveAnswer::kAcknowledge;
  }
  const Millis age = now - evidence.since;
  const std::size_t needed = std::min(kMinRecords, other_nodes);
  const bool is_recorded = needed > 0 && evidence.recorded_by.size() >= needed;
  if (is_recorded && age >= kAckByNodesAfter) {
    return LeaveAnswer::kAcknowledge;
  }
  return age >= kRefuseAfter ? LeaveAnswer::kRefuse : LeaveAnswer::kWait;
}

}  // namespace almondlink::control
