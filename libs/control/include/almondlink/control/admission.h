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

/// Admission at the target's node: who is sent to the target now, who waits,
/// who is refused.
///
/// A request passes the pressure threshold first, then takes a free place under
/// the concurrency limit or waits in the queue. The queue is ordered by class,
/// then deeper work first (more was spent on it), then rank, then arrival, and
/// is bounded in length by what can be served within the longest wait; when it
/// is full, the last of the order is evicted. Whoever waited too long or cannot
/// finish by its deadline is refused when its turn comes, before any work.
namespace almondlink::control {

/// Handle of one request in an Admission.
using Ticket = Strong<struct TicketTag, std::uint64_t>;

/// What admission knows of a request.
struct AdmissionRequest {
  Ticket ticket;
  ShedRank rank;
  Criticality criticality = Criticality::kNormal;
  std::uint32_t depth = 0;
  Millis deadline;
};

/// Constants, from settings and bundle.
struct AdmissionRules {
  LimitRules limit;
  Millis queue_target{20};
  Millis queue_limit{100};
};

/// A request that left the queue without being run.
struct Refusal {
  Ticket ticket;
  ErrorKind kind = ErrorKind::kOverloaded;
};

/// What follows from one event: whom to dispatch, whom to refuse.
struct AdmissionStep {
  std::vector<Ticket> dispatch;
  std::vector<Refusal> refuse;
  bool is_pressure_changed = false;
};

/// Place in the queue; smaller is served first.
struct QueueOrder {
  Criticality criticality = Criticality::kNormal;
  std::uint32_t depth = 0;
  ShedRank rank;
  std::uint64_t arrival = 0;
  friend bool operator<(const QueueOrder& a, const QueueOrder& b);
};

/// A waiting request.
struct QueueEntry {
  AdmissionRequest request;
  Millis arrived;
};

/// State of one target's admission. Plain data; one thread at a time.
struct Admission {
  ConcurrencyLimit limit;
  Pressure pressure;
  ServiceTime service_time;
  std::uint32_t in_flight = 0;
  std::uint64_t arrivals = 0;
  std::map<QueueOrder, QueueEntry> queue;
  std::map<Ticket, QueueOrder> waiting;
};

/// Starts admission to a fresh target.
void StartAdmission(const AdmissionRules& rules,
                    Millis now,
                    Admission& admission);

/// Offers a request. The step holds this ticket, and possibly others, in
/// `dispatch` or `refuse`; a ticket in neither waits.
AdmissionStep SubmitRequest(const AdmissionRules& rules,
                            Millis now,
                            const AdmissionRequest& request,
                            Admission& admission);

/// Ends a dispatched request. Precondition: it was dispatched.
AdmissionStep CompleteRequest(const AdmissionRules& rules,
                              Millis now,
                              LatencyMs latency,
                              Outcome outcome,
                              Admission& admission);

/// Gives the place of a dispatched request back that never reached the target;
/// nothing is learned from it.
AdmissionStep ReleaseSlot(const AdmissionRules& rules,
                          Millis now,
                          Admission& admission);

/// Takes a waiting request out because its caller left. False if it does not
/// wait.
bool CancelWaiting(Ticket ticket, Admission& admission);

/// Refuses who waited too long; call every few milliseconds while requests
/// wait.
AdmissionStep RefuseExpired(const AdmissionRules& rules,
                            Millis now,
                            Admission& admission);

/// Share of the limit in use, in thousandths.
std::uint32_t Utilization(const AdmissionRules& rules,
                          Millis now,
                          const Admission& admission);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_ADMISSION_H_
