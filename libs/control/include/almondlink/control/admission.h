#ifndef ALMONDLINK_CONTROL_ADMISSION_H_
#define ALMONDLINK_CONTROL_ADMISSION_H_

#include <cstdint>
#include <map>
#include <vector>

#include "almondlink/base/clock.h"
#include "almondlink/base/error.h"
#include "almondlink/control/concurrency_limit.h"
#include "almondlink/control/pressure.h"
#include "almondlink/control/service_time.h"
#include "almondlink/control/shed_rank.h"

/// Admission control at the node beside a target: decides which requests are
/// dispatched, queued or refused.
///
/// A request is first checked against the pressure threshold (see pressure.h).
/// It then takes a free slot under the concurrency limit or waits in the queue.
/// The queue is ordered by criticality class, then by depth in the call chain
/// (a deeper request has already cost more), then by shed rank, then by
/// arrival. Its length is bounded by the number of requests that can be served
/// within `queue_limit`; when it is full, the last entry in this order is
/// evicted. A request that has waited longer than `queue_limit`, or that cannot
/// finish by its deadline, is refused before any work is done for it.
namespace almondlink::control {

/// Identifies one request in an Admission; assigned by the caller, unique among
/// the requests that are queued or in flight.
using Ticket = Strong<struct TicketTag, std::uint64_t>;

/// The properties of a request that admission decides by.
struct AdmissionRequest {
  Ticket ticket;
  ShedRank rank;
  Criticality criticality = Criticality::kNormal;
  std::uint32_t depth = 0;
  Millis deadline;
};

/// Parameters of admission, from the settings and the policy bundle.
struct AdmissionRules {
  LimitRules limit;
  Millis queue_target{20};
  Millis queue_limit{100};
};

/// A request that is refused without having been run.
struct Refusal {
  Ticket ticket;
  ErrorKind kind = ErrorKind::kOverloaded;
};

/// Result of one event: the requests to dispatch to the target and those to
/// refuse, each in this order.
struct AdmissionStep {
  std::vector<Ticket> dispatch;
  std::vector<Refusal> refuse;
  bool is_pressure_changed = false;
};

/// Sort key of the queue; the smallest is served first.
struct QueueOrder {
  Criticality criticality = Criticality::kNormal;
  std::uint32_t depth = 0;
  ShedRank rank;
  std::uint64_t arrival = 0;
  friend bool operator<(const QueueOrder& a, const QueueOrder& b);
};

/// A queued request.
struct QueueEntry {
  AdmissionRequest request;
  Millis arrived;
};

/// Admission state of one target. Not thread safe.
struct Admission {
  ConcurrencyLimit limit;
  Pressure pressure;
  ServiceTime service_time;
  std::uint32_t in_flight = 0;
  std::uint64_t arrivals = 0;
  std::map<QueueOrder, QueueEntry> queue;
  std::map<Ticket, QueueOrder> waiting;
};

/// Resets the state for a newly started target.
void StartAdmission(const AdmissionRules& rules,
                    Millis now,
                    Admission& admission);

/// Submits a request. It is dispatched if its ticket is in `dispatch` of the
/// result, refused if it is in `refuse`, and queued otherwise. The result may
/// contain other requests too.
AdmissionStep SubmitRequest(const AdmissionRules& rules,
                            Millis now,
                            const AdmissionRequest& request,
                            Admission& admission);

/// Records that a dispatched request has ended and dispatches queued ones.
/// Precondition: a request is in flight. `latency` is the time that the target
/// took.
AdmissionStep CompleteRequest(const AdmissionRules& rules,
                              Millis now,
                              LatencyMs latency,
                              Outcome outcome,
                              Admission& admission);

/// Frees the slot of a dispatched request that never reached the target. The
/// estimates of latency and service time are not updated. Precondition: a
/// request is in flight.
AdmissionStep ReleaseSlot(const AdmissionRules& rules,
                          Millis now,
                          Admission& admission);

/// Removes a queued request whose caller has left. Returns false if the request
/// is not queued.
bool CancelWaiting(Ticket ticket, Admission& admission);

/// Refuses queued requests that have waited too long or can no longer finish by
/// their deadline. Call every few milliseconds while requests are queued.
AdmissionStep RefuseExpired(const AdmissionRules& rules,
                            Millis now,
                            Admission& admission);

/// Requests in flight as a share of the concurrency limit, in thousandths, at
/// most 1000.
std::uint32_t Utilization(const AdmissionRules& rules,
                          Millis now,
                          const Admission& admission);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_ADMISSION_H_
