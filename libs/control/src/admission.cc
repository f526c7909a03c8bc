#include "almondlink/control/admission.h"

#include <algorithm>
#include <cassert>
#include <iterator>
#include <tuple>

namespace almondlink::control {

namespace {

/// Queue capacity in multiples of the limit while the service time is unknown.
constexpr std::uint32_t kQueuePerSlot = 4;
constexpr std::uint32_t kMinQueueCapacity = 16;
constexpr std::uint32_t kThousand = 1000;

/// Number of requests that can be served within `queue_limit`.
std::size_t QueueCapacity(const AdmissionRules& rules,
                          std::uint32_t limit,
                          const Admission& admission) {
  const double mean = admission.service_time.mean;
  double turns = kQueuePerSlot;
  if (mean > 0) {
    turns = static_cast<double>(rules.queue_limit.count) / mean;
  }
  const double capacity = std::min(turns, 64.0) * limit;
  return std::max<std::size_t>(kMinQueueCapacity,
                               static_cast<std::size_t>(capacity));
}

bool HasFreeSlot(const AdmissionRules& rules,
                 Millis now,
                 const Admission& admission) {
  return admission.in_flight < CurrentLimit(rules.limit, now, admission.limit);
}

void RemoveFirst(Admission& admission) {
  const auto first = admission.queue.begin();
  admission.waiting.erase(first->second.request.ticket);
  admission.queue.erase(first);
}

/// Reason why a queued request can no longer be dispatched, or kNone.
ErrorKind ReasonToRefuse(const AdmissionRules& rules,
                         Millis now,
                         const QueueEntry& entry,
                         const Admission& admission) {
  if (entry.request.deadline <= now) {
    return ErrorKind::kDeadlinePassed;
  }
  if (!CanFinish(now, entry.request.deadline, 0, 1, admission.service_time)) {
    return ErrorKind::kDeadlineUnmeetable;
  }
  if (now - entry.arrived > rules.queue_limit) {
    return ErrorKind::kOverloaded;
  }
  return ErrorKind::kNone;
}

/// Refuses a queued request for overload, after all queued requests of less
/// critical classes: otherwise these would take slots that the refused request
/// did not get.
void RefuseOverloaded(const AdmissionRequest& request,
                      Admission& admission,
                      AdmissionStep& step) {
  ShedLessCritical(request.criticality, admission.pressure);
  while (!admission.queue.empty()) {
    const auto last = std::prev(admission.queue.end());
    if (last->first.criticality <= request.criticality) {
      break;
    }
    const Ticket ticket = last->second.request.ticket;
    const Criticality last_class = last->first.criticality;
    admission.waiting.erase(ticket);
    admission.queue.erase(last);
    RecordExpired(last_class, admission.pressure);
    step.refuse.push_back(Refusal{ticket, ErrorKind::kOverloaded});
  }
  RecordExpired(request.criticality, admission.pressure);
  step.refuse.push_back(Refusal{request.ticket, ErrorKind::kOverloaded});
}

void RefuseWaiting(ErrorKind kind,
                   const AdmissionRequest& request,
                   Admission& admission,
                   AdmissionStep& step) {
  if (kind == ErrorKind::kOverloaded) {
    RefuseOverloaded(request, admission, step);
    return;
  }
  RecordExpired(request.criticality, admission.pressure);
  step.refuse.push_back(Refusal{request.ticket, kind});
}

/// Dispatches queued requests while slots are free. Those that have expired are
/// refused instead.
void DispatchWaiting(const AdmissionRules& rules,
                     Millis now,
                     Admission& admission,
                     AdmissionStep& step) {
  while (!admission.queue.empty() && HasFreeSlot(rules, now, admission)) {
    const QueueEntry entry = admission.queue.begin()->second;
    RemoveFirst(admission);
    const ErrorKind stale = ReasonToRefuse(rules, now, entry, admission);
    if (stale != ErrorKind::kNone) {
      RefuseWaiting(stale, entry.request, admission, step);
      continue;
    }
    RecordDequeue(entry.request.criticality, now - entry.arrived,
                  rules.queue_target, admission.pressure);
    ++admission.in_flight;
    step.dispatch.push_back(entry.request.ticket);
  }
}

void UpdateThreshold(const AdmissionRules& rules,
                     Millis now,
                     Admission& admission,
                     AdmissionStep& step) {
  const bool is_busy = !HasFreeSlot(rules, now, admission);
  step.is_pressure_changed |=
      UpdatePressure(rules.queue_target, now, is_busy, admission.pressure);
}

void Enqueue(Millis now,
             const AdmissionRequest& request,
             Admission& admission) {
  const QueueOrder order{request.criticality, request.depth, request.rank,
                         ++admission.arrivals};
  admission.queue.emplace(order, QueueEntry{request, now});
  admission.waiting.emplace(request.ticket, order);
}

/// Evicts requests from the end of the queue while it is over its capacity.
void EvictExcess(const AdmissionRules& rules,
                 Millis now,
                 Admission& admission,
                 AdmissionStep& step) {
  const std::uint32_t limit = CurrentLimit(rules.limit, now, admission.limit);
  const std::size_t capacity = QueueCapacity(rules, limit, admission);
  while (admission.queue.size() > capacity) {
    const auto last = std::prev(admission.queue.end());
    const AdmissionRequest request = last->second.request;
    admission.waiting.erase(request.ticket);
    admission.queue.erase(last);
    RefuseOverloaded(request, admission, step);
  }
}

}  // namespace

bool operator<(const QueueOrder& a, const QueueOrder& b) {
  return std::make_tuple(a.criticality, -static_cast<std::int64_t>(a.depth),
                         a.rank.Value(), a.arrival) <
         std::make_tuple(b.criticality, -static_cast<std::int64_t>(b.depth),
                         b.rank.Value(), b.arrival);
}

void StartAdmission(const AdmissionRules& rules,
                    Millis now,
                    Admission& admission) {
  admission = Admission{};
  StartLimit(rules.limit, now, admission.limit);
  admission.pressure.window_start = now;
}

AdmissionStep SubmitRequest(const AdmissionRules& rules,
                            Millis now,
                            const AdmissionRequest& request,
                            Admission& admission) {
  AdmissionStep step;
  RecordArrival(request.rank, admission.pressure);
  UpdateThreshold(rules, now, admission, step);
  if (request.deadline <= now) {
    step.refuse.push_back(Refusal{request.ticket, ErrorKind::kDeadlinePassed});
    return step;
  }
  if (!IsBelowThreshold(request.rank, admission.pressure)) {
    step.refuse.push_back(Refusal{request.ticket, ErrorKind::kOverloaded});
    return step;
  }
  const std::uint32_t limit = CurrentLimit(rules.limit, now, admission.limit);
  const bool can_finish =
      CanFinish(now, request.deadline, 0, limit, admission.service_time);
  if (!can_finish) {
    step.refuse.push_back(
        Refusal{request.ticket, ErrorKind::kDeadlineUnmeetable});
    return step;
  }
  Enqueue(now, request, admission);
  DispatchWaiting(rules, now, admission, step);
  EvictExcess(rules, now, admission, step);
  return step;
}

AdmissionStep CompleteRequest(const AdmissionRules& rules,
                              Millis now,
                              LatencyMs latency,
                              Outcome outcome,
                              Admission& admission) {
  assert(admission.in_flight > 0);
  AdmissionStep step;
  RecordOutcome(rules.limit, now, latency, outcome, admission.in_flight,
                admission.limit);
  if (outcome == Outcome::kSuccess) {
    RecordServiceTime(now, latency, admission.service_time);
  }
  RecordCompletion(admission.pressure);
  UpdateThreshold(rules, now, admission, step);
  --admission.in_flight;
  DispatchWaiting(rules, now, admission, step);
  return step;
}

AdmissionStep ReleaseSlot(const AdmissionRules& rules,
                          Millis now,
                          Admission& admission) {
  assert(admission.in_flight > 0);
  AdmissionStep step;
  --admission.in_flight;
  DispatchWaiting(rules, now, admission, step);
  return step;
}

bool CancelWaiting(Ticket ticket, Admission& admission) {
  const auto found = admission.waiting.find(ticket);
  if (found == admission.waiting.end()) {
    return false;
  }
  admission.queue.erase(found->second);
  admission.waiting.erase(found);
  return true;
}

AdmissionStep RefuseExpired(const AdmissionRules& rules,
                            Millis now,
                            Admission& admission) {
  AdmissionStep step;
  // Collected first, because a refusal for overload removes other requests from
  // the queue.
  std::vector<std::pair<AdmissionRequest, ErrorKind>> stale;
  for (const auto& [order, entry] : admission.queue) {
    const ErrorKind kind = ReasonToRefuse(rules, now, entry, admission);
    if (kind != ErrorKind::kNone) {
      stale.emplace_back(entry.request, kind);
    }
  }
  for (const auto& [request, kind] : stale) {
    if (CancelWaiting(request.ticket, admission)) {
      RefuseWaiting(kind, request, admission, step);
    }
  }
  UpdateThreshold(rules, now, admission, step);
  DispatchWaiting(rules, now, admission, step);
  return step;
}

std::uint32_t Utilization(const AdmissionRules& rules,
                          Millis now,
                          const Admission& admission) {
  const std::uint32_t limit = CurrentLimit(rules.limit, now, admission.limit);
  return std::min(kThousand, admission.in_flight * kThousand / limit);
}

}  // namespace almondlink::control
