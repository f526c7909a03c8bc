#ifndef ALMONDLINK_CONTROL_LEAVE_MEMORY_H_
#define ALMONDLINK_CONTROL_LEAVE_MEMORY_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

#include "almondlink/base/clock.h"
#include "almondlink/control/instance_tracker.h"

/// What an acknowledged leave rests on, and when a node that has started knows
/// the leaves that were acknowledged before.
///
/// The acknowledgement of a leave is a promise that binds the later processes
/// of the node too. So a leave is acknowledged once the store has it, or, if
/// the store does not answer in time, once other nodes have recorded it. And a
/// node that has started opens its target only when it knows such leaves.
///
/// The store lacks a leave that was acknowledged while it did not answer, and
/// nothing in it tells so. Such a leave is known to the nodes that recorded it,
/// unless these were lost too. So the store's answer is complete only together
/// with the records of so many nodes that one of those which had recorded a
/// leave is among them. If nodes cannot tell, the target itself must prove that
/// it is not leaving: by its health check, which it fails when it leaves, or
/// with its reports: an instance that left reports no more, and its delayed
/// reports do not go on for long.
namespace almondlink::control {

/// How a node came to know the leaves from before its start; kNone: not yet.
enum class LeaveSource { kNone, kFirstStart, kStore, kPeers, kReports };

/// The name of the source for logs.
const char* ToString(LeaveSource source);

/// State of one node. Plain data; one thread at a time.
struct LeaveMemory {
  LeaveSource source = LeaveSource::kNone;
  Millis started_at;
  /// The store has told which leaves it has.
  bool has_store_record = false;
  /// Enough nodes that had received the state of an earlier process of this
  /// node have told which leaves they recorded, see HasEnoughRecords().
  bool has_peer_record = false;
  /// The incarnation that reports itself as ready, and its first and last
  /// report here.
  InstanceIncarnation reporting;
  std::string reporting_service;
  Millis first_report;
  Millis last_report;
  std::uint64_t last_sequence = 0;
  bool is_new_instance = false;
  bool is_leaving = false;
  /// It passed its health check after the last report that was not of it.
  bool is_healthy = false;
};

/// A report arrived while the leaves from before the start are not known.
void RecordHeldReport(Millis now,
                      const InstanceReport& report,
                      LeaveMemory& memory);

/// The target passed its health check as the instance `id`.
void RecordHealthy(const std::string& id, LeaveMemory& memory);

/// Whether the health check of the target would tell more than is known.
bool NeedsHealthCheck(const LeaveMemory& memory);

/// Determines the source by `now`. Returns true if the leaves have become known
/// by this call.
bool UpdateLeaveMemory(Millis now, LeaveMemory& memory);

/// Whether one of the nodes that had recorded an acknowledged leave must be
/// among `told`, the number of other nodes that told of their records; `silent`
/// other nodes did not.
bool HasEnoughRecords(std::size_t told, std::size_t silent);

/// What a leave that is to be acknowledged rests on.
struct LeaveEvidence {
  Millis since;
  bool is_stored = false;
  /// Other nodes that have recorded it.
  std::set<std::string> recorded_by;
};

/// What to do about the acknowledgement; kRefuse: the call is answered with a
/// failure, since nothing outlasts this process that has the leave.
enum class LeaveAnswer { kWait, kAcknowledge, kRefuse };

/// `other_nodes`: number of other nodes that are known.
LeaveAnswer AnswerLeave(Millis now,
                        const LeaveEvidence& evidence,
                        std::size_t other_nodes);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_LEAVE_MEMORY_H_
