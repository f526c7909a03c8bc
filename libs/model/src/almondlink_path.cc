#include "almondlink_path.h"

#include <algorithm>
#include <utility>

#include "almondlink/control/retry_decision.h"

namespace almondlink::model {

namespace {

/// Delays of the daemon's surroundings.
constexpr double kConnectTimeoutMs = 1000;
constexpr double kLinkSuspectMs = 400;
constexpr double kLinkSilentMs = 1200;
constexpr double kMembershipMs = 4500;
constexpr std::size_t kRepeatPlaces = 16'384;

bool IsTargetFault(ErrorKind kind) {
  return kind == ErrorKind::kPeerLost || kind == ErrorKind::kPeerUnreachable ||
         kind == ErrorKind::kTargetTimeout;
}

}  // namespace

AlmondlinkPath::AlmondlinkPath(World& world) : world(world) {
  const policy::TeamSpec team = world.scenario.bundle.teams.begin()->second;
  for (std::size_t i = 0; i < world.instances.size(); ++i) {
    auto node = std::make_unique<Node>();
    const ServiceModel& service =
        world.scenario.services[world.instances[i].service];
    node->rules.limit.slots = static_cast<std::uint32_t>(service.slots);
    node->rules.limit.slow_start = Millis{0};
    const policy::ServiceSpec* spec =
        world.scenario.bundle.FindService(ServiceName(service.name));
    if (spec != nullptr) {
      node->rules.queue_target = spec->queue_target;
      node->rules.queue_limit = spec->queue_limit;
    }
    control::StartAdmission(node->rules, Millis{0}, node->admission);
    for (const std::vector<std::size_t>& targets : world.by_service) {
      std::vector<control::TargetView> views(targets.size());
      for (std::size_t j = 0; j < targets.size(); ++j) {
        const Instance& target = world.instances[targets[j]];
        views[j].is_own_zone = target.zone == world.instances[i].zone;
        views[j].slots = static_cast<std::uint32_t>(
            world.scenario.services[target.service].slots);
      }
      node->views.push_back(std::move(views));
    }
    node->downstream.resize(world.operations.size());
    node->repeats = control::MakeCallerRepeats(kRepeatPlaces);
    node->budget = std::make_unique<control::RetryBudget>();
    node->budget_limits = {team.retry_ratio, team.retry_burst};
    control::FillBudget(node->budget_limits, *node->budget);
    node->replaced_ms.resize(world.instances.size(), -1);
    node->silent_since_ms.resize(world.instances.size(), -1);
    this->nodes.push_back(std::move(node));
  }
}

AlmondlinkPath::~AlmondlinkPath() = default;

CallHandlePointer AlmondlinkPath::Call(const CallSpec& spec, CallDone done) {
  const OutCallPointer call = std::make_shared<OutCall>();
  call->spec = spec;
  call->done = std::move(done);
  call->rank = control::RankOf(spec.root->criticality, spec.root->root);
  const OperationInfo& info = this->world.operations[spec.operation];
  const double own =
      this->world.clock.Now() + static_cast<double>(info.spec->timeout.count);
  call->deadline_ms = std::min(own, spec.deadline_ms);
  this->world.clock.After(call->deadline_ms - this->world.clock.Now(),
                          [this, call]() { this->OnDeadline(call); });
  if (this->Begin(call)) {
    this->Attempt(call);
  }
  return std::make_shared<Handle>(*this, call);
}

bool AlmondlinkPath::Begin(const OutCallPointer& call) {
  Node& node = *this->nodes[call->spec.entry];
  const Millis now = this->world.clock.NowMillis();
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
        this->world.operations[call->spec.operation].spec->retries;
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

/// Gossip: lost instances are taken out of routing a few seconds later.
void AlmondlinkPath::UpdateMembership(std::size_t entry, std::size_t service) {
  std::vector<control::TargetView>& views = this->nodes[entry]->views[service];
  for (std::size_t i = 0; i < views.size(); ++i) {
    const double since = this->world.FaultStart(
        FaultKind::kLost, this->world.by_service[service][i]);
    views[i].is_suspect =
        since >= 0 && this->world.clock.Now() - since > kMembershipMs;
  }
}

void AlmondlinkPath::Attempt(const OutCallPointer& call) {
  if (call->is_over) {
    return;
  }
  const std::size_t service =
      this->world.operations[call->spec.operation].service;
  this->UpdateMembership(call->spec.entry, service);
  std::vector<control::TargetView>& views =
      this->nodes[call->spec.entry]->views[service];
  for (std::size_t i = 0; i < views.size(); ++i) {
    views[i].is_tried = std::find(call->tried.begin(), call->tried.end(), i) !=
                        call->tried.end();
  }
  const control::RoutingDraws draws{this->world.Draw(), this->world.Draw(),
                                    this->world.Draw(), this->world.Draw()};
  const control::RouteChoice choice = control::ChooseTarget(
      views, this->world.clock.NowMillis(), call->rank, draws);
  if (!choice.index.has_value()) {
    this->Finish(call,
                 CallResult{false, choice.no_route.kind, choice.no_route.level,
                            control::RetryAfter(choice.no_route.level)});
    return;
  }
  this->SendTo(call, *choice.index);
}

void AlmondlinkPath::SendTo(const OutCallPointer& call, std::size_t place) {
  const std::size_t service =
      this->world.operations[call->spec.operation].service;
  Node& node = *this->nodes[call->spec.entry];
  control::TargetView& view = node.views[service][place];
  ++view.in_flight;
  control::RecordSent(this->world.clock.NowMillis(), view.health);
  ++call->attempts;
  ++call->spec.root->calls;
  call->tried.push_back(place);
  call->place = place;
  call->target = this->world.by_service[service][place];
  call->lent = control::Lend(call->Grant());
  call->sent_ms = this->world.clock.Now();
  const int attempt = ++call->attempt;
  const std::size_t target = call->target;
  const auto lose = [this, call, attempt](double delay, ErrorKind kind) {
    this->world.clock.After(delay, [this, call, attempt, kind]() {
      Answer answer;
      answer.kind = kind;
      this->OnAnswer(call, attempt, answer);
    });
  };
  const double silent = this->world.FaultStart(FaultKind::kSilentLinks, target);
  if (silent >= 0 && node.replaced_ms[target] < silent) {
    // The first call that gets no answer; from it the link's times count.
    double& first = node.silent_since_ms[target];
    first = std::max(first, silent);
    first = first == silent ? call->sent_ms : first;
    this->world.clock.After(
        first + kLinkSuspectMs - call->sent_ms, [this, &node, target]() {
          node.replaced_ms[target] = this->world.clock.Now();
        });
    lose(first + kLinkSilentMs - call->sent_ms, ErrorKind::kPeerLost);
    return;
  }
  if (this->world.HasFault(FaultKind::kLost, target)) {
    lose(kConnectTimeoutMs, ErrorKind::kPeerUnreachable);
    return;
  }
  // An instance that is lost while it works is noticed by its silent link.
  this->world.clock.After(
      this->world.Latency(call->spec.entry, target),
      [this, call, attempt, target]() { this->Arrive(call, attempt, target); });
}

void AlmondlinkPath::Learn(const OutCallPointer& call, const Answer& answer) {
  const std::size_t service =
      this->world.operations[call->spec.operation].service;
  control::TargetView& view =
      this->nodes[call->spec.entry]->views[service][call->place];
  const Millis now = this->world.clock.NowMillis();
  view.in_flight -= std::min(view.in_flight, 1U);
  const bool is_failed_answer =
      answer.kind == ErrorKind::kNone && !answer.is_whole;
  const bool is_fault = IsTargetFault(answer.kind) ||
                        (is_failed_answer && !answer.is_call_failed);
  control::RecordOutcome(control::HealthRules(), now, is_fault, 0, view.health);
  const bool is_from_node = answer.kind != ErrorKind::kPeerLost &&
                            answer.kind != ErrorKind::kPeerUnreachable;
  if (is_from_node) {
    view.level = answer.level;
    view.level_received_at = now;
    view.utilization = answer.utilization;
  }
  if (answer.is_whole) {
    control::RecordLatency(LatencyMs{this->world.clock.Now() - call->sent_ms},
                           view);
  }
}

void AlmondlinkPath::OnAnswer(const OutCallPointer& call,
                              int attempt,
                              Answer answer) {
  if (call->is_over || call->attempt != attempt) {
    return;
  }
  this->Learn(call, answer);
  control::GiveBack(call->Grant(), call->lent, answer.grant_back);
  control::RecordDownstreamLevel(
      this->world.clock.NowMillis(), answer.downstream,
      this->nodes[call->spec.entry]->downstream[call->spec.operation]);
  const bool is_own_failure = answer.kind == ErrorKind::kNone &&
                              !answer.is_whole && !answer.is_call_failed;
  if (answer.kind == ErrorKind::kNone && !is_own_failure) {
    this->Finish(call, CallResult{answer.is_whole, ErrorKind::kNone,
                                  answer.is_whole ? 0 : answer.downstream,
                                  control::RetryAfter(answer.downstream)});
    return;
  }
  this->RetryOrFinish(call, answer);
}

void AlmondlinkPath::RetryOrFinish(const OutCallPointer& call,
                                   const Answer& answer) {
  const OperationInfo& info = this->world.operations[call->spec.operation];
  Node& node = *this->nodes[call->spec.entry];
  control::FailedAttempt failed;
  failed.kind = answer.kind;
  failed.is_server_error = answer.kind == ErrorKind::kNone;
  failed.is_repeatable = info.spec->is_repeatable;
  failed.attempts = call->attempts;
  failed.time_left = Millis{
      static_cast<std::int64_t>(call->deadline_ms - this->world.clock.Now())};
  failed.has_other_target =
      call->tried.size() < this->world.by_service[info.service].size();
  const bool may_retry =
      answer.downstream == 0 &&
      control::DecideRetry(failed) == control::RetryChoice::kRetry &&
      control::TakeRetry(call->Grant());
  if (!may_retry || !control::SpendRetry(*node.budget)) {
    const std::uint32_t level = answer.kind == ErrorKind::kOverloaded
                                    ? answer.level
                                    : answer.downstream;
    this->Finish(call, CallResult{false, answer.kind, level,
                                  control::RetryAfter(level)});
    return;
  }
  ++call->retries;
  ++call->spec.root->retries_in_try;
  const Millis delay = control::RetryDelay(call->attempts, this->world.Draw());
  this->world.clock.After(static_cast<double>(delay.count),
                          [this, call]() { this->Attempt(call); });
}

void AlmondlinkPath::OnDeadline(const OutCallPointer& call) {
  if (call->is_over) {
    return;
  }
  Answer answer;
  answer.kind = ErrorKind::kTargetTimeout;
  this->Learn(call, answer);
  this->Cancel(call);
  call->done(CallResult{false, ErrorKind::kTargetTimeout});
}

void AlmondlinkPath::Cancel(const OutCallPointer& call) {
  if (call->is_over) {
    return;
  }
  call->is_over = true;
  Node& node = *this->nodes[call->target];
  const control::Ticket ticket = call->ticket;
  const std::size_t target = call->target;
  const double delay = this->world.Latency(call->spec.entry, target);
  this->world.clock.After(delay, [this, &node, ticket, target]() {
    const auto waiting = node.calls.find(ticket);
    if (waiting == node.calls.end()) {
      return;
    }
    const OutCallPointer cancelled = waiting->second.first;
    const bool is_keyed =
        !this->world.operations[cancelled->spec.operation].spec->is_repeatable;
    if (control::CancelWaiting(ticket, node.admission)) {
      node.calls.erase(waiting);
      return;
    }
    const auto running = node.work.find(ticket);
    if (running != node.work.end() && !is_keyed) {
      const WorkPointer work = running->second.first;
      node.work.erase(running);
      node.calls.erase(waiting);
      this->world.CancelWork(work);
      this->Apply(target, control::ReleaseSlot(node.rules,
                                               this->world.clock.NowMillis(),
                                               node.admission));
    }
  });
}

void AlmondlinkPath::Finish(const OutCallPointer& call,
                            const CallResult& result) {
  if (call->is_over) {
    return;
  }
  call->is_over = true;
  if (call->spec.parent == nullptr && !result.is_whole) {
    control::RecordFailedRequest(this->world.clock.NowMillis(),
                                 call->spec.root->hash, result.retry_after,
                                 false, this->nodes[call->spec.entry]->repeats);
  }
  call->done(result);
}

}  // namespace almondlink::model
