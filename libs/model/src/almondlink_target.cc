#include <algorithm>
#include <utility>

#include "almondlink_path.h"

/// Target's node of AlmondlinkPath: claims of idempotency keys, admission, work
/// and answers.
namespace almondlink::model {

namespace {

/// Delays of the log, and the period of the admission's queue check.
constexpr double kClaimLatencyMs = 8;
constexpr double kLogTimeoutMs = 100;
constexpr double kTickMs = 5;

}  // namespace

void AlmondlinkPath::OnArrival(const OutgoingCallPointer& call,
                               int attempt,
                               std::size_t target) {
  if (call->is_over || call->attempt != attempt) {
    return;
  }
  call->ticket = control::Ticket(++this->last_ticket);
  this->nodes[target]->calls[call->ticket] = {call, attempt};
  const bool is_keyed =
      !this->simulation.operations[call->spec.operation].spec->is_repeatable;
  if (!is_keyed || this->simulation.scenario.callers.has_minted_keys) {
    this->OfferToAdmission(call, attempt, target);
    return;
  }
  if (this->simulation.IsLogDown()) {
    this->simulation.clock.Schedule(kLogTimeoutMs,
                                    [this, target, ticket = call->ticket]() {
                                      Answer answer;
                                      answer.kind = ErrorKind::kLogUnavailable;
                                      this->Reply(target, ticket, answer);
                                    });
    return;
  }
  this->simulation.clock.Schedule(
      kClaimLatencyMs, [this, call, attempt, target]() {
        this->OfferToAdmission(call, attempt, target);
      });
}

void AlmondlinkPath::OfferToAdmission(const OutgoingCallPointer& call,
                                      int attempt,
                                      std::size_t target) {
  Node& node = *this->nodes[target];
  if (call->is_over || call->attempt != attempt ||
      node.calls.count(call->ticket) == 0) {
    node.calls.erase(call->ticket);
    return;
  }
  control::AdmissionRequest request;
  request.ticket = call->ticket;
  request.rank = call->rank;
  request.criticality = call->spec.root->criticality;
  request.depth = static_cast<std::uint32_t>(call->spec.depth);
  request.deadline = Millis{static_cast<std::int64_t>(call->deadline_ms)};
  this->ApplyAdmissionStep(
      target,
      control::SubmitRequest(node.rules, this->simulation.clock.NowMillis(),
                             request, node.admission));
  if (!node.is_ticking && !node.admission.queue.empty()) {
    node.is_ticking = true;
    this->simulation.clock.Schedule(kTickMs,
                                    [this, target]() { this->Tick(target); });
  }
}

void AlmondlinkPath::Tick(std::size_t target) {
  Node& node = *this->nodes[target];
  this->ApplyAdmissionStep(
      target,
      control::RefuseExpired(node.rules, this->simulation.clock.NowMillis(),
                             node.admission));
  node.is_ticking = !node.admission.queue.empty();
  if (node.is_ticking) {
    this->simulation.clock.Schedule(kTickMs,
                                    [this, target]() { this->Tick(target); });
  }
}

void AlmondlinkPath::ApplyAdmissionStep(std::size_t target,
                                        const control::AdmissionStep& step) {
  for (const control::Refusal& refusal : step.refuse) {
    const auto found = this->nodes[target]->calls.find(refusal.ticket);
    if (found != this->nodes[target]->calls.end()) {
      if (refusal.kind == ErrorKind::kOverloaded) {
        this->CountOrderViolation(target, found->second.first);
      }
      Answer answer;
      answer.kind = refusal.kind;
      this->Reply(target, refusal.ticket, answer);
    }
  }
  for (const control::Ticket ticket : step.dispatch) {
    this->Dispatch(target, ticket);
  }
}

/// Counts a refusal as an order violation if requests of a less critical class
/// wait in the queue and the admission threshold still admits that class.
void AlmondlinkPath::CountOrderViolation(std::size_t target,
                                         const OutgoingCallPointer& call) {
  const std::uint32_t next_class =
      (static_cast<std::uint32_t>(call->spec.root->criticality) + 1) *
      control::kRanksPerClass;
  const Node& node = *this->nodes[target];
  const bool is_lesser_waiting =
      !node.admission.queue.empty() &&
      node.admission.queue.rbegin()->first.criticality >
          call->spec.root->criticality;
  const bool is_lesser_admitted =
      node.admission.pressure.threshold > next_class && is_lesser_waiting;
  this->simulation.outcome.order_violations += is_lesser_admitted ? 1 : 0;
}

void AlmondlinkPath::Dispatch(std::size_t target, control::Ticket ticket) {
  Node& node = *this->nodes[target];
  const OutgoingCallPointer call = node.calls.at(ticket).first;
  const auto work = std::make_shared<Work>();
  work->root = call->spec.root;
  work->operation = call->spec.operation;
  work->instance = target;
  work->depth = call->spec.depth;
  work->deadline_ms = call->deadline_ms;
  work->grant.available = call->lent_retries;
  work->done = [this, target, ticket](bool is_completed) {
    this->OnWorkDone(target, ticket, is_completed);
  };
  node.work[ticket] = {work, this->simulation.clock.Now()};
  this->simulation.Submit(work);
}

void AlmondlinkPath::OnWorkDone(std::size_t target,
                                control::Ticket ticket,
                                bool is_completed) {
  Node& node = *this->nodes[target];
  const auto found = node.work.find(ticket);
  if (found == node.work.end()) {
    return;
  }
  const WorkPointer work = found->second.first;
  const double took = this->simulation.clock.Now() - found->second.second;
  node.work.erase(found);
  Answer answer;
  answer.is_completed = is_completed;
  answer.returned_retries = work->grant.available;
  answer.downstream_level = is_completed ? 0 : work->downstream_level;
  answer.has_failed_call = !is_completed && work->has_failed_call;
  const control::AdmissionStep step = control::CompleteRequest(
      node.rules, this->simulation.clock.NowMillis(), LatencyMs{took},
      control::Outcome::kSuccess, node.admission);
  this->Reply(target, ticket, answer);
  this->ApplyAdmissionStep(target, step);
}

void AlmondlinkPath::Reply(std::size_t target,
                           control::Ticket ticket,
                           Answer answer) {
  Node& node = *this->nodes[target];
  const auto found = node.calls.find(ticket);
  if (found == node.calls.end()) {
    return;
  }
  const auto [call, attempt] = found->second;
  node.calls.erase(found);
  if (answer.kind != ErrorKind::kNone) {
    answer.returned_retries = call->lent_retries;
  }
  answer.level = control::LevelOf(node.admission.pressure);
  answer.utilization = control::Utilization(
      node.rules, this->simulation.clock.NowMillis(), node.admission);
  this->simulation.clock.Schedule(
      this->simulation.Latency(target, call->spec.entry),
      [this, call = call, attempt = attempt, answer]() {
        this->OnAnswer(call, attempt, answer);
      });
}

}  // namespace almondlink::model
