#include "almondlink/relay/relay_node.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "almondlink/base/event_log.h"

namespace almondlink::relay {

namespace {

/// Interval of timeout checks; the shortest relevant timeout is ten times as
/// long.
constexpr std::chrono::milliseconds kTickInterval{50};
/// Ticks between updates of peers and admission, and between checks of idle
/// caller connections.
constexpr std::uint32_t kPeerTicks = 2;
constexpr std::uint32_t kIdleTicks = 10;
/// Callers keep connecting after the stop signal until two of their health
/// checks, one a second, have failed. The target keeps serving for most of that
/// time; then the stop is announced to other nodes.
constexpr Millis kCallerDrainTime{2600};
constexpr Millis kStopAnnounceDelay{1800};
/// A change of the target's error rate by more than this is reported at once:
/// other nodes direct up to a third of their load to a failing target until
/// they know.
constexpr double kMinReportedErrorChange = 0.3;
/// Error rate up to which a target counts as sound again.
constexpr double kRecoveredErrorRate = 0.05;
/// The node has settled after its start when no further node became known or
/// reachable for `kSettleTime`, and in any case after `kMaxSettleTime`.
constexpr Millis kSettleTime{300};
constexpr Millis kMaxSettleTime{3000};
/// Time before the forced end in which open calls are answered.
constexpr Millis kFinalAnswerTime{400};

}  // namespace

RelayNode::RelayNode(boost::asio::io_context& loop_in,
                     RelaySettings settings_in,
                     RelayHooks hooks_in)
    : loop(loop_in),
      settings(std::move(settings_in)),
      hooks(std::move(hooks_in)),
      served(loop_in,
             this->settings.names,
             this->settings.drain,
             this->MakeServedEvents()),
      peers(loop_in,
            this->settings,
            static_cast<std::uint64_t>(WallNow().count),
            this->MakePeerEvents()),
      loads(this->settings, this->peers),
      decisions(this->settings, this->peers),
      entry(this->settings,
            this->peers,
            this->served,
            this->loads,
            this->decisions),
      callers(loop_in,
              this->settings.names,
              [this](RequestHead head,
                     std::string body,
                     const CallerExchangePointer& exchange) {
                this->entry.OnRequest(std::move(head), std::move(body),
                                      exchange);
              }),
      tick_timer(loop_in) {
  this->served.SetTargetAddress(this->settings.target_address);
  this->served.SetTargetRules(this->MakeTargetRules());
  this->entry.Quarantine().SetConfirmationHandlers(this->hooks.on_confirmed,
                                                   this->hooks.on_cleared);
}

RelayNode::~RelayNode() = default;

PeerEvents RelayNode::MakePeerEvents() {
  PeerEvents events;
  events.on_dialled_frame = [this](const PeerPointer& peer,
                                   const RawFrame& frame) {
    return this->OnAnswerFrame(peer, frame);
  };
  events.on_accepted_frame = [this](const PeerLinkPointer& link,
                                    const RawFrame& frame) {
    return this->OnCallFrame(link, frame);
  };
  events.on_accepted_closed = [this](LinkId link) {
    this->min_clock_offsets.erase(link);
    this->leaves_confirmed.erase(link);
    this->loads.OnAcceptedClosed(link);
    this->decisions.OnAcceptedClosed(link);
    this->served.OnLinkClosed(link);
  };
  events.on_link_lost = [this](const PeerPointer& peer) {
    this->loads.OnLinkLost(peer);
    this->decisions.OnLinkLost(peer);
    this->entry.OnLinkLost(peer);
  };
  events.on_suspect = [this](const PeerPointer& peer) {
    this->loads.OnSuspect(peer);
    this->entry.OnSuspect(peer);
  };
  events.on_state = [this](const PeerPointer& peer, bool is_first) {
    if (is_first) {
      this->OnPeerConnected(peer);
    }
  };
  events.on_policy = [this](const std::string& text) {
    this->ApplyPolicy(this->hooks.parse_policy(text), text, "peer");
  };
  events.on_remembered_instance = [this](const InstanceRecord& record) {
    if (record.state == InstanceState::kDraining) {
      this->RestoreLeave({record.instance, record.started_at}, "peer");
    }
  };
  events.on_remembered_limit =
      [this](const control::InstanceIncarnation& incarnation, double per_s) {
        this->served.RestoreLimit(incarnation, per_s);
      };
  events.on_earlier_state_told = [this](const std::string& node) {
    this->told_records.insert(node);
  };
  events.on_leaves_confirmed = [this](LinkId link, const std::string& node,
                                      std::uint64_t revision) {
    this->leaves_confirmed[link] = {node, revision};
    this->RunPendingAcks(BootTimeNow());
  };
  events.on_previous_repeats =
      [this](const std::vector<ServiceRepeats>& repeats) {
        this->entry.RestoreRepeatCounts(repeats);
      };
  events.on_incarnation_changed = [this](std::uint64_t incarnation) {
    LogEvent(kEventRenumbered, {{"incarnation", std::to_string(incarnation)}});
    this->hooks.on_incarnation_changed(incarnation);
  };
  events.make_state = [this]() { return this->MakeState(); };
  events.make_leaves = [this]() { return this->MakeLeaves(); };
  events.policy_text = [this]() -> const std::string& {
    return this->policy_text;
  };
  return events;
}

Result<void> RelayNode::Start() {
  BOOST_LEAF_CHECK(this->callers.Listen(this->settings.caller_address));
  BOOST_LEAF_CHECK(this->peers.Listen());
  this->peers.AnnounceState();
  this->started_at = BootTimeNow();
  this->leave_memory.started_at = this->started_at;
  this->ScheduleTick();
  return {};
}

StateFrame RelayNode::MakeState() {
  StateFrame state;
  const control::InstanceTracker& tracker = this->served.Ledger();
  state.policy_version = this->PolicyVersion();
  state.is_stopping = this->is_stop_announced;
  state.zone = this->settings.zone.Value();
  state.service = tracker.current.service;
  state.instance = tracker.current.incarnation.id;
  state.started_at = tracker.current.incarnation.started_at;
  state.sequence = tracker.current.sequence;
  switch (this->served.IsTargetGone() ? control::InstancePhase::kNone
                                      : tracker.phase) {
    case control::InstancePhase::kNone:
      state.state = InstanceState::kNone;
      break;
    case control::InstancePhase::kReady:
      state.state = InstanceState::kReady;
      break;
    case control::InstancePhase::kLeaving:
      state.state = InstanceState::kDraining;
      break;
  }
  state.slots = control::UsableSlots(tracker);
  state.running = this->served.Running();
  state.waiting = this->served.Waiting();
  state.work_ms = control::MeanWorkMs(this->served.Meter());
  state.demand = control::DemandOf(this->served.Meter());
  state.calls_per_run = this->served.CallsPerRun();
  state.roots = control::LocalRootRates(this->entry.Admission());
  state.repeats = this->entry.OwnRepeatCounts(BootTimeNow());
  state.has_source = this->has_source && !this->is_stopping;
  state.error_rate = this->served.ErrorRate();
  state.is_load_summed = this->loads.IsSummed();
  state.limit_per_s = this->served.Limit().reported_per_s;
  state.speed = this->served.Speed(BootTimeNow());
  return state;
}

/// Where routes exchange capacity, calls of a less urgent route are admitted on
/// purpose, and by priority they would wait until their requests fail.
/// Elsewhere the most urgent calls go first.
void RelayNode::UpdateQueueOrder() {
  const DecisionRules& rules = this->settings.decisions;
  const std::string& service = this->served.Ledger().current.service;
  this->served.SetQueueOrder(
      rules.queues_by_due &&
      (rules.always_queues_by_due || this->entry.HasExchange(service)));
}

control::DecisionSums RelayNode::MakeDecisions() {
  control::DecisionSums own;
  own.nodes = 1;
  this->served.AddDecisions(own);
  this->entry.AddDecisions(BootTimeNow(), own);
  return own;
}

void RelayNode::SetHasSource(bool has_source_in) {
  if (this->has_source != has_source_in) {
    this->has_source = has_source_in;
    this->peers.AnnounceState();
  }
}

void RelayNode::ApplyPolicy(policy::RouteTablePointer table,
                            const std::string& text,
                            const char* source) {
  if (table == nullptr || table->version <= this->PolicyVersion()) {
    return;
  }
  LogEvent(kEventPolicyTaken,
           {{"version", std::to_string(table->version)},
            {"before", std::to_string(this->PolicyVersion())},
            {"routes", std::to_string(table->routes.size())},
            {"accounts", std::to_string(table->accounts.Size())},
            {"source", source}});
  this->policy_applied_at = BootTimeNow();
  this->callers.SetLimits(table->limits);
  this->entry.SetTable(std::move(table));
  this->policy_text = text;
  this->peers.AnnounceState();
}

std::uint64_t RelayNode::PolicyVersion() const {
  return this->entry.Table() == nullptr ? 0 : this->entry.Table()->version;
}

bool RelayNode::IsReady() const {
  return !this->is_stopping && this->entry.Table() != nullptr;
}

void RelayNode::OnPeerConnected(const PeerPointer& peer) {
  this->entry.Quarantine().OnPeerConnected(peer);
  LogEvent(kEventPeerSeen,
           {{"peer", peer->node.name},
            {"service", peer->reported.service},
            {"instance", peer->reported.instance},
            {"version", std::to_string(peer->reported.policy_version)}});
}

void RelayNode::Reload(const RelaySettings& changed) {
  this->settings.service = changed.service;
  this->settings.target_address = changed.target_address;
  this->settings.repeats = changed.repeats;
  this->settings.quotas = changed.quotas;
  this->settings.revoke_after = changed.revoke_after;
  this->settings.decisions = changed.decisions;
  this->served.SetTargetRules(this->MakeTargetRules());
  this->served.SetTargetAddress(changed.target_address);
}

void RelayNode::ScheduleTick() {
  this->tick_timer.expires_after(kTickInterval);
  this->tick_timer.async_wait([this](boost::system::error_code error) {
    if (!error && !this->is_stopped) {
      this->Tick();
      this->ScheduleTick();
    }
  });
}

void RelayNode::Tick() {
  const Millis now = BootTimeNow();
  ++this->ticks;
  this->entry.Sweep(now);
  this->served.Sweep(now);
  this->MoveWaiting(now);
  this->LogQueue(now);
  this->UpdateLeaves(now);
  this->AnnounceErrorRate();
  if (this->ticks % kPeerTicks == 0) {
    this->served.SetServiceMeans(now, this->ServiceMeans(now));
    this->UpdateSettled(now);
    this->peers.Tick(now);
    if (this->loads.Tick(now, this->MakeState())) {
      this->peers.AnnounceState();
    }
    // Ahead of the decisions: the levels of accounts depend on who lends.
    this->entry.Quotas().Tick(now);
    this->decisions.Tick(now, [this]() { return this->MakeDecisions(); });
    this->entry.UpdateAdmission(now);
    this->UpdateQueueOrder();
    this->entry.Quarantine().Tick(now);
    this->AddSlotTime();
    FlushLog();
  }
  if (this->ticks % kIdleTicks == 0) {
    this->callers.Sweep(now);
  }
  if (this->is_stopping) {
    this->ContinueStop(now);
  }
}

/// Reports a large change of the target's error rate. If the load is summed,
/// other nodes learn of small rates with answers only, so the end of a failure
/// is reported too.
void RelayNode::AnnounceErrorRate() {
  const double current = this->served.ErrorRate();
  const double announced = this->peers.AnnouncedErrorRate();
  const bool has_recovered = this->loads.IsSummed() &&
                             announced > kRecoveredErrorRate &&
                             current <= kRecoveredErrorRate;
  if (std::abs(current - announced) > kMinReportedErrorChange ||
      has_recovered) {
    this->peers.AnnounceLoad();
  }
}

void RelayNode::AddSlotTime() {
  constexpr double kSeconds = 0.001 * kTickInterval.count() * kPeerTicks;
  const control::InstanceTracker& tracker = this->served.Ledger();
  if (this->entry.IsBottleneck(tracker.current.service)) {
    this->short_available_s += kSeconds * control::UsableSlots(tracker);
    this->short_used_s += kSeconds * this->served.Running();
  }
}

void RelayNode::UpdateSettled(Millis now) {
  if (this->is_settled) {
    return;
  }
  const std::uint32_t reachable = this->peers.CountReachable();
  const std::size_t known = this->peers.All().size();
  if (reachable > this->reachable_nodes || known > this->known_nodes) {
    this->reachable_nodes = reachable;
    this->known_nodes = known;
    this->nodes_changed_at = now;
  }
  // A node that knows no other one has most likely not been told yet.
  const bool is_calm = known > 1 && now - this->nodes_changed_at >= kSettleTime;
  this->is_settled = is_calm || now - this->started_at >= kMaxSettleTime;
}

void RelayNode::Stop() {
  if (this->is_stopping) {
    return;
  }
  this->is_stopping = true;
  this->stop_started = BootTimeNow();
  LogEvent(kEventStopping,
           {{"open_requests", std::to_string(this->entry.OpenCalls())},
            {"running", std::to_string(this->served.Running())}});
  this->callers.StartClosing();
  // Other nodes poll the policy source in its place from now on.
  this->peers.AnnounceState();
}

void RelayNode::ContinueStop(Millis now) {
  const Millis since = now - this->stop_started;
  if (!this->is_stop_announced && since >= kStopAnnounceDelay) {
    this->is_stop_announced = true;
    this->peers.AnnounceState();
  }
  if (since >= kCallerDrainTime) {
    this->entry.StopTakingRequests();
    this->callers.Stop();
  }
  const bool is_idle = this->entry.OpenCalls() == 0 &&
                       this->callers.BusyConnectionCount() == 0 &&
                       this->served.Running() + this->served.Waiting() == 0;
  const bool is_forced = since >= this->settings.grace - kFinalAnswerTime;
  if ((since >= kCallerDrainTime && is_idle) || is_forced) {
    if (!is_idle) {
      LogEvent(kEventDrainForced,
               {{"open_requests", std::to_string(this->entry.OpenCalls())},
                {"running", std::to_string(this->served.Running())}});
    }
    this->entry.EndAll();
    this->is_stopped = true;
    this->peers.Close();
    this->hooks.on_stopped();
  }
}

}  // namespace almondlink::relay
