#include "almondlink_path.h"

#include <algorithm>
#include <utility>

#include "almondlink/control/retry_decision.h"

namespace almondlink::model {

namespace {

/// Delays of the daemon's surroundings.
constexpr double kClaimMs = 8;
constexpr double kLogGivesUpMs = 100;
constexpr double kConnectTimeoutMs = 1000;
constexpr double kLinkSuspectMs = 400;
constexpr double kLinkSilentMs = 1200;
constexpr double kMembershipMs = 4500;
constexpr double kTickMs = 5;
constexpr std::size_t kRepeatPlaces = 16'384;

bool IsTargetFault(ErrorKind kind) {
  return kind == ErrorKind::kPeerLost || kind == ErrorKind::kPeerUnreachable ||
         kind == ErrorKind::kTargetTimeout;
}

}  // namespace

/// One call on its way, as entry_loop.cc has it.
struct AlmondlinkPath::OutCall {
  CallSpec spec;
  CallDone done;
  double deadline_ms = 0;
  control::ShedRank rank;
  control::RetryGrant grant;
  /// The grant that the call uses: its own, or that of the work it belongs to.
  control::RetryGrant& Grant() {
    return this->spec.parent == nullptr ? this->grant
                                        : this->spec.parent->grant;
  }
  std::vector<std::size_t> tried;
  std::uint32_t attempts = 0;
  std::uint32_t retries = 0;
  bool is_over = false;
  // The attempt that is out.
  int attempt = 0;
  std::size_t place = 0;
  std::size_t target = 0;
  std::uint32_t lent = 0;
  double sent_ms = 0;
  control::Ticket ticket;
};

struct AlmondlinkPath::Node {
  // As target's node.
  control::AdmissionRules rules;
  control::Admission admission;
  std::map<control::Ticket, std::pair<OutCallPointer, int>> calls;
  std::map<control::Ticket, std::pair<WorkPointer, double>> work;
  bool is_ticking = false;
  // As entry node.
  std::vector<std::vector<control::TargetView>> views;
  std::vector<control::DownstreamLevel> downstream;
  control::CallerRepeats repeats;
  std::unique_ptr<control::RetryBudget> budget;
  control::RetryBudgetLimits budget_limits;
  /// Links that were found silent and replaced, by target.
  std::vector<double> replaced_ms;
  std::vector<double> silent_since_ms;
};

struct AlmondlinkPath::Handle : CallHandle {
  Handle(AlmondlinkPath& path, OutCallPointer call)
      : path(path), call(std::move(call)) {}
  void Cancel() override { this->path.Cancel(this->call); }
  AlmondlinkPath& path;
  const OutCallPointer call;
};

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
    this->Finish(call, CallResult{false, choice.none.kind, choice.none.level,
                                  control::RetryAfter(choice.none.level)});
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
  control::NoteSent(this->world.clock.NowMillis(), view.health);
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
  control::NoteHealth(now, is_fault, view.health);
  const bool is_from_node = answer.kind != ErrorKind::kPeerLost &&
                            answer.kind != ErrorKind::kPeerUnreachable;
  if (is_from_node) {
    view.level = answer.level;
    view.level_time = now;
    view.utilization = answer.utilization;
  }
  if (answer.is_whole) {
    control::NoteLatency(LatencyMs{this->world.clock.Now() - call->sent_ms},
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
  control::NoteDownstreamLevel(
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
  failed.left = Millis{
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
    if (control::Withdraw(ticket, node.admission)) {
      node.calls.erase(waiting);
      return;
    }
    const auto running = node.work.find(ticket);
    if (running != node.work.end() && !is_keyed) {
      const WorkPointer work = running->second.first;
      node.work.erase(running);
      node.calls.erase(waiting);
      this->world.CancelWork(work);
      this->Apply(target,
                  control::Release(node.rules, this->world.clock.NowMillis(),
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
    control::NoteFailedRequest(this->world.clock.NowMillis(),
                               call->spec.root->hash, result.retry_after, false,
                               this->nodes[call->spec.entry]->repeats);
  }
  call->done(result);
}

// ---- the target's node ----

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
  this->Apply(target, control::Offer(node.rules, this->world.clock.NowMillis(),
                                     request, node.admission));
  if (!node.is_ticking && !node.admission.queue.empty()) {
    node.is_ticking = true;
    this->world.clock.After(kTickMs, [this, target]() { this->Tick(target); });
  }
}

void AlmondlinkPath::Tick(std::size_t target) {
  Node& node = *this->nodes[target];
  this->Apply(target, control::Tick(node.rules, this->world.clock.NowMillis(),
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
  const control::AdmissionStep step = control::Complete(
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
