#include "almondlink/relay/relay_node.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "almondlink/base/event_log.h"

namespace almondlink::relay {

namespace {

/// Time-outs are looked for this often; the shortest that matters is ten times
/// as long.
constexpr std::chrono::milliseconds kTick{50};
/// Ticks between two looks at peers and admission, and at idle connections.
constexpr std::uint32_t kPeerTicks = 2;
constexpr std::uint32_t kIdleTicks = 10;
/// Longest wait for another node to confirm that it knows of a leave.
constexpr Millis kConfirmWait{300};
/// After the stop signal callers still arrive until two of their once-a-second
/// checks have failed; the target goes on serving for most of that time.
constexpr Millis kCallersLeave{2600};
constexpr Millis kTargetServes{1800};
/// A change of the part of its target's answers that are failures is told at
/// once: others send it a third of their load by mistake until they know.
constexpr double kToldErrors = 0.3;
/// Time before the end that is forced in which open calls get an answer.
constexpr Millis kLastAnswers{400};

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
             this->ServedHooks()),
      peers(loop_in,
            this->settings,
            static_cast<std::uint64_t>(WallNow().count),
            this->PeerHooks()),
      entry(this->settings, this->peers, this->served),
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
  this->served.SetUsablePart(this->settings.decisions.usable_slots);
  this->entry.Quarantine().OnProof(this->hooks.on_guilty,
                                   this->hooks.on_cleared);
}

RelayNode::~RelayNode() = default;

PeerEvents RelayNode::PeerHooks() {
  PeerEvents events;
  events.on_answer = [this](const PeerPointer& peer, const RawFrame& frame) {
    return this->OnAnswerFrame(peer, frame);
  };
  events.on_call = [this](const PeerLinkPointer& link, const RawFrame& frame) {
    return this->OnCallFrame(link, frame);
  };
  events.on_accepted_closed = [this](LinkId link) {
    this->clock_offsets.erase(link);
    this->served.OnLinkClosed(link);
  };
  events.on_lost = [this](const PeerPointer& peer) {
    this->entry.OnLinkLost(peer);
  };
  events.on_suspect = [this](const PeerPointer& peer) {
    this->entry.OnSuspect(peer);
  };
  events.on_state = [this](const PeerPointer& peer, bool is_first) {
    if (is_first) {
      this->OnState(peer);
    }
  };
  events.on_policy = [this](const std::string& text) {
    this->TakePolicy(this->hooks.parse(text), text, "peer");
  };
  events.on_remembered = [this](const InstanceRecord& record) {
    if (record.state == InstanceState::kDraining &&
        this->served.Remember({record.instance, record.born}) ==
            control::ReportEffect::kChanged) {
      this->LogInstance();
      this->peers.TellNow();
    }
  };
  events.on_seen = [this](const ReportNumber& report) {
    this->RunAcks(BootTimeNow(), report);
  };
  events.on_memory = [this](const std::vector<ServiceRepeats>& told) {
    this->entry.RestoreRepeatCounts(told);
  };
  events.on_incarnation = [this](std::uint64_t incarnation) {
    LogEvent(kEventRenumbered, {{"incarnation", std::to_string(incarnation)}});
    this->hooks.on_incarnation(incarnation);
  };
  events.make_state = [this]() { return this->MakeState(); };
  events.policy_text = [this]() -> const std::string& {
    return this->policy_text;
  };
  return events;
}

ServedEvents RelayNode::ServedHooks() {
  ServedEvents events;
  events.on_answer = [this](LinkId link, const AnswerFrame& frame) {
    if (link == kOwnNode) {
      this->entry.OnAnswer(this->peers.SelfPeer(), frame);
      return;
    }
    if (const PeerLinkPointer open = this->peers.Accepted(link)) {
      Append(frame, open->Out());
      open->FlushSoon();
    }
  };
  events.on_part = [this](LinkId link, const DataFrame& frame) {
    if (link == kOwnNode) {
      this->entry.OnPart(this->peers.SelfPeer(), frame);
      return;
    }
    if (const PeerLinkPointer open = this->peers.Accepted(link)) {
      Append(frame, open->Out());
      open->FlushSoon();
    }
  };
  events.on_failed = [this](const std::string& request_id, CallReason reason,
                            bool was_sent, Millis waited) {
    if (!WouldLog(kEventTargetCallFailed)) {
      return;
    }
    LogEvent(kEventTargetCallFailed,
             {{"request", request_id},
              {"instance", this->served.Ledger().current.start.id},
              {"reason", ToString(reason)},
              {"sent", was_sent ? "yes" : "no"},
              {"after_ms", std::to_string(waited.count)},
              {"running", std::to_string(this->served.Running())},
              {"waiting", std::to_string(this->served.Waiting())}});
  };
  events.on_target_ended = [this](const control::InstanceStart& start,
                                  std::size_t running) {
    LogEvent(kEventTargetEnded,
             {{"instance", start.id},
              {"born", std::to_string(start.born)},
              {"service", this->served.Ledger().current.service},
              {"running", std::to_string(running)},
              {"waiting", std::to_string(this->served.Waiting())}});
    this->peers.TellNow();
  };
  return events;
}

Result<void> RelayNode::Start() {
  BOOST_LEAF_CHECK(this->callers.Listen(this->settings.caller_address));
  BOOST_LEAF_CHECK(this->peers.Listen());
  this->peers.TellNow();
  this->ScheduleTick();
  return {};
}

StateFrame RelayNode::MakeState() {
  StateFrame state;
  const control::InstanceLedger& ledger = this->served.Ledger();
  state.policy_version = this->PolicyVersion();
  state.is_stopping = this->is_leaving_told;
  state.zone = this->settings.zone.Value();
  state.service = ledger.current.service;
  state.instance = ledger.current.start.id;
  state.born = ledger.current.start.born;
  state.sequence = ledger.current.sequence;
  switch (this->served.IsGone() ? control::InstancePhase::kNone
                                : ledger.phase) {
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
  state.slots = control::UsableSlots(ledger);
  state.running = this->served.Running();
  state.waiting = this->served.Waiting();
  state.work_ms = control::MeanWorkMs(this->served.Meter());
  state.demand = control::DemandOf(this->served.Meter());
  state.calls_per_run = this->served.CallsPerRun();
  state.roots = control::OwnRates(this->entry.Admission());
  state.repeats = this->entry.OwnRepeatCounts(BootTimeNow());
  state.has_source = this->has_source && !this->is_stopping;
  state.erring = this->served.Erring();
  return state;
}

void RelayNode::SetHasSource(bool has_source_in) {
  if (this->has_source != has_source_in) {
    this->has_source = has_source_in;
    this->peers.TellNow();
  }
}

void RelayNode::TakePolicy(policy::RouteTablePointer table,
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
  this->policy_taken = BootTimeNow();
  this->callers.SetLimits(table->limits);
  this->entry.SetTable(std::move(table));
  this->policy_text = text;
  this->peers.TellNow();
}

std::uint64_t RelayNode::PolicyVersion() const {
  return this->entry.Table() == nullptr ? 0 : this->entry.Table()->version;
}

bool RelayNode::IsReady() const {
  return !this->is_stopping && this->entry.Table() != nullptr;
}

void RelayNode::LogInstance() const {
  const control::InstanceLedger& ledger = this->served.Ledger();
  LogEvent(
      kEventInstance,
      {{"instance", ledger.current.start.id},
       {"born", std::to_string(ledger.current.start.born)},
       {"service", ledger.current.service},
       {"state",
        ledger.phase == control::InstancePhase::kReady ? "ready" : "leaving"},
       {"capacity", std::to_string(ledger.current.capacity)},
       {"sequence", std::to_string(ledger.current.sequence)}});
}

Result<void> RelayNode::OnReport(const control::InstanceReport& report,
                                 std::function<void()> acknowledge) {
  const policy::RouteTablePointer& table = this->entry.Table();
  const bool is_unnamed = table != nullptr && !table->connections.empty() &&
                          table->connections.count(report.service) == 0;
  if (is_unnamed) {
    return Fail(ErrorKind::kBadMessage,
                "service: " + report.service + " is not in the policy");
  }
  const control::ReportEffect effect = this->served.OnReport(report);
  if (effect == control::ReportEffect::kRefused) {
    return Fail(ErrorKind::kBadMessage,
                "service: a start of an instance does not change it");
  }
  if (effect == control::ReportEffect::kChanged) {
    this->LogInstance();
    this->peers.TellNow();
  }
  if (report.is_leaving) {
    this->AcknowledgeLeave(std::move(acknowledge));
    return {};
  }
  acknowledge();
  return {};
}

void RelayNode::OnLeave(const control::InstanceStart& start,
                        std::function<void()> acknowledge) {
  if (this->served.OnLeave(start) == control::ReportEffect::kChanged) {
    this->LogInstance();
    this->peers.TellNow();
  }
  this->AcknowledgeLeave(std::move(acknowledge));
}

void RelayNode::AcknowledgeLeave(std::function<void()> acknowledge) {
  PendingAck pending;
  const control::InstanceReport& current = this->served.Ledger().current;
  pending.report = {current.start.born, current.sequence};
  pending.until = BootTimeNow() + kConfirmWait;
  pending.acknowledge = std::move(acknowledge);
  this->pending_acks.push_back(std::move(pending));
  this->peers.TellNow();
}

void RelayNode::RunAcks(Millis now, const std::optional<ReportNumber>& seen) {
  std::vector<PendingAck> open;
  open.swap(this->pending_acks);
  for (PendingAck& pending : open) {
    // A node that does not tell the start means the current one.
    const bool is_seen = seen.has_value() &&
                         pending.report.sequence <= seen->sequence &&
                         (seen->born == 0 || seen->born == pending.report.born);
    if (is_seen || now >= pending.until) {
      pending.acknowledge();
    } else {
      this->pending_acks.push_back(std::move(pending));
    }
  }
}

void RelayNode::OnState(const PeerPointer& peer) {
  this->entry.Quarantine().OnPeer(peer);
  LogEvent(kEventPeerSeen,
           {{"peer", peer->node.name},
            {"service", peer->told.service},
            {"instance", peer->told.instance},
            {"version", std::to_string(peer->told.policy_version)}});
}

void RelayNode::Reload(const RelaySettings& changed) {
  this->settings.service = changed.service;
  this->settings.target_address = changed.target_address;
  this->settings.repeats = changed.repeats;
  this->settings.quotas = changed.quotas;
  this->settings.revoke_after = changed.revoke_after;
  this->settings.decisions = changed.decisions;
  this->served.SetUsablePart(changed.decisions.usable_slots);
  this->served.SetTargetAddress(changed.target_address);
}

void RelayNode::ScheduleTick() {
  this->tick_timer.expires_after(kTick);
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
  this->RunAcks(now, std::nullopt);
  const double erring = this->peers.SelfPeer()->told.erring;
  if (std::abs(this->served.Erring() - erring) > kToldErrors) {
    this->peers.TellNow();
  }
  if (this->ticks % kPeerTicks == 0) {
    this->peers.Tick(now);
    this->entry.UpdateAdmission(now);
    this->entry.Quotas().Tick(now);
    this->entry.Quarantine().Tick(now);
    this->NoteSlotTime();
    FlushLog();
  }
  if (this->ticks % kIdleTicks == 0) {
    this->callers.Sweep(now);
  }
  if (this->is_stopping) {
    this->ContinueStop(now);
  }
}

void RelayNode::NoteSlotTime() {
  constexpr double kSeconds = 0.001 * kTick.count() * kPeerTicks;
  const control::InstanceLedger& ledger = this->served.Ledger();
  if (this->entry.IsBottleneck(ledger.current.service)) {
    this->short_there_s += kSeconds * control::UsableSlots(ledger);
    this->short_used_s += kSeconds * this->served.Running();
  }
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
  // Others read the source of the policy in its place from now on.
  this->peers.TellNow();
}

void RelayNode::ContinueStop(Millis now) {
  const Millis since = now - this->stop_started;
  if (!this->is_leaving_told && since >= kTargetServes) {
    this->is_leaving_told = true;
    this->peers.TellNow();
  }
  if (since >= kCallersLeave) {
    this->callers.CloseIdle();
  }
  const bool is_idle = this->entry.OpenCalls() == 0 &&
                       this->callers.BusyConnectionCount() == 0 &&
                       this->served.Running() + this->served.Waiting() == 0;
  const bool is_forced = since >= this->settings.grace - kLastAnswers;
  if ((since >= kCallersLeave && is_idle) || is_forced) {
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
