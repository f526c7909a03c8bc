#include <algorithm>
#include <vector>

#include "almondlink/base/event_log.h"
#include "almondlink/base/http_status.h"
#include "almondlink/control/placement.h"
#include "almondlink/relay/entry_calls.h"
#include "answer_text.h"
#include "entry_call.h"

namespace almondlink::relay {

namespace {

constexpr std::uint32_t kMisdirected = 421;
constexpr std::uint32_t kServerError = 500;
/// Maximum number of sends of one request that were returned before they
/// reached a target.
constexpr std::uint32_t kMaxMoves = 4;
/// Maximum number of targets with a used-up rate limit that a call is returned
/// from; then it waits at one.
constexpr std::uint32_t kMaxLimitedMoves = 2;
/// A root request may wait at a target for half of its latency target: a longer
/// wait would use up the time that its calls need.
constexpr std::int64_t kRootWaitDivisor = 2;

}  // namespace

void EntryCalls::Assign(const CallPointer& call, const PeerPointer& peer) {
  if (call->peer != nullptr) {
    --call->peer->outstanding;
  }
  call->peer = peer;
  if (peer == nullptr) {
    return;
  }
  if (peer->outstanding == 0) {
    peer->awaited_since = BootTimeNow();
  }
  ++peer->outstanding;
}

void EntryCalls::Attempt(const CallPointer& call) {
  if (call->tried_nodes.empty() && !this->IsKeyStillValid(*call)) {
    this->Finish(call);
    this->RefuseAuthentication(call, kStatusUnauthorized, "revoked");
    return;
  }
  if (!this->CheckQuarantine(call)) {
    return;
  }
  const PeerPointer peer = this->NextPeer(*call);
  if (peer == nullptr) {
    if (!this->QueueForTarget(call)) {
      this->FinishFailed(call, CallReason::kNoInstance);
    }
    return;
  }
  this->SendTo(call, peer);
}

bool EntryCalls::QueueForTarget(const CallPointer& call) {
  if (!call->tried_nodes.empty()) {
    return false;
  }
  const Millis now = BootTimeNow();
  if (call->target_wait_deadline == Millis{0}) {
    const auto known = this->last_available.find(call->service);
    const Millis last =
        known == this->last_available.end() ? this->started_at : known->second;
    call->target_wait_deadline =
        now + control::MaxWaitForTarget(
                  this->settings.decisions.wait_for_target, now - last,
                  call->is_root, call->route->latency_target,
                  call->deadline - now);
  }
  if (now >= call->target_wait_deadline) {
    return false;
  }
  this->waiting_calls.push_back(call);
  return true;
}

/// Retries the calls that wait for a target or a trial. Those that cannot be
/// sent keep waiting or fail.
void EntryCalls::RetryWaiting() {
  std::vector<std::weak_ptr<Call>> before;
  before.swap(this->waiting_calls);
  for (const std::weak_ptr<Call>& entry : before) {
    const CallPointer call = entry.lock();
    if (call == nullptr) {
      continue;
    }
    const auto open = this->calls.find(call->id);
    if (open != this->calls.end() && open->second == call) {
      this->Attempt(call);
    }
  }
}

void EntryCalls::SendTo(const CallPointer& call, const PeerPointer& peer) {
  const Millis now = BootTimeNow();
  const Millis left = call->deadline - now;
  if (left <= Millis{0}) {
    this->FinishFailed(call, CallReason::kDeadline);
    return;
  }
  if (!peer->is_self && !peer->link->CanTake(call->body.size())) {
    this->OnBusyLink(call, peer);
    return;
  }
  // Each attempt gets its own id, so a late answer to an earlier attempt
  // matches no call.
  if (call->attempts + call->moves > 0) {
    this->calls.erase(call->id);
    this->timeouts.erase({call->expires_at.count, call->id});
    call->id = ++this->last_id;
    this->calls.emplace(call->id, call);
    this->timeouts.emplace(call->expires_at.count, call->id);
  }
  Assign(call, peer);
  call->tried_nodes.push_back(peer->node.name);
  call->sent_at = now;
  call->load_at_choice =
      peer->reported.running + peer->reported.waiting + peer->sent_since_report;
  call->slots_at_choice = peer->reported.slots;
  call->state_age_at_choice = now - peer->reported_at;
  ++peer->sent_since_report;
  control::RecordSent(now, peer->health);
  CallFrame frame;
  frame.id = call->id;
  frame.sent_ms = static_cast<std::uint64_t>(now.count);
  frame.remaining_ms = static_cast<std::uint32_t>(left.count);
  const Millis root_wait{call->route->latency_target.count / kRootWaitDivisor};
  frame.wait_ms = static_cast<std::uint32_t>(
      call->is_root ? std::min(left, root_wait).count : left.count);
  frame.is_repeatable = call->route->is_repeatable;
  frame.is_repeat = call->info.is_repeat || call->attempts > 0;
  call->waits_for_limit =
      peer->limited_until > now || call->limited_moves >= kMaxLimitedMoves;
  // A call that has no moves left would end if it were returned again.
  frame.may_move =
      !call->waits_for_limit && !call->must_stay && call->moves < kMaxMoves;
  frame.depth = call->info.depth;
  frame.priority = call->info.priority;
  frame.root_route = call->info.root_route;
  frame.root_hash = call->info.root_hash;
  frame.route = call->route->key.Value();
  frame.instance = peer->reported.instance;
  frame.caller_service = this->settings.service.Value();
  frame.request_id = call->head.id;
  frame.method = call->head.method;
  frame.target = call->head.target;
  frame.fields = call->head.fields;
  frame.body = call->body;
  if (!call->is_counted_for_repeats) {
    call->is_counted_for_repeats = true;
    control::RepeatAllowance& allowance = this->AllowanceOf(call->service);
    if (call->info.is_repeat) {
      // The call was made by a request that is itself a repeat. It counts as a
      // repeat and not as a new request.
      control::RecordRepeat(this->CurrentRepeatRules(), now, allowance);
    } else {
      control::RecordRequest(this->CurrentRepeatRules(), now, allowance);
    }
  }
  if (peer->is_self) {
    this->served.OnCall(kLocalLink, frame, Millis{0});
    return;
  }
  Append(frame, peer->link->OutputBuffer());
  peer->link->ScheduleFlush();
}

/// Large bodies that are under way fill the link to the peer. A call that was
/// not sent before waits for the link, others go to another target.
void EntryCalls::OnBusyLink(const CallPointer& call, const PeerPointer& peer) {
  const Millis max_wait{call->route->latency_target.count / kRootWaitDivisor};
  const bool is_first = call->attempts + call->moves == 0;
  if (is_first && BootTimeNow() - call->arrived < max_wait) {
    this->waiting_calls.push_back(call);
    return;
  }
  call->tried_nodes.push_back(peer->node.name);
  this->OnFailedAttempt(call, CallOutcome::kNotSent, CallReason::kLinkBusy);
}

void EntryCalls::OnAnswer(const PeerPointer& peer, const AnswerFrame& frame) {
  peer->reported.running = frame.running;
  peer->reported.waiting = frame.waiting;
  peer->reported.error_rate = frame.error_rate;
  peer->reported.limit_per_s = frame.limit_per_s;
  peer->reported.speed = frame.speed;
  peer->limited_until = frame.limit_wait_ms == 0
                            ? Millis{0}
                            : BootTimeNow() + Millis{frame.limit_wait_ms};
  if (peer->reported.is_load_summed) {
    peer->reported.work_ms = frame.target_work_ms;
    peer->reported.calls_per_run = frame.target_calls_per_run;
    peer->reported_at = BootTimeNow();
  }
  peer->sent_since_report = 0;
  const auto found = this->calls.find(frame.id);
  if (found == this->calls.end() || found->second->peer != peer) {
    if (frame.reason == CallReason::kTargetCrashed) {
      this->OnCrashAfterAbandon(peer, frame.id);
    }
    return;
  }
  const CallPointer call = found->second;
  if (frame.outcome == CallOutcome::kAnswered &&
      ClassOfStatus(frame.status) != StatusClass::kFinal) {
    // A node that takes any status for an answer passed it on.
    this->CancelAttempt(call);
    this->OnFailedAttempt(call, CallOutcome::kBroken, CallReason::kBadAnswer);
    return;
  }
  this->RecordRun(*call, frame);
  if (this->UpdateTargetHealth(*call, peer, frame)) {
    LogEvent(kEventTargetSetAside,
             {{"target", peer->reported.instance}, {"node", peer->node.name}});
  }
  const bool is_refused = frame.outcome == CallOutcome::kRefusedByTarget &&
                          frame.status != kMisdirected;
  if (is_refused) {
    call->refusing_nodes.push_back(peer->node.name);
  }
  if (frame.outcome != CallOutcome::kAnswered) {
    this->OnFailedAttempt(call, frame.outcome, frame.reason);
    return;
  }
  if (!frame.has_more) {
    this->RecordCompletion(call);
  }
  control::AddCounts(frame.run_counts, call->run_counts);
  const bool is_error = frame.status >= kServerError;
  control::RecordAnswerError(is_error, peer->health);
  const bool may_repeat = is_error && !frame.has_more &&
                          call->route->is_repeatable &&
                          this->CanRepeatHelp(*call, peer);
  if (may_repeat) {
    ++call->attempts;
    call->reached_nodes.push_back(peer->node.name);
    call->may_have_run = true;
    const PeerPointer next = this->NextPeer(*call);
    if (next != nullptr &&
        this->AcquireRepeat(BootTimeNow(), *call, CallReason::kNone)) {
      if (WouldLog(kEventSentAgain)) {
        LogEvent(kEventSentAgain,
                 {{"request", call->head.id},
                  {"parent", this->ParentOf(*call)},
                  {"after", "status " + std::to_string(frame.status)},
                  {"target", peer->reported.instance}});
      }
      call->fallback_answer =
          FallbackAnswer{frame.status, std::string(frame.status_text),
                         std::string(frame.fields), std::string(frame.body)};
      this->SendTo(call, next);
      return;
    }
  }
  this->ForwardAnswer(call, frame);
}

/// Returns true if the target was set aside because of the outcome. A call that
/// was returned from its queue says nothing about the target's health.
bool EntryCalls::UpdateTargetHealth(const Call& call,
                                    const PeerPointer& peer,
                                    const AnswerFrame& frame) {
  if (frame.reason == CallReason::kMoved) {
    return false;
  }
  const bool is_failure = frame.outcome == CallOutcome::kBroken ||
                          frame.reason == CallReason::kConnectFailed ||
                          frame.outcome == CallOutcome::kRefusedByTarget;
  return control::RecordOutcome(
      this->settings.decisions.health, BootTimeNow(), is_failure,
      this->MeanFailureRateOfOthers(call, peer), peer->health);
}

/// Mean failure rate of the other available targets of the call's service.
double EntryCalls::MeanFailureRateOfOthers(const Call& call,
                                           const PeerPointer& peer) {
  double sum = 0;
  std::uint32_t others = 0;
  for (const PeerPointer& other : this->peers.PeersOfService(call.service)) {
    if (other != peer && IsTargetAvailable(*other)) {
      sum += other->health.failure_rate;
      ++others;
    }
  }
  return others == 0 ? 0 : sum / others;
}

/// Whether an available target has not been tried.
bool EntryCalls::HasUntriedTarget(const Call& call) {
  const std::vector<PeerPointer>& members =
      this->peers.PeersOfService(call.service);
  return std::any_of(
      members.begin(), members.end(), [&call](const PeerPointer& peer) {
        return IsTargetAvailable(*peer) &&
               std::find(call.tried_nodes.begin(), call.tried_nodes.end(),
                         peer->node.name) == call.tried_nodes.end();
      });
}

void EntryCalls::OnFailedAttempt(const CallPointer& call,
                                 CallOutcome outcome,
                                 CallReason reason) {
  if (reason == CallReason::kTargetCrashed) {
    this->RecordTargetCrash(call, call->peer);
  }
  this->EndTrial(call, "undecided");
  const Millis now = BootTimeNow();
  const std::string instance =
      call->peer == nullptr ? std::string() : call->peer->reported.instance;
  bool goes_on = false;
  if (outcome == CallOutcome::kNotSent) {
    const bool is_limited = reason == CallReason::kRateLimited;
    const bool is_final = reason == CallReason::kDeadline ||
                          reason == CallReason::kFull ||
                          (is_limited && call->waits_for_limit);
    ++call->moves;
    if (is_limited && !is_final) {
      ++call->limited_moves;
      // The call may wait there if all targets are limited.
      call->tried_nodes.pop_back();
    }
    if (reason == CallReason::kMoved && !this->HasUntriedTarget(*call)) {
      // The other targets became unavailable meanwhile. The queue it came from
      // is better than a draining target or none.
      call->tried_nodes.pop_back();
      call->must_stay = true;
    }
    goes_on = !is_final && call->moves <= kMaxMoves;
    if (goes_on) {
      this->counts.CountMove(*call->route, reason);
    }
  } else {
    ++call->attempts;
    if (call->peer != nullptr) {
      call->reached_nodes.push_back(call->peer->node.name);
    }
    const bool may_have_run = outcome == CallOutcome::kBroken;
    call->may_have_run = call->may_have_run || may_have_run;
    goes_on = (!may_have_run || call->route->is_repeatable) &&
              reason != CallReason::kTimeout &&
              this->NextPeer(*call) != nullptr &&
              this->AcquireRepeat(now, *call, reason);
  }
  const Event& event = goes_on ? kEventSentAgain : kEventAttemptFailed;
  if (WouldLog(event)) {
    LogEvent(
        event,
        {{"request", call->head.id},
         {"parent", this->ParentOf(*call)},
         {"after", ToString(reason)},
         {"sent", outcome == CallOutcome::kNotSent ? "no" : "yes"},
         {"refused", outcome == CallOutcome::kRefusedByTarget ? "yes" : "no"},
         {"target", instance},
         {"attempts", std::to_string(call->attempts)},
         {"load", std::to_string(call->load_at_choice)},
         {"slots", std::to_string(call->slots_at_choice)},
         {"told_age_ms", std::to_string(call->state_age_at_choice.count)},
         {"left_ms", std::to_string((call->deadline - now).count)}});
  }
  if (goes_on) {
    this->Attempt(call);
    return;
  }
  this->FinishFailed(call, reason);
}

void EntryCalls::OnLinkLost(const PeerPointer& peer) {
  std::vector<CallPointer> lost;
  for (const auto& [id, call] : this->calls) {
    if (call->peer == peer) {
      lost.push_back(call);
    }
  }
  for (const CallPointer& call : lost) {
    if (call->is_streaming) {
      const CallerExchangePointer exchange = call->exchange;
      this->Finish(call);
      exchange->EndStreamedAnswer(true);
      continue;
    }
    this->OnFailedAttempt(call, CallOutcome::kBroken, CallReason::kLinkLost);
  }
}

/// The node does not respond although its link is open: its host may be
/// suspended, or the network is partitioned. Repeatable calls are moved to
/// other nodes; the others may still be answered.
void EntryCalls::OnSuspect(const PeerPointer& peer) {
  std::vector<CallPointer> waiting;
  for (const auto& [id, call] : this->calls) {
    if (call->peer == peer && !call->is_streaming &&
        call->route->is_repeatable) {
      waiting.push_back(call);
    }
  }
  for (const CallPointer& call : waiting) {
    this->MoveFromSuspect(call);
  }
}

void EntryCalls::MoveFromSuspect(const CallPointer& call) {
  // A call on trial, or one that has been quarantined since, is not moved.
  if (call->is_on_trial || this->IsQuarantined(*call)) {
    return;
  }
  // Give up the current attempt only if another one can be made. If the other
  // targets are draining or set aside, this one may still be answered.
  ++call->attempts;
  call->reached_nodes.push_back(call->peer->node.name);
  const PeerPointer next = this->NextPeer(*call);
  if (next == nullptr ||
      !this->AcquireRepeat(BootTimeNow(), *call, CallReason::kTimeout)) {
    --call->attempts;
    call->reached_nodes.pop_back();
    return;
  }
  call->may_have_run = true;
  if (WouldLog(kEventSentAgain)) {
    LogEvent(kEventSentAgain, {{"request", call->head.id},
                               {"parent", this->ParentOf(*call)},
                               {"after", "node-silent"},
                               {"target", call->peer->reported.instance}});
  }
  this->CancelAttempt(call);
  this->SendTo(call, next);
}

/// Cancels the current attempt, at the target's node too.
void EntryCalls::CancelAttempt(const CallPointer& call) {
  const PeerPointer peer = call->peer;
  if (peer == nullptr) {
    return;
  }
  if (peer->is_self) {
    this->served.OnCancel(kLocalLink, call->id);
  } else if (peer->link != nullptr) {
    AppendCancel(call->id, peer->link->OutputBuffer());
    peer->link->ScheduleFlush();
  }
}

}  // namespace almondlink::relay
