#include <utility>

#include "almondlink/base/event_log.h"
#include "almondlink/relay/entry_calls.h"
#include "answer_text.h"
#include "entry_call.h"

namespace almondlink::relay {

namespace {

constexpr std::uint32_t kFirstFailure = 400;
constexpr double kMicrosPerMilli = 1000;

}  // namespace

void EntryCalls::PassAnswer(const CallPointer& call, const AnswerFrame& frame) {
  if (call->is_left && frame.has_more) {
    // Nobody takes the rest, and it would wait to be taken.
    this->DropAttempt(call);
    this->Finish(call);
    return;
  }
  const double took = PreciseNow().count - call->started.count;
  this->counts.NoteAdded(LatencyMs{took - frame.work_us / kMicrosPerMilli});
  this->NoteEnd(*call,
                frame.status < kFirstFailure ? RequestEnd::kServed
                                             : RequestEnd::kFailedByTarget,
                CallReason::kNone);
  if (WouldLog(kEventAnswered)) {
    LogEvent(kEventAnswered,
             {{"request", call->head.id},
              {"parent", this->ParentOf(*call)},
              {"route", call->route->name},
              {"target", call->peer->reported.instance},
              {"status", std::to_string(frame.status)},
              {"attempts", std::to_string(call->attempts + 1)},
              {"load", std::to_string(call->chosen_load)},
              {"slots", std::to_string(call->chosen_slots)},
              {"told_age_ms", std::to_string(call->chosen_age.count)},
              {"version", std::to_string(call->table->version)},
              {"took_ms", std::to_string(took)}});
  }
  if (!frame.has_more) {
    const CallerExchangePointer exchange = call->exchange;
    this->Finish(call);
    exchange->Answer(frame.status, frame.status_text, frame.fields, frame.body);
    return;
  }
  call->is_long = true;
  this->ends.erase({call->end.count, call->id});
  const std::weak_ptr<Call> weak = call;
  call->exchange->on_taken = [this, weak](std::size_t bytes) {
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
  call->exchange->BeginLong(frame.status, frame.status_text, frame.fields,
                            frame.body);
}

void EntryCalls::OnPart(const PeerPointer& peer, const DataFrame& frame) {
  const auto found = this->calls.find(frame.id);
  if (found == this->calls.end() || found->second->peer != peer) {
    return;
  }
  const CallPointer call = found->second;
  call->exchange->Part(frame.body);
  if (frame.is_last) {
    if (!frame.is_broken) {
      this->NoteWholeRun(call);
    } else if (frame.is_target_crashed) {
      this->NoteTargetEnd(call, peer);
    }
    const CallerExchangePointer exchange = call->exchange;
    this->Finish(call);
    exchange->EndLong(frame.is_broken);
  }
}

void EntryCalls::FinishFailed(const CallPointer& call, CallReason reason) {
  if (call->peer != nullptr) {
    call->last_target = call->peer->reported.instance;
  }
  this->Finish(call);
  if (call->kept.has_value()) {
    const KeptAnswer& kept = *call->kept;
    this->NoteEnd(*call, RequestEnd::kFailedByTarget, reason);
    call->exchange->Answer(kept.status, kept.status_text, kept.fields,
                           kept.body);
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
  this->NoteEnd(*call, is_late ? RequestEnd::kTimedOut : RequestEnd::kUnknown,
                reason);
  LogEvent(
      kEventOutcomeUnknown,
      {{"request", call->head.id},
       {"parent", this->ParentOf(*call)},
       {"status", std::to_string(status)},
       {"reason", ToString(reason)},
       {"route", call->route->name},
       {"target", call->last_target},
       {"attempts", std::to_string(call->attempts)},
       {"after_ms", std::to_string((BootTimeNow() - call->arrived).count)}});
  call->exchange->Answer(status, StatusText(status), "", "");
}

void EntryCalls::RefuseNotRun(const CallPointer& call,
                              CallReason reason,
                              Millis wait) {
  if (call->has_token) {
    call->has_token = false;
    this->quotas.ReturnToken(*call->account, BootTimeNow());
  }
  // A refusal at entry has a line of its own.
  const bool is_new = !call->is_refused_at_entry;
  this->NoteEnd(*call,
                is_new ? RequestEnd::kNotRun : RequestEnd::kRefusedAtEntry,
                reason);
  if (is_new && WouldLog(kEventNotRun)) {
    LogEvent(
        kEventNotRun,
        {{"request", call->head.id},
         {"parent", this->ParentOf(*call)},
         {"reason", call->table == nullptr ? "no-policy" : ToString(reason)},
         {"service", call->service},
         {"retry_after_ms", std::to_string(wait.count)}});
  }
  call->exchange->Answer(kStatusUnavailable, StatusText(kStatusUnavailable),
                         RetryAfterField(wait), "");
}

void EntryCalls::NoteEnd(const Call& call, RequestEnd end, CallReason reason) {
  if (call.is_left) {
    // It was counted when its caller left.
    return;
  }
  const LatencyMs took{PreciseNow().count - call.started.count};
  this->counts.NoteEnd(call.route, call.is_root, end, reason, took);
  if (call.account != nullptr) {
    this->counts.NoteAccount(call.account->name, end);
  }
}

/// What ran for a root tells the calls of its route's chain; what ran for a
/// call is part of the run that made it.
void EntryCalls::NoteRan(const Call& call) {
  if (call.ran.size == 0) {
    return;
  }
  if (call.is_root) {
    control::RecordChain(call.info.root_route, call.ran,
                         this->admission.chains);
  } else {
    this->served.AddRunCounts(this->ParentOf(call), call.ran);
  }
}

void EntryCalls::Finish(const CallPointer& call) {
  this->EndTrial(call, "undecided");
  this->NoteRan(*call);
  Assign(call, nullptr);
  this->calls.erase(call->id);
  this->ends.erase({call->end.count, call->id});
  call->exchange->on_gone = nullptr;
}

void EntryCalls::Abandon(const CallPointer& call) {
  if (call->is_on_trial) {
    this->DetachCaller(call);
    return;
  }
  this->NoteEnd(*call, RequestEnd::kCallerLeft, CallReason::kNone);
  if (WouldLog(kEventCallerLeft)) {
    LogEvent(
        kEventCallerLeft,
        {{"request", call->head.id},
         {"parent", this->ParentOf(*call)},
         {"route", call->route->name},
         {"after_ms", std::to_string((BootTimeNow() - call->arrived).count)}});
  }
  this->DropAttempt(call);
  this->NoteLeft(call);
  this->Finish(call);
}

void EntryCalls::TimeOut(const CallPointer& call) {
  // A call that is out may be running: only its node could tell.
  call->may_have_run = call->may_have_run || call->peer != nullptr;
  this->DropAttempt(call);
  this->FinishFailed(call, CallReason::kTimeout);
}

void EntryCalls::Sweep(Millis now) {
  this->RetryWaiting();
  this->SweepQuotaWaiters();
  while (!this->ends.empty() && this->ends.begin()->first <= now.count) {
    const std::uint32_t id = this->ends.begin()->second;
    const auto found = this->calls.find(id);
    if (found == this->calls.end()) {
      this->ends.erase(this->ends.begin());
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
