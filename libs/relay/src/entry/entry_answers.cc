#include <utility>

#include "almondlink/base/event_log.h"
#include "almondlink/relay/entry_calls.h"
#include "answer_text.h"
#include "entry_call.h"

namespace almondlink::relay {

namespace {

constexpr std::uint32_t kMinErrorStatus = 400;
constexpr double kMicrosPerMilli = 1000;

}  // namespace

void EntryCalls::ForwardAnswer(const CallPointer& call,
                               const AnswerFrame& frame) {
  if (call->is_caller_gone && frame.has_more) {
    // The caller is gone, so nobody would receive the rest and the flow-control
    // window would never open again.
    this->CancelAttempt(call);
    this->Finish(call);
    return;
  }
  this->RecordBytes(*call, frame);
  const double took = PreciseNow().count - call->started.count;
  this->counts.RecordAddedLatency(
      LatencyMs{took - frame.work_us / kMicrosPerMilli});
  this->CountOutcome(*call,
                     frame.status < kMinErrorStatus
                         ? RequestOutcome::kServed
                         : RequestOutcome::kFailedByTarget,
                     CallReason::kNone);
  if (WouldLog(kEventAnswered)) {
    LogEvent(kEventAnswered,
             {{"request", call->head.id},
              {"parent", this->ParentOf(*call)},
              {"route", call->route->name},
              {"account", call->AccountName()},
              {"target", call->peer->reported.instance},
              {"status", std::to_string(frame.status)},
              {"attempts", std::to_string(call->attempts + 1)},
              {"load", std::to_string(call->load_at_choice)},
              {"slots", std::to_string(call->slots_at_choice)},
              {"told_age_ms", std::to_string(call->state_age_at_choice.count)},
              {"version", std::to_string(call->table->version)},
              {"took_ms", std::to_string(took)}});
  }
  if (!frame.has_more) {
    const CallerExchangePointer exchange = call->exchange;
    this->Finish(call);
    exchange->SendAnswer(frame.status, frame.status_text, frame.fields,
                         frame.body);
    return;
  }
  call->is_streaming = true;
  const std::weak_ptr<Call> weak = call;
  call->exchange->on_bytes_sent = [this, weak](std::size_t bytes) {
    const CallPointer open = weak.lock();
    if (open == nullptr || open->peer == nullptr) {
      return;
    }
    if (open->peer->is_self) {
      this->served.OnWindow(kLocalLink, open->id,
                            static_cast<std::uint32_t>(bytes));
    } else if (open->peer->link != nullptr) {
      Append(WindowFrame{open->id, static_cast<std::uint32_t>(bytes)},
             open->peer->link->OutputBuffer());
      open->peer->link->ScheduleFlush();
    }
  };
  call->exchange->BeginStreamedAnswer(frame.status, frame.status_text,
                                      frame.fields, frame.body);
}

void EntryCalls::OnPart(const PeerPointer& peer, const DataFrame& frame) {
  const auto found = this->calls.find(frame.id);
  if (found == this->calls.end() || found->second->peer != peer) {
    return;
  }
  const CallPointer call = found->second;
  this->RecordPartBytes(*call, frame.body.size());
  call->exchange->SendPart(frame.body);
  if (frame.is_last) {
    if (!frame.is_broken) {
      this->RecordCompletion(call);
    } else if (frame.is_target_crashed) {
      this->RecordTargetCrash(call, peer);
    }
    const CallerExchangePointer exchange = call->exchange;
    this->Finish(call);
    exchange->EndStreamedAnswer(frame.is_broken);
  }
}

void EntryCalls::FinishFailed(const CallPointer& call, CallReason reason) {
  if (call->peer != nullptr) {
    call->last_instance = call->peer->reported.instance;
  }
  this->Finish(call);
  if (call->fallback_answer.has_value()) {
    const FallbackAnswer& fallback = *call->fallback_answer;
    this->CountOutcome(*call, RequestOutcome::kFailedByTarget, reason);
    call->exchange->SendAnswer(fallback.status, fallback.status_text,
                               fallback.fields, fallback.body);
    return;
  }
  if (!call->may_have_run) {
    this->RefuseNotRun(call, reason, this->RetryAfter(*call));
    return;
  }
  const bool is_late =
      reason == CallReason::kTimeout || reason == CallReason::kDeadline;
  const std::uint32_t status =
      is_late ? kStatusGatewayTimeout : kStatusBadGateway;
  this->CountOutcome(
      *call, is_late ? RequestOutcome::kTimedOut : RequestOutcome::kUnknown,
      reason);
  LogEvent(
      kEventOutcomeUnknown,
      {{"request", call->head.id},
       {"parent", this->ParentOf(*call)},
       {"status", std::to_string(status)},
       {"reason", ToString(reason)},
       {"route", call->route->name},
       {"target", call->last_instance},
       {"attempts", std::to_string(call->attempts)},
       {"after_ms", std::to_string((BootTimeNow() - call->arrived).count)}});
  call->exchange->SendAnswer(status, StatusText(status), "", "");
}

void EntryCalls::RefuseNotRun(const CallPointer& call,
                              CallReason reason,
                              Millis wait) {
  if (call->has_token) {
    call->has_token = false;
    this->quotas.ReturnToken(*call->account, BootTimeNow());
  }
  // A refusal at entry is logged by AdmitRoot.
  const bool was_admitted = !call->is_refused_at_entry;
  this->CountOutcome(
      *call,
      was_admitted ? RequestOutcome::kNotRun : RequestOutcome::kRefusedAtEntry,
      reason);
  if (was_admitted && WouldLog(kEventNotRun)) {
    LogEvent(
        kEventNotRun,
        {{"request", call->head.id},
         {"parent", this->ParentOf(*call)},
         {"reason", call->table == nullptr ? "no-policy" : ToString(reason)},
         {"service", call->service},
         {"account", call->AccountName()},
         {"retry_after_ms", std::to_string(wait.count)}});
  }
  call->exchange->SendAnswer(kStatusUnavailable, StatusText(kStatusUnavailable),
                             RetryAfterField(wait), "");
}

void EntryCalls::CountOutcome(const Call& call,
                              RequestOutcome outcome,
                              CallReason reason) {
  if (call.is_caller_gone) {
    // The outcome was counted when the caller disconnected.
    return;
  }
  const LatencyMs took{PreciseNow().count - call.started.count};
  this->counts.CountRequest(call.route, call.is_root, outcome, reason, took);
  if (outcome == RequestOutcome::kServed) {
    this->CountReturnServed(call);
  }
  if (call.account != nullptr) {
    this->counts.CountAccountRequest(call.account->name, outcome);
  }
}

/// The runs of a root request feed the estimate of its route's call chain;
/// those of a call are added to the running request that made it.
void EntryCalls::RecordRunCounts(const Call& call) {
  if (call.run_counts.size == 0) {
    return;
  }
  if (call.is_root) {
    control::RecordChain(call.info.root_route, call.run_counts,
                         this->admission.chains);
  } else {
    this->served.AddRunCounts(this->ParentOf(call), call.run_counts);
  }
}

void EntryCalls::Finish(const CallPointer& call) {
  this->EndTrial(call, "undecided");
  this->RecordRunCounts(*call);
  Assign(call, nullptr);
  this->calls.erase(call->id);
  this->timeouts.erase({call->expires_at.count, call->id});
  call->exchange->on_disconnect = nullptr;
}

void EntryCalls::Abandon(const CallPointer& call) {
  if (call->is_on_trial) {
    this->DetachCaller(call);
    return;
  }
  this->CountOutcome(*call, RequestOutcome::kCallerLeft, CallReason::kNone);
  if (WouldLog(kEventCallerLeft)) {
    LogEvent(
        kEventCallerLeft,
        {{"request", call->head.id},
         {"parent", this->ParentOf(*call)},
         {"route", call->route->name},
         {"after_ms", std::to_string((BootTimeNow() - call->arrived).count)}});
  }
  this->RecordCutAttempt(*call);
  this->CancelAttempt(call);
  this->RecordAbandoned(call);
  this->Finish(call);
}

/// Breaks off an answer that is passed on in parts. Its head is with the
/// caller, so an answer of the node itself would be bytes within that one.
void EntryCalls::CutAnswer(const CallPointer& call) {
  LogEvent(
      kEventAnswerCut,
      {{"request", call->head.id},
       {"parent", this->ParentOf(*call)},
       {"route", call->route->name},
       {"after_ms", std::to_string((BootTimeNow() - call->arrived).count)}});
  this->CancelAttempt(call);
  const CallerExchangePointer exchange = call->exchange;
  this->Finish(call);
  exchange->EndStreamedAnswer(true);
}

void EntryCalls::TimeOut(const CallPointer& call) {
  if (call->is_streaming) {
    this->CutAnswer(call);
    return;
  }
  // The request may be running at the target: only its node would know.
  call->may_have_run = call->may_have_run || call->peer != nullptr;
  this->RecordCutAttempt(*call);
  this->CancelAttempt(call);
  this->FinishFailed(call, CallReason::kTimeout);
}

void EntryCalls::Sweep(Millis now) {
  this->RetryWaiting();
  this->SweepQuotaWaiters();
  control::DecayRunTimes(now, this->run_times);
  this->UpdateZones(now);
  while (!this->timeouts.empty() &&
         this->timeouts.begin()->first <= now.count) {
    const std::uint32_t id = this->timeouts.begin()->second;
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
      this->timeouts.erase(this->timeouts.begin());
      continue;
    }
    this->TimeOut(CallPointer(found->second));
  }
}

void EntryCalls::EndAll() {
  while (!this->calls.empty()) {
    this->TimeOut(CallPointer(this->calls.begin()->second));
  }
}

}  // namespace almondlink::relay
