#include <algorithm>
#include <utility>

#include "almondlink_path.h"

/// The target's node of a replay: claims, admission, work and answers.
namespace almondlink::model {

namespace {

/// Delays of the daemon's surroundings.
constexpr double kClaimMs = 8;
constexpr double kLogGivesUpMs = 100;
constexpr double kTickMs = 5;

}  // namespace

void AlmondlinkPath::Arrive(const OutCallPointer& call,
                            int attempt,
                            std::size_t target) {
  if (call->is_over || call->attempt != attempt) {
    return;
  }
  call->ticket = control::Ticket(++this->last_ticket);
  this->nodes[target]->calls[call->ticket] = {call, attempt};
  const bool is_keyed =
      !this->world.operations[call->spec.operation].spec->is_repeatable;
  if (!is_keyed || this->world.scenario.callers.has_minted_keys) {
    this->Admit(call, attempt, target);
    return;
  }
  if (this->world.IsLogDown()) {
    this->world.clock.After(kLogGivesUpMs,
                            [this, target, ticket = call->ticket]() {
                              Answer answer;
                              answer.kind = ErrorKind::kLogUnavailable;
                              this->Reply(target, ticket, answer);
                            });
    return;
  }
  this->world.clock.After(kClaimMs, [this, call, attempt, target]() {
    this->Admit(call, attempt, target);
  });
}

void AlmondlinkPath::Admit(const OutCallPointer& call,
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
  this->Apply(target,
              control::SubmitRequest(node.rules, this->world.clock.NowMillis(),
                                     request, node.admission));
  if (!node.is_ticking && !node.admission.queue.empty()) {
    node.is_ticking = true;
    this->world.clock.After(kTickMs, [this, target]() { this->Tick(target); });
  }
}

void AlmondlinkPath::Tick(std::size_t target) {
  Node& node = *this->nodes[target];
  this->Apply(target,
              control::RefuseExpired(node.rules, this->world.clock.NowMillis(),
                                     node.admission));
  node.is_ticking = !node.admission.queue.empty();
  if (node.is_ticking) {
    this->world.clock.After(kTickMs, [this, target]() { this->Tick(target); });
  }
}

void AlmondlinkPath::Apply(std::size_t target,
                           const control::AdmissionStep& step) {
  for (const control::Refusal& refusal : step.refuse) {
    const auto found = this->nodes[target]->calls.find(refusal.ticket);
    if (found != this->nodes[target]->calls.end()) {
      if (refusal.kind == ErrorKind::kOverloaded) {
        this->NoteOrder(target, found->second.first);
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

/// A refusal breaks the order when a whole lesser class would still be let in.
void AlmondlinkPath::NoteOrder(std::size_t target, const OutCallPointer& call) {
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
  this->world.outcome.order_violations += is_lesser_admitted ? 1 : 0;
}

void AlmondlinkPath::Dispatch(std::size_t target, control::Ticket ticket) {
  Node& node = *this->nodes[target];
  const OutCallPointer call = node.calls.at(ticket).first;
  const auto work = std::make_shared<Work>();
  work->root = call->spec.root;
  work->operation = call->spec.operation;
  work->instance = target;
  work->depth = call->spec.depth;
  work->deadline_ms = call->deadline_ms;
  work->grant.available = call->lent;
  work->done = [this, target, ticket](bool is_whole) {
    this->OnWorkDone(target, ticket, is_whole);
  };
  node.work[ticket] = {work, this->world.clock.Now()};
  this->world.Submit(work);
}

void AlmondlinkPath::OnWorkDone(std::size_t target,
                                control::Ticket ticket,
                                bool is_whole) {
  Node& node = *this->nodes[target];
  const auto found = node.work.find(ticket);
  if (found == node.work.end()) {
    return;
  }
  const WorkPointer work = found->second.first;
  const double took = this->world.clock.Now() - found->second.second;
  node.work.erase(found);
  Answer answer;
  answer.is_whole = is_whole;
  answer.grant_back = work->grant.available;
  answer.downstream = is_whole ? 0 : work->downstream;
  answer.is_call_failed = !is_whole && work->is_call_failed;
  const control::AdmissionStep step = control::CompleteRequest(
      node.rules, this->world.clock.NowMillis(), LatencyMs{took},
      control::Outcome::kSuccess, node.admission);
  this->Reply(target, ticket, answer);
  this->Apply(target, step);
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
    answer.grant_back = call->lent;
  }
  answer.level = control::LevelOf(node.admission.pressure);
  answer.utilization = control::Utilization(
      node.rules, this->world.clock.NowMillis(), node.admission);
  this->world.clock.After(this->world.Latency(target, call->spec.entry),
                          [this, call = call, attempt = attempt, answer]() {
                            this->OnAnswer(call, attempt, answer);
                          });
}

}  // namespace almondlink::model
