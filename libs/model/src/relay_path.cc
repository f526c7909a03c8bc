#include "relay_path.h"

#include <algorithm>
#include <utility>

namespace almondlink::model {

namespace {

/// Period of the daemon's round of states and of its admission.
constexpr double kTickMs = 100;
/// Silence with calls out after which the daemon tries elsewhere.
constexpr double kSuspectMs = 700;
/// A link that is found silent is replaced after so long.
constexpr double kReplacedMs = 2200;
/// Instances that one request may be sent to; the users' usual figure.
constexpr std::size_t kAttempts = 2;
/// A root may wait this part of its time for a slot. The daemon takes a half of
/// its latency target, which is a quarter to a third of the time.
constexpr double kRootWaitPart = 0.15;
/// Time left below which nothing is sent once more.
constexpr double kLeastLeftMs = 30;
/// What repeats may take: the users' ratio, with the fixed part of one service.
constexpr double kRepeatRatio = 0.2;
constexpr double kRepeatFixed = 47;

/// 0 means none.
std::uint32_t KeyOf(std::size_t service) {
  return static_cast<std::uint32_t>(service) + 1;
}

}  // namespace

/// One call on its way.
struct RelayPath::OutCall {
  CallSpec spec;
  CallDone done;
  double deadline_ms = 0;
  double wait_until_ms = 0;
  std::vector<std::size_t> tried;
  /// Those of them that refused it without running.
  std::vector<std::size_t> refused_by;
  int attempts = 0;
  bool may_have_run = false;
  bool is_over = false;
  // The attempt that is out; earlier ones are ignored.
  int attempt = 0;
  std::size_t place = 0;
  std::size_t target = 0;
  bool is_waiting = false;
  WorkPointer work;
  std::uint32_t life = 0;
  std::uint64_t arrival = 0;
  double dispatched_ms = 0;
};

struct RelayPath::Node {
  /// By priority, deeper calls first, then in order of arrival.
  using Order = std::tuple<int, int, std::uint64_t>;
  // As the node beside a target.
  std::map<Order, OutCallPointer> queue;
  std::uint32_t running = 0;
  /// Counts the losses of its host: what ran before one never ends.
  std::uint32_t life = 0;
  control::DemandMeter meter;
  // As entry node: what is known of the targets of each service.
  std::vector<std::vector<control::PlacementTarget>> views;
};

struct RelayPath::Handle : CallHandle {
  Handle(RelayPath& path, OutCallPointer call)
      : path(path), call(std::move(call)) {}
  void Cancel() override { this->path.Cancel(this->call); }
  RelayPath& path;
  const OutCallPointer call;
};

RelayPath::RelayPath(World& world)
    : world(world), allowances(world.by_service.size()) {
  for (const Instance& instance : world.instances) {
    auto node = std::make_unique<Node>();
    for (const std::vector<std::size_t>& targets : world.by_service) {
      std::vector<control::PlacementTarget> views(targets.size());
      for (std::size_t i = 0; i < targets.size(); ++i) {
        views[i].is_own_zone =
            world.instances[targets[i]].zone == instance.zone;
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

control::RepeatRules RelayPath::Repeats() const {
  control::RepeatRules rules = this->world.scenario.rules.repeats;
  rules.ratio = kRepeatRatio;
  rules.fixed = kRepeatFixed;
  return rules;
}

std::uint32_t RelayPath::SlotsOf(std::size_t target) const {
  const std::size_t service = this->world.instances[target].service;
  return static_cast<std::uint32_t>(
      this->world.scenario.services[service].slots);
}

std::uint32_t RelayPath::RouteOf(const RootRequest& root) const {
  // 0 means none.
  return static_cast<std::uint32_t>(root.operation) + 1;
}

CallHandlePointer RelayPath::Call(const CallSpec& spec, CallDone done) {
  const OutCallPointer call = std::make_shared<OutCall>();
  call->spec = spec;
  call->done = std::move(done);
  const OperationInfo& info = this->world.operations[spec.operation];
  const double now = this->world.clock.Now();
  const auto timeout = static_cast<double>(info.spec->timeout.count);
  call->deadline_ms = std::min(now + timeout, spec.deadline_ms);
  const bool is_root = spec.parent == nullptr;
  call->wait_until_ms =
      is_root ? now + kRootWaitPart * timeout : call->deadline_ms;
  if (is_root && !this->AdmitRoot(call)) {
    return std::make_shared<Handle>(*this, call);
  }
  this->world.clock.After(call->deadline_ms - now,
                          [this, call]() { this->TimeOut(call); });
  this->Attempt(call);
  return std::make_shared<Handle>(*this, call);
}

bool RelayPath::AdmitRoot(const OutCallPointer& call) {
  RootRequest& root = *call->spec.root;
  root.ran = control::CallCounts();
  if (control::TryAdmitRoot(this->RouteOf(root),
                            static_cast<std::uint32_t>(root.criticality),
                            this->world.Draw(), this->admission)) {
    return true;
  }
  this->Finish(call, CallResult{false, ErrorKind::kOverloaded});
  return false;
}

void RelayPath::Attempt(const OutCallPointer& call) {
  const OperationInfo& info = this->world.operations[call->spec.operation];
  Node& node = *this->nodes[call->spec.entry];
  std::vector<control::PlacementTarget>& views = node.views[info.service];
  const bool is_again = call->tried.size() >= kAttempts;
  const std::vector<std::size_t>& named =
      is_again ? call->refused_by : call->tried;
  for (std::size_t i = 0; i < views.size(); ++i) {
    const bool is_named =
        std::find(named.begin(), named.end(), i) != named.end();
    views[i].is_tried = is_named != is_again;
  }
  const control::PlacementDraws draws{this->world.Draw(), this->world.Draw(),
                                      this->world.Draw(), this->world.Draw()};
  const std::optional<std::size_t> place = control::ChoosePlacementTarget(
      this->world.scenario.rules.placement, views,
      this->world.clock.NowMillis(), draws);
  if (!place.has_value()) {
    this->Finish(
        call, CallResult{false, call->may_have_run ? ErrorKind::kTargetTimeout
                                                   : ErrorKind::kOverloaded});
    return;
  }
  call->place = *place;
  call->target = this->world.by_service[info.service][*place];
  call->tried.push_back(*place);
  ++views[*place].sent_since;
  control::RecordSent(this->world.clock.NowMillis(), views[*place].health);
  ++call->spec.root->calls;
  control::RepeatAllowance& allowance = this->allowances[info.service];
  if (call->attempts == 0) {
    control::RecordRequest(this->Repeats(), this->world.clock.NowMillis(),
                           allowance);
  }
  const int attempt = ++call->attempt;
  const bool is_silent =
      this->world.HasFault(FaultKind::kSilentLinks, call->target) &&
      this->world.clock.Now() -
              this->world.FaultStart(FaultKind::kSilentLinks, call->target) <
          kReplacedMs;
  if (is_silent || this->world.HasFault(FaultKind::kLost, call->target)) {
    this->world.clock.After(kSuspectMs, [this, call, attempt]() {
      this->OnEnd(call, attempt, AttemptEnd::kLost);
    });
    return;
  }
  const std::size_t target = call->target;
  this->world.clock.After(this->world.Latency(call->spec.entry, target),
                          [this, call, attempt, target]() {
                            if (!call->is_over && call->attempt == attempt) {
                              this->Arrive(call, target);
                            }
                          });
}

void RelayPath::Arrive(const OutCallPointer& call, std::size_t target) {
  Node& node = *this->nodes[target];
  control::RecordDemand(this->RouteOf(*call->spec.root), node.meter);
  call->arrival = ++this->arrivals;
  call->is_waiting = true;
  node.queue.emplace(Node::Order{static_cast<int>(call->spec.root->criticality),
                                 -call->spec.depth, call->arrival},
                     call);
  this->Fill(target);
}

void RelayPath::Fill(std::size_t target) {
  Node& node = *this->nodes[target];
  const double now = this->world.clock.Now();
  while (!node.queue.empty() && node.running < this->SlotsOf(target)) {
    const OutCallPointer call = node.queue.begin()->second;
    node.queue.erase(node.queue.begin());
    call->is_waiting = false;
    if (call->is_over) {
      continue;
    }
    if (now >= call->wait_until_ms) {
      this->Reply(call, call->attempt, AttemptEnd::kNoSlot);
      continue;
    }
    this->Dispatch(target, call);
  }
}

void RelayPath::Dispatch(std::size_t target, const OutCallPointer& call) {
  Node& node = *this->nodes[target];
  ++node.running;
  call->dispatched_ms = this->world.clock.Now();
  call->life = node.life;
  const int attempt = call->attempt;
  const WorkPointer work = std::make_shared<Work>();
  work->root = call->spec.root;
  work->operation = call->spec.operation;
  work->instance = target;
  work->depth = call->spec.depth;
  work->deadline_ms = call->deadline_ms;
  call->work = work;
  work->done = [this, call, attempt, target](bool is_whole) {
    Node& beside = *this->nodes[target];
    if (beside.life != call->life) {
      return;
    }
    --beside.running;
    if (call->work->was_refused) {
      control::RemoveRefusedDemand(this->RouteOf(*call->spec.root),
                                   beside.meter);
      this->Reply(call, attempt, AttemptEnd::kRefusedByTarget);
      return;
    }
    control::AddRuns({KeyOf(this->world.instances[target].service), 1},
                     call->spec.root->ran);
    const double took = this->world.clock.Now() - call->dispatched_ms;
    control::RecordWork(this->RouteOf(*call->spec.root),
                        this->world.clock.NowMillis(), LatencyMs{took},
                        beside.meter);
    this->Reply(call, attempt,
                is_whole ? AttemptEnd::kWhole : AttemptEnd::kFailed);
    this->Fill(target);
  };
  this->world.Submit(work);
}

void RelayPath::Reply(const OutCallPointer& call, int attempt, AttemptEnd end) {
  const std::size_t target = call->target;
  const std::uint32_t load =
      this->nodes[target]->running +
      static_cast<std::uint32_t>(this->nodes[target]->queue.size());
  this->world.clock.After(
      this->world.Latency(call->spec.entry, target),
      [this, call, attempt, end, load]() {
        const std::size_t service =
            this->world.operations[call->spec.operation].service;
        control::PlacementTarget& view =
            this->nodes[call->spec.entry]->views[service][call->place];
        view.reported_load = load;
        view.sent_since = 0;
        this->OnEnd(call, attempt, end);
      });
}

void RelayPath::OnEnd(const OutCallPointer& call, int attempt, AttemptEnd end) {
  if (call->is_over || call->attempt != attempt) {
    return;
  }
  const OperationInfo& info = this->world.operations[call->spec.operation];
  control::PlacementTarget& view =
      this->nodes[call->spec.entry]->views[info.service][call->place];
  const bool is_fault =
      end == AttemptEnd::kLost || end == AttemptEnd::kRefusedByTarget;
  control::RecordOutcome(this->world.scenario.rules.health,
                         this->world.clock.NowMillis(), is_fault, 0,
                         view.health);
  if (end == AttemptEnd::kWhole) {
    this->Finish(call, CallResult{true});
    return;
  }
  if (end == AttemptEnd::kNoSlot) {
    this->Finish(call, CallResult{false, ErrorKind::kOverloaded});
    return;
  }
  ++call->attempts;
  const bool has_run = end != AttemptEnd::kRefusedByTarget;
  if (!has_run) {
    call->refused_by.push_back(call->place);
  }
  call->may_have_run = call->may_have_run || has_run;
  if ((!has_run || info.spec->is_repeatable) && this->MayRepeat(call)) {
    this->Attempt(call);
    return;
  }
  this->Finish(call,
               CallResult{false, call->may_have_run ? ErrorKind::kTargetTimeout
                                                    : ErrorKind::kOverloaded});
}

bool RelayPath::MayRepeat(const OutCallPointer& call) {
  const OperationInfo& info = this->world.operations[call->spec.operation];
  const bool has_place =
      call->tried.size() < kAttempts || !call->refused_by.empty();
  if (call->attempts >= this->world.scenario.rules.sends || !has_place ||
      call->deadline_ms - this->world.clock.Now() < kLeastLeftMs) {
    return false;
  }
  control::RepeatRules rules = this->Repeats();
  rules.usable_share /= static_cast<double>(info.chain_size);
  const RootRequest& root = *call->spec.root;
  control::RepeatCandidate want;
  want.priority = static_cast<std::uint32_t>(root.criticality);
  want.calls_per_root =
      static_cast<double>(this->world.operations[root.operation].chain_size);
  want.answered_calls = control::RunsAt(KeyOf(info.service), root.ran);
  want.root_hash = root.hash;
  const double place = control::RepeatRank(want);
  return control::TakeRepeat(rules, place, this->world.clock.NowMillis(),
                             this->allowances[info.service]);
}

void RelayPath::Finish(const OutCallPointer& call, const CallResult& result) {
  if (call->is_over) {
    return;
  }
  call->is_over = true;
  const RootRequest& root = *call->spec.root;
  if (call->spec.parent == nullptr) {
    control::RecordChain(this->RouteOf(root), root.ran, this->admission.chains);
  }
  call->done(result);
}

void RelayPath::TimeOut(const OutCallPointer& call) {
  if (call->is_over) {
    return;
  }
  this->Cancel(call);
  call->done(CallResult{false, ErrorKind::kTargetTimeout});
}

/// Ends a call; work that may run once is finished all the same.
void RelayPath::Cancel(const OutCallPointer& call) {
  if (call->is_over) {
    return;
  }
  call->is_over = true;
  const OperationInfo& info = this->world.operations[call->spec.operation];
  if (call->work != nullptr && !call->work->is_over &&
      call->life == this->nodes[call->target]->life &&
      info.spec->is_repeatable) {
    this->world.CancelWork(call->work);
    --this->nodes[call->target]->running;
    this->Fill(call->target);
  }
}

/// What the nodes tell each other, and the shares worked out anew.
void RelayPath::Tick() {
  const Millis now = this->world.clock.NowMillis();
  std::vector<control::ServiceCapacity> services(this->world.by_service.size());
  for (std::size_t service = 0; service < services.size(); ++service) {
    services[service].service = this->world.scenario.services[service].name;
    services[service].key = KeyOf(service);
    const std::vector<std::size_t>& targets = this->world.by_service[service];
    for (std::size_t place = 0; place < targets.size(); ++place) {
      Node& node = *this->nodes[targets[place]];
      control::UpdateDemand(now, node.meter);
      const bool is_lost =
          this->world.HasFault(FaultKind::kLost, targets[place]);
      if (is_lost) {
        // Another process starts when the host is back.
        ++node.life;
        node.running = 0;
        node.queue.clear();
        node.meter = control::DemandMeter();
      }
      control::TargetCapacity target;
      target.slots = is_lost ? 0 : this->SlotsOf(targets[place]);
      target.waiting = static_cast<std::uint32_t>(node.queue.size());
      target.work_ms = control::MeanWorkMs(node.meter);
      target.demand = control::DemandOf(node.meter);
      for (const std::unique_ptr<Node>& entry : this->nodes) {
        control::PlacementTarget& view = entry->views[service][place];
        view.is_open = !is_lost;
        view.reported_load = node.running + target.waiting;
        view.sent_since = 0;
        view.work_ms = target.work_ms;
      }
      services[service].targets.push_back(std::move(target));
      this->Fill(targets[place]);
    }
  }
  control::UpdateRootRates(now, this->admission);
  std::map<std::uint32_t, control::RootTotals> roots;
  for (const control::RootRate& rate :
       control::LocalRootRates(this->admission)) {
    control::AddRootRate(rate, roots);
  }
  control::UpdateShares(this->world.scenario.rules.admission, services, roots,
                        this->admission);
  this->world.clock.After(kTickMs, [this]() { this->Tick(); });
}

}  // namespace almondlink::model
