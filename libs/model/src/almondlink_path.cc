#include "almondlink_path.h"

#include <algorithm>
#include <utility>

#include "almondlink/control/retry_decision.h"

namespace almondlink::model {

namespace {

/// Delays of the transport and the membership protocol in the daemon.
constexpr double kConnectTimeoutMs = 1000;
constexpr double kLinkSuspectMs = 400;
constexpr double kLinkSilentMs = 1200;
constexpr double kLostRemovalMs = 4500;
constexpr std::size_t kMaxTrackedRepeats = 16'384;

bool IsTargetFault(ErrorKind kind) {
  return kind == ErrorKind::kPeerLost || kind == ErrorKind::kPeerUnreachable ||
         kind == ErrorKind::kTargetTimeout;
}

}  // namespace

AlmondlinkPath::AlmondlinkPath(Simulation& simulation)
    : simulation(simulation) {
  const policy::TeamSpec team =
      simulation.scenario.bundle.teams.begin()->second;
  for (std::size_t i = 0; i < simulation.instances.size(); ++i) {
    auto node = std::make_unique<Node>();
    const ServiceModel& service =
        simulation.scenario.services[simulation.instances[i].service];
    node->rules.limit.slots = static_cast<std::uint32_t>(service.slots);
    node->rules.limit.slow_start = Millis{0};
    const policy::ServiceSpec* spec =
        simulation.scenario.bundle.FindService(ServiceName(service.name));
    if (spec != nullptr) {
      node->rules.queue_target = spec->queue_target;
      node->rules.queue_limit = spec->queue_limit;
    }
    control::StartAdmission(node->rules, Millis{0}, node->admission);
    for (const std::vector<std::size_t>& targets :
         simulation.instances_by_service) {
      std::vector<control::TargetView> views(targets.size());
      for (std::size_t j = 0; j < targets.size(); ++j) {
        const Instance& target = simulation.instances[targets[j]];
        views[j].is_own_zone = target.zone == simulation.instances[i].zone;
        views[j].slots = static_cast<std::uint32_t>(
            simulation.scenario.services[target.service].slots);
      }
      node->views.push_back(std::move(views));
    }
    node->downstream.resize(simulation.operations.size());
    node->repeats = control::MakeCallerRepeats(kMaxTrackedRepeats);
    node->budget = std::make_unique<control::RetryBudget>();
    node->budget_limits = {team.retry_ratio, team.retry_burst};
    control::FillBudget(node->budget_limits, *node->budget);
    node->replaced_ms.resize(simulation.instances.size(), -1);
    node->silent_since_ms.resize(simulation.instances.size(), -1);
    this->nodes.push_back(std::move(node));
  }
}

AlmondlinkPath::~AlmondlinkPath() = default;

CallHandlePointer AlmondlinkPath::Call(const CallSpec& spec, CallDone done) {
  const OutgoingCallPointer call = std::make_shared<OutgoingCall>();
  call->spec = spec;
  call->done = std::move(done);
  call->rank = control::RankOf(spec.root->criticality, spec.root->root_id);
  const OperationInfo& info = this->simulation.operations[spec.operation];
  const double own = this->simulation.clock.Now() +
                     static_cast<double>(info.spec->timeout.count);
  call->deadline_ms = std::min(own, spec.deadline_ms);
  this->simulation.clock.Schedule(
      call->deadline_ms - this->simulation.clock.Now(),
      [this, call]() { this->OnDeadline(call); });
  if (this->AdmitAtEntry(call)) {
    this->Attempt(call);
  }
  return std::make_shared<Handle>(*this, call);
}

bool AlmondlinkPath::AdmitAtEntry(const OutgoingCallPointer& call) {
  Node& node = *this->nodes[call->spec.entry];
  const Millis now = this->simulation.clock.NowMillis();
  const RootRequest& root = *call->spec.root;
  if (call->spec.parent == nullptr) {
    if (control::IsEarlyRepeat(now, root.hash, node.repeats)) {
      if (!control::SpendRetry(*node.budget)) {
        this->Finish(call, CallResult{false, ErrorKind::kRetryBudgetEmpty});
        return false;
      }
    } else {
      control::EarnRetry(node.budget_limits, *node.budget);
    }
    call->grant.available =
        this->simulation.operations[call->spec.operation].spec->retries;
  }
  const control::DownstreamLevel& deeper =
      node.downstream[call->spec.operation];
  if (control::IsShedDownstream(now, call->rank, deeper)) {
    this->Finish(call, CallResult{false, ErrorKind::kOverloaded, deeper.level,
                                  control::RetryAfter(deeper.level)});
    return false;
  }
  return true;
}

/// Marks instances as suspect a few seconds after they are lost, the delay of
/// failure detection by gossip.
void AlmondlinkPath::UpdateMembership(std::size_t entry, std::size_t service) {
  std::vector<control::TargetView>& views = this->nodes[entry]->views[service];
  for (std::size_t i = 0; i < views.size(); ++i) {
    const double since = this->simulation.FaultStart(
        FaultKind::kLost, this->simulation.instances_by_service[service][i]);
    views[i].is_suspect =
        since >= 0 && this->simulation.clock.Now() - since > kLostRemovalMs;
  }
}

void AlmondlinkPath::Attempt(const OutgoingCallPointer& call) {
  if (call->is_over) {
    return;
  }
  const std::size_t service =
      this->simulation.operations[call->spec.operation].service;
  this->UpdateMembership(call->spec.entry, service);
  std::vector<control::TargetView>& views =
      this->nodes[call->spec.entry]->views[service];
  for (std::size_t i = 0; i < views.size(); ++i) {
    views[i].is_tried = std::find(call->tried.begin(), call->tried.end(), i) !=
                        call->tried.end();
  }
  const control::RoutingDraws draws{
      this->simulation.DrawUniform(), this->simulation.DrawUniform(),
      this->simulation.DrawUniform(), this->simulation.DrawUniform()};
  const control::RouteChoice choice = control::ChooseTarget(
      views, this->simulation.clock.NowMillis(), call->rank, draws);
  if (!choice.index.has_value()) {
    this->Finish(call,
                 CallResult{false, choice.no_route.kind, choice.no_route.level,
                            control::RetryAfter(choice.no_route.level)});
    return;
  }
  this->SendTo(call, *choice.index);
}

void AlmondlinkPath::SendTo(const OutgoingCallPointer& call,
                            std::size_t view_index) {
  const std::size_t service =
      this->simulation.operations[call->spec.operation].service;
  Node& node = *this->nodes[call->spec.entry];
  control::TargetView& view = node.views[service][view_index];
  ++view.in_flight;
  control::RecordSent(this->simulation.clock.NowMillis(), view.health);
  ++call->attempts;
  ++call->spec.root->calls;
  call->tried.push_back(view_index);
  call->view_index = view_index;
  call->target = this->simulation.instances_by_service[service][view_index];
  call->lent_retries = control::Lend(call->Grant());
  call->sent_ms = this->simulation.clock.Now();
  const int attempt = ++call->attempt;
  const std::size_t target = call->target;
  const auto lose = [this, call, attempt](double delay, ErrorKind kind) {
    this->simulation.clock.Schedule(delay, [this, call, attempt, kind]() {
      Answer answer;
      answer.kind = kind;
      this->OnAnswer(call, attempt, answer);
    });
  };
  const double silent =
      this->simulation.FaultStart(FaultKind::kSilentLinks, target);
  if (silent >= 0 && node.replaced_ms[target] < silent) {
    // The silence of the link is timed from the first call without an answer.
    double& first = node.silent_since_ms[target];
    first = std::max(first, silent);
    first = first == silent ? call->sent_ms : first;
    this->simulation.clock.Schedule(
        first + kLinkSuspectMs - call->sent_ms, [this, &node, target]() {
          node.replaced_ms[target] = this->simulation.clock.Now();
        });
    lose(first + kLinkSilentMs - call->sent_ms, ErrorKind::kPeerLost);
    return;
  }
  if (this->simulation.HasFault(FaultKind::kLost, target)) {
    lose(kConnectTimeoutMs, ErrorKind::kPeerUnreachable);
    return;
  }
  // An instance that is lost during the run sends no answer; the call then ends
  // at its deadline.
  this->simulation.clock.Schedule(
      this->simulation.Latency(call->spec.entry, target),
      [this, call, attempt, target]() {
        this->OnArrival(call, attempt, target);
      });
}

void AlmondlinkPath::UpdateTargetView(const OutgoingCallPointer& call,
                                      const Answer& answer) {
  const std::size_t service =
      this->simulation.operations[call->spec.operation].service;
  control::TargetView& view =
      this->nodes[call->spec.entry]->views[service][call->view_index];
  const Millis now = this->simulation.clock.NowMillis();
  view.in_flight -= std::min(view.in_flight, 1U);
  const bool is_failed_answer =
      answer.kind == ErrorKind::kNone && !answer.is_completed;
  const bool is_fault = IsTargetFault(answer.kind) ||
                        (is_failed_answer && !answer.has_failed_call);
  control::RecordOutcome(control::HealthRules(), now, is_fault, 0, view.health);
  const bool is_from_node = answer.kind != ErrorKind::kPeerLost &&
                            answer.kind != ErrorKind::kPeerUnreachable;
  if (is_from_node) {
    view.level = answer.level;
    view.level_received_at = now;
    view.utilization = answer.utilization;
  }
  if (answer.is_completed) {
    control::RecordLatency(
        LatencyMs{this->simulation.clock.Now() - call->sent_ms}, view);
  }
}

void AlmondlinkPath::OnAnswer(const OutgoingCallPointer& call,
                              int attempt,
                              Answer answer) {
  if (call->is_over || call->attempt != attempt) {
    return;
  }
  this->UpdateTargetView(call, answer);
  control::GiveBack(call->Grant(), call->lent_retries, answer.returned_retries);
  control::RecordDownstreamLevel(
      this->simulation.clock.NowMillis(), answer.downstream_level,
      this->nodes[call->spec.entry]->downstream[call->spec.operation]);
  const bool is_own_failure = answer.kind == ErrorKind::kNone &&
                              !answer.is_completed && !answer.has_failed_call;
  if (answer.kind == ErrorKind::kNone && !is_own_failure) {
    this->Finish(call,
                 CallResult{answer.is_completed, ErrorKind::kNone,
                            answer.is_completed ? 0 : answer.downstream_level,
                            control::RetryAfter(answer.downstream_level)});
    return;
  }
  this->RetryOrFinish(call, answer);
}

void AlmondlinkPath::RetryOrFinish(const OutgoingCallPointer& call,
                                   const Answer& answer) {
  const OperationInfo& info = this->simulation.operations[call->spec.operation];
  Node& node = *this->nodes[call->spec.entry];
  control::FailedAttempt failed;
  failed.kind = answer.kind;
  failed.is_server_error = answer.kind == ErrorKind::kNone;
  failed.is_repeatable = info.spec->is_repeatable;
  failed.attempts = call->attempts;
  failed.time_left = Millis{static_cast<std::int64_t>(
      call->deadline_ms - this->simulation.clock.Now())};
  failed.has_other_target =
      call->tried.size() <
      this->simulation.instances_by_service[info.service].size();
  const bool may_retry =
      answer.downstream_level == 0 &&
      control::DecideRetry(failed) == control::RetryChoice::kRetry &&
      control::TakeRetry(call->Grant());
  if (!may_retry || !control::SpendRetry(*node.budget)) {
    const std::uint32_t level = answer.kind == ErrorKind::kOverloaded
                                    ? answer.level
                                    : answer.downstream_level;
    this->Finish(call, CallResult{false, answer.kind, level,
                                  control::RetryAfter(level)});
    return;
  }
  ++call->retries;
  ++call->spec.root->retries_in_try;
  const Millis delay =
      control::RetryDelay(call->attempts, this->simulation.DrawUniform());
  this->simulation.clock.Schedule(static_cast<double>(delay.count),
                                  [this, call]() { this->Attempt(call); });
}

void AlmondlinkPath::OnDeadline(const OutgoingCallPointer& call) {
  if (call->is_over) {
    return;
  }
  Answer answer;
  answer.kind = ErrorKind::kTargetTimeout;
  this->UpdateTargetView(call, answer);
  this->Cancel(call);
  call->done(CallResult{false, ErrorKind::kTargetTimeout});
}

void AlmondlinkPath::Cancel(const OutgoingCallPointer& call) {
  if (call->is_over) {
    return;
  }
  call->is_over = true;
  Node& node = *this->nodes[call->target];
  const control::Ticket ticket = call->ticket;
  const std::size_t target = call->target;
  const double delay = this->simulation.Latency(call->spec.entry, target);
  this->simulation.clock.Schedule(delay, [this, &node, ticket, target]() {
    const auto waiting = node.calls.find(ticket);
    if (waiting == node.calls.end()) {
      return;
    }
    const OutgoingCallPointer cancelled = waiting->second.first;
    const bool is_keyed =
        !this->simulation.operations[cancelled->spec.operation]
             .spec->is_repeatable;
    if (control::CancelWaiting(ticket, node.admission)) {
      node.calls.erase(waiting);
      return;
    }
    const auto running = node.work.find(ticket);
    if (running != node.work.end() && !is_keyed) {
      const WorkPointer work = running->second.first;
      node.work.erase(running);
      node.calls.erase(waiting);
      this->simulation.CancelWork(work);
      this->ApplyAdmissionStep(
          target,
          control::ReleaseSlot(node.rules, this->simulation.clock.NowMillis(),
                               node.admission));
    }
  });
}

void AlmondlinkPath::Finish(const OutgoingCallPointer& call,
                            const CallResult& result) {
  if (call->is_over) {
    return;
  }
  call->is_over = true;
  if (call->spec.parent == nullptr && !result.is_completed) {
    control::RecordFailedRequest(this->simulation.clock.NowMillis(),
                                 call->spec.root->hash, result.retry_after,
                                 false, this->nodes[call->spec.entry]->repeats);
  }
  call->done(result);
}

}  // namespace almondlink::model
