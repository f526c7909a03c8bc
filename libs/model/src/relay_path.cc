#include "relay_path.h"

#include <algorithm>
#include <utility>

namespace almondlink::model {

namespace {

/// Period of the state exchange between nodes and of the admission update.
constexpr double kTickMs = 100;
/// Silence of a link with open calls after which the daemon tries another
/// target.
constexpr double kLinkSuspectedMs = 700;
/// Time until a silent link is replaced.
constexpr double kLinkReplacedMs = 2200;
/// Maximum number of instances that one call is sent to, as in usual settings.
constexpr std::size_t kMaxTargetsPerCall = 2;
/// Share of its timeout that a root request may wait for a slot. The daemon
/// uses half of the latency target, which is a quarter to a third of the
/// timeout.
constexpr double kMaxRootWaitShare = 0.15;
/// Minimum time before the deadline for a repeat.
constexpr double kMinTimeToRepeatMs = 30;
/// Repeat allowance: the usual ratio setting, and the fixed part for one
/// service.
constexpr double kRepeatRatio = 0.2;
constexpr double kRepeatFixed = 47;

/// Key of a service for `control`, where 0 means none.
std::uint32_t ServiceKey(std::size_t service) {
  return static_cast<std::uint32_t>(service) + 1;
}

}  // namespace

/// State of one call.
struct RelayPath::OutgoingCall {
  CallSpec spec;
  CallDone done;
  double deadline_ms = 0;
  double wait_until_ms = 0;
  std::vector<std::size_t> tried;
  /// Instances in `tried` that refused the call without running it.
  std::vector<std::size_t> refused_by;
  int attempts = 0;
  bool may_have_run = false;
  bool is_over = false;
  // The current attempt; results of earlier ones are ignored.
  int attempt = 0;
  std::size_t view_index = 0;
  std::size_t target = 0;
  bool is_waiting = false;
  WorkPointer work;
  std::uint32_t node_incarnation = 0;
  std::uint64_t arrival = 0;
  double dispatched_ms = 0;
};

struct RelayPath::Node {
  /// Criticality, then deeper calls first, then order of arrival.
  using QueueKey = std::tuple<int, int, std::uint64_t>;
  // State as the node beside a target.
  std::map<QueueKey, OutgoingCallPointer> queue;
  std::uint32_t running = 0;
  /// Increases when the host is lost; work of earlier incarnations never ends.
  std::uint32_t incarnation = 0;
  control::DemandMeter meter;
  // State as an entry node: view of the targets of each service.
  std::vector<std::vector<control::PlacementTarget>> views;
};

struct RelayPath::Handle : CallHandle {
  Handle(RelayPath& path, OutgoingCallPointer call)
      : path(path), call(std::move(call)) {}
  void Cancel() override { this->path.Cancel(this->call); }
  RelayPath& path;
  const OutgoingCallPointer call;
};

RelayPath::RelayPath(Simulation& simulation)
    : simulation(simulation),
      allowances(simulation.instances_by_service.size()) {
  for (const Instance& instance : simulation.instances) {
    auto node = std::make_unique<Node>();
    for (const std::vector<std::size_t>& targets :
         simulation.instances_by_service) {
      std::vector<control::PlacementTarget> views(targets.size());
      for (std::size_t i = 0; i < targets.size(); ++i) {
        views[i].is_own_zone =
            simulation.instances[targets[i]].zone == instance.zone;
        views[i].is_open = true;
        views[i].slots = this->SlotsOf(targets[i]);
      }
      node->views.push_back(std::move(views));
    }
    this->nodes.push_back(std::move(node));
  }
  this->Tick();
}

RelayPath::~RelayPath() = default;

control::RepeatRules RelayPath::EffectiveRepeatRules() const {
  control::RepeatRules rules = this->simulation.scenario.relay_rules.repeats;
  rules.ratio = kRepeatRatio;
  rules.fixed = kRepeatFixed;
  return rules;
}

std::uint32_t RelayPath::SlotsOf(std::size_t target) const {
  const std::size_t service = this->simulation.instances[target].service;
  return static_cast<std::uint32_t>(
      this->simulation.scenario.services[service].slots);
}

std::uint32_t RelayPath::RouteKey(const RootRequest& root) const {
  // For `control`, 0 means none.
  return static_cast<std::uint32_t>(root.operation) + 1;
}

CallHandlePointer RelayPath::Call(const CallSpec& spec, CallDone done) {
  const OutgoingCallPointer call = std::make_shared<OutgoingCall>();
  call->spec = spec;
  call->done = std::move(done);
  const OperationInfo& info = this->simulation.operations[spec.operation];
  const double now = this->simulation.clock.Now();
  const auto timeout = static_cast<double>(info.spec->timeout.count);
  call->deadline_ms = std::min(now + timeout, spec.deadline_ms);
  const bool is_root = spec.parent == nullptr;
  call->wait_until_ms =
      is_root ? now + kMaxRootWaitShare * timeout : call->deadline_ms;
  if (is_root && !this->AdmitRoot(call)) {
    return std::make_shared<Handle>(*this, call);
  }
  this->simulation.clock.Schedule(call->deadline_ms - now,
                                  [this, call]() { this->TimeOut(call); });
  this->Attempt(call);
  return std::make_shared<Handle>(*this, call);
}

bool RelayPath::AdmitRoot(const OutgoingCallPointer& call) {
  RootRequest& root = *call->spec.root;
  root.runs_by_service = control::CallCounts();
  if (control::TryAdmitRoot(this->RouteKey(root),
                            static_cast<std::uint32_t>(root.criticality),
                            this->simulation.DrawUniform(), this->admission)) {
    return true;
  }
  this->Finish(call, CallResult{false, ErrorKind::kOverloaded});
  return false;
}

void RelayPath::Attempt(const OutgoingCallPointer& call) {
  const OperationInfo& info = this->simulation.operations[call->spec.operation];
  Node& node = *this->nodes[call->spec.entry];
  std::vector<control::PlacementTarget>& views = node.views[info.service];
  const bool is_resend = call->tried.size() >= kMaxTargetsPerCall;
  const std::vector<std::size_t>& listed =
      is_resend ? call->refused_by : call->tried;
  for (std::size_t i = 0; i < views.size(); ++i) {
    const bool is_listed =
        std::find(listed.begin(), listed.end(), i) != listed.end();
    views[i].is_tried = is_listed != is_resend;
  }
  const control::PlacementDraws draws{
      this->simulation.DrawUniform(), this->simulation.DrawUniform(),
      this->simulation.DrawUniform(), this->simulation.DrawUniform()};
  const std::optional<std::size_t> view_index = control::ChoosePlacementTarget(
      this->simulation.scenario.relay_rules.placement, views,
      this->simulation.clock.NowMillis(), draws);
  if (!view_index.has_value()) {
    this->Finish(
        call, CallResult{false, call->may_have_run ? ErrorKind::kTargetTimeout
                                                   : ErrorKind::kOverloaded});
    return;
  }
  call->view_index = *view_index;
  call->target =
      this->simulation.instances_by_service[info.service][*view_index];
  call->tried.push_back(*view_index);
  ++views[*view_index].sent_since;
  control::RecordSent(this->simulation.clock.NowMillis(),
                      views[*view_index].health);
  ++call->spec.root->calls;
  control::RepeatAllowance& allowance = this->allowances[info.service];
  if (call->attempts == 0) {
    control::RecordRequest(this->EffectiveRepeatRules(),
                           this->simulation.clock.NowMillis(), allowance);
  }
  const int attempt = ++call->attempt;
  const bool is_silent =
      this->simulation.HasFault(FaultKind::kSilentLinks, call->target) &&
      this->simulation.clock.Now() -
              this->simulation.FaultStart(FaultKind::kSilentLinks,
                                          call->target) <
          kLinkReplacedMs;
  if (is_silent || this->simulation.HasFault(FaultKind::kLost, call->target)) {
    this->simulation.clock.Schedule(kLinkSuspectedMs, [this, call, attempt]() {
      this->OnAttemptResult(call, attempt, AttemptResult::kLost);
    });
    return;
  }
  const std::size_t target = call->target;
  this->simulation.clock.Schedule(
      this->simulation.Latency(call->spec.entry, target),
      [this, call, attempt, target]() {
        if (!call->is_over && call->attempt == attempt) {
          this->OnArrival(call, target);
        }
      });
}

void RelayPath::OnArrival(const OutgoingCallPointer& call, std::size_t target) {
  Node& node = *this->nodes[target];
  control::RecordDemand(this->RouteKey(*call->spec.root), node.meter);
  call->arrival = ++this->arrivals;
  call->is_waiting = true;
  node.queue.emplace(
      Node::QueueKey{static_cast<int>(call->spec.root->criticality),
                     -call->spec.depth, call->arrival},
      call);
  this->DispatchQueued(target);
}

void RelayPath::DispatchQueued(std::size_t target) {
  Node& node = *this->nodes[target];
  const double now = this->simulation.clock.Now();
  while (!node.queue.empty() && node.running < this->SlotsOf(target)) {
    const OutgoingCallPointer call = node.queue.begin()->second;
    node.queue.erase(node.queue.begin());
    call->is_waiting = false;
    if (call->is_over) {
      continue;
    }
    if (now >= call->wait_until_ms) {
      this->Reply(call, call->attempt, AttemptResult::kNoSlot);
      continue;
    }
    this->Dispatch(target, call);
  }
}

void RelayPath::Dispatch(std::size_t target, const OutgoingCallPointer& call) {
  Node& node = *this->nodes[target];
  ++node.running;
  call->dispatched_ms = this->simulation.clock.Now();
  call->node_incarnation = node.incarnation;
  const int attempt = call->attempt;
  const WorkPointer work = std::make_shared<Work>();
  work->root = call->spec.root;
  work->operation = call->spec.operation;
  work->instance = target;
  work->depth = call->spec.depth;
  work->deadline_ms = call->deadline_ms;
  call->work = work;
  work->done = [this, call, attempt, target](bool is_completed) {
    Node& target_node = *this->nodes[target];
    if (target_node.incarnation != call->node_incarnation) {
      return;
    }
    --target_node.running;
    if (call->work->is_refused) {
      control::RemoveRefusedDemand(this->RouteKey(*call->spec.root),
                                   target_node.meter);
      this->Reply(call, attempt, AttemptResult::kRefusedByTarget);
      return;
    }
    control::AddRuns(
        {ServiceKey(this->simulation.instances[target].service), 1},
        call->spec.root->runs_by_service);
    const double took = this->simulation.clock.Now() - call->dispatched_ms;
    control::RecordWork(this->RouteKey(*call->spec.root),
                        this->simulation.clock.NowMillis(), LatencyMs{took},
                        target_node.meter);
    this->Reply(
        call, attempt,
        is_completed ? AttemptResult::kCompleted : AttemptResult::kFailed);
    this->DispatchQueued(target);
  };
  this->simulation.Submit(work);
}

void RelayPath::Reply(const OutgoingCallPointer& call,
                      int attempt,
                      AttemptResult result) {
  const std::size_t target = call->target;
  const std::uint32_t load =
      this->nodes[target]->running +
      static_cast<std::uint32_t>(this->nodes[target]->queue.size());
  this->simulation.clock.Schedule(
      this->simulation.Latency(call->spec.entry, target),
      [this, call, attempt, result, load]() {
        const std::size_t service =
            this->simulation.operations[call->spec.operation].service;
        control::PlacementTarget& view =
            this->nodes[call->spec.entry]->views[service][call->view_index];
        view.reported_load = load;
        view.sent_since = 0;
        this->OnAttemptResult(call, attempt, result);
      });
}

void RelayPath::OnAttemptResult(const OutgoingCallPointer& call,
                                int attempt,
                                AttemptResult result) {
  if (call->is_over || call->attempt != attempt) {
    return;
  }
  const OperationInfo& info = this->simulation.operations[call->spec.operation];
  control::PlacementTarget& view =
      this->nodes[call->spec.entry]->views[info.service][call->view_index];
  const bool is_fault = result == AttemptResult::kLost ||
                        result == AttemptResult::kRefusedByTarget;
  control::RecordOutcome(this->simulation.scenario.relay_rules.health,
                         this->simulation.clock.NowMillis(), is_fault, 0,
                         view.health);
  if (result == AttemptResult::kCompleted) {
    this->Finish(call, CallResult{true});
    return;
  }
  if (result == AttemptResult::kNoSlot) {
    this->Finish(call, CallResult{false, ErrorKind::kOverloaded});
    return;
  }
  ++call->attempts;
  const bool has_run = result != AttemptResult::kRefusedByTarget;
  if (!has_run) {
    call->refused_by.push_back(call->view_index);
  }
  call->may_have_run = call->may_have_run || has_run;
  if ((!has_run || info.spec->is_repeatable) && this->ConsumeRepeat(call)) {
    this->Attempt(call);
    return;
  }
  this->Finish(call,
               CallResult{false, call->may_have_run ? ErrorKind::kTargetTimeout
                                                    : ErrorKind::kOverloaded});
}

bool RelayPath::ConsumeRepeat(const OutgoingCallPointer& call) {
  const OperationInfo& info = this->simulation.operations[call->spec.operation];
  const bool has_target =
      call->tried.size() < kMaxTargetsPerCall || !call->refused_by.empty();
  if (call->attempts >= this->simulation.scenario.relay_rules.max_sends ||
      !has_target ||
      call->deadline_ms - this->simulation.clock.Now() < kMinTimeToRepeatMs) {
    return false;
  }
  control::RepeatRules rules = this->EffectiveRepeatRules();
  rules.usable_share /= static_cast<double>(info.chain_size);
  const RootRequest& root = *call->spec.root;
  control::RepeatCandidate want;
  want.priority = static_cast<std::uint32_t>(root.criticality);
  want.calls_per_root = static_cast<double>(
      this->simulation.operations[root.operation].chain_size);
  want.answered_calls =
      control::RunsAt(ServiceKey(info.service), root.runs_by_service);
  want.root_hash = root.hash;
  const double priority = control::RepeatRank(want);
  return control::TakeRepeat(rules, priority,
                             this->simulation.clock.NowMillis(),
                             this->allowances[info.service]);
}

void RelayPath::Finish(const OutgoingCallPointer& call,
                       const CallResult& result) {
  if (call->is_over) {
    return;
  }
  call->is_over = true;
  const RootRequest& root = *call->spec.root;
  if (call->spec.parent == nullptr) {
    control::RecordChain(this->RouteKey(root), root.runs_by_service,
                         this->admission.chains);
  }
  call->done(result);
}

void RelayPath::TimeOut(const OutgoingCallPointer& call) {
  if (call->is_over) {
    return;
  }
  this->Cancel(call);
  call->done(CallResult{false, ErrorKind::kTargetTimeout});
}

/// Ends a call. Work of at-most-once operations still runs to its end.
void RelayPath::Cancel(const OutgoingCallPointer& call) {
  if (call->is_over) {
    return;
  }
  call->is_over = true;
  const OperationInfo& info = this->simulation.operations[call->spec.operation];
  if (call->work != nullptr && !call->work->is_over &&
      call->node_incarnation == this->nodes[call->target]->incarnation &&
      info.spec->is_repeatable) {
    this->simulation.CancelWork(call->work);
    --this->nodes[call->target]->running;
    this->DispatchQueued(call->target);
  }
}

/// Exchanges states between nodes and recomputes the admission shares.
void RelayPath::Tick() {
  const Millis now = this->simulation.clock.NowMillis();
  std::vector<control::ServiceCapacity> services(
      this->simulation.instances_by_service.size());
  for (std::size_t service = 0; service < services.size(); ++service) {
    services[service].service =
        this->simulation.scenario.services[service].name;
    services[service].key = ServiceKey(service);
    const std::vector<std::size_t>& targets =
        this->simulation.instances_by_service[service];
    for (std::size_t i = 0; i < targets.size(); ++i) {
      Node& node = *this->nodes[targets[i]];
      control::UpdateDemand(now, node.meter);
      const bool is_lost =
          this->simulation.HasFault(FaultKind::kLost, targets[i]);
      if (is_lost) {
        // A new node process starts when the host is back.
        ++node.incarnation;
        node.running = 0;
        node.queue.clear();
        node.meter = control::DemandMeter();
      }
      control::TargetCapacity target;
      target.slots = is_lost ? 0 : this->SlotsOf(targets[i]);
      target.waiting = static_cast<std::uint32_t>(node.queue.size());
      target.work_ms = control::MeanWorkMs(node.meter);
      target.demand = control::DemandOf(node.meter);
      for (const std::unique_ptr<Node>& entry : this->nodes) {
        control::PlacementTarget& view = entry->views[service][i];
        view.is_open = !is_lost;
        view.reported_load = node.running + target.waiting;
        view.sent_since = 0;
        view.work_ms = target.work_ms;
      }
      services[service].targets.push_back(std::move(target));
      this->DispatchQueued(targets[i]);
    }
  }
  control::UpdateRootRates(now, this->admission);
  std::map<std::uint32_t, control::RootTotals> roots;
  for (const control::RootRate& rate :
       control::LocalRootRates(this->admission)) {
    control::AddRootRate(rate, roots);
  }
  control::UpdateShares(this->simulation.scenario.relay_rules.admission,
                        services, roots, this->admission);
  this->simulation.clock.Schedule(kTickMs, [this]() { this->Tick(); });
}

}  // namespace almondlink::model
