#include <algorithm>

#include "almondlink/base/event_log.h"
#include "almondlink/base/hash.h"
#include "almondlink/relay/content_digest.h"
#include "almondlink/relay/entry_calls.h"
#include "answer_text.h"
#include "entry_call.h"

/// Requests that targets end under: what is noted of them, and their trials.
///
/// Attempts and repeats are bounded by a request's id, which is new each time
/// its caller sends it again; what ends targets is its content, wherever it
/// comes. So a request that more than one target ended under goes no further by
/// itself, at any node (almondlink/control/blame.h).
namespace almondlink::relay {

namespace {

/// A request waits for its trial, or for that of the same request sent by
/// somebody else, for its latency target; for an ask and one short run at
/// least.
constexpr Millis kMinTrialWait{200};
/// Calls whose callers left are remembered for so long, and so many of them.
constexpr Millis kAbandonedRetention{1000};
constexpr std::size_t kMaxAbandoned = 128;

}  // namespace

control::RequestDigest EntryCalls::DigestOf(const Call& call) const {
  RequestContent content;
  content.deployment = this->settings.deployment;
  content.host = call.route->host;
  content.method = call.head.method;
  content.target = call.head.target;
  if (call.account != nullptr) {
    content.account = call.account->name;
  } else if (!call.table->has_accounts) {
    content.account = call.head.credentials;
  }
  content.body = call.body;
  return relay::DigestOf(content);
}

/// Whether anything may be known of the request; costs next to nothing where
/// no target has ended lately.
bool EntryCalls::MayBeQuarantined(const Call& call) const {
  return !this->quarantine.IsEmpty() &&
         !this->quarantine.IsBlank(PathHashOf(call.head.target));
}

/// Whether the request runs on trial only, or not at all.
bool EntryCalls::IsQuarantined(const Call& call) const {
  return this->MayBeQuarantined(call) &&
         this->quarantine.Judge(this->DigestOf(call), BootTimeNow()).step !=
             control::BlameStep::kGo;
}

void EntryCalls::RecordTargetCrash(const CallPointer& call,
                                   const PeerPointer& peer) {
  const StateFrame& target = peer->told;
  const Millis now = BootTimeNow();
  const control::RequestDigest digest = this->DigestOf(*call);
  const control::TargetEnd end{StableHash(target.instance, target.born),
                               call->is_on_trial};
  const bool is_new = this->quarantine.NoteTargetEnd(digest, end, now);
  const control::BlameRecord* record = this->quarantine.Find(digest);
  if (is_new && record != nullptr && WouldLog(kEventUnderWayAtEnd)) {
    LogEvent(kEventUnderWayAtEnd,
             {{"digest", control::ToString(digest)},
              {"request", call->head.id},
              {"parent", this->ParentOf(*call)},
              {"route", call->route->name},
              {"account", call->account == nullptr ? "" : call->account->name},
              {"target", target.instance},
              {"ends", std::to_string(record->starts.size())},
              {"failed_trials", std::to_string(record->failed_trials)},
              {"age_ms", std::to_string((now - record->first_end).count)}});
  }
  this->EndTrial(call, "target-ended");
}

void EntryCalls::RecordAbandoned(const CallPointer& call) {
  const Millis now = BootTimeNow();
  while (!this->abandoned.empty() &&
         (this->abandoned.size() >= kMaxAbandoned ||
          now - this->abandoned.front().abandoned_at > kAbandonedRetention)) {
    this->abandoned.pop_front();
  }
  if (call->peer != nullptr) {
    this->abandoned.push_back({call, call->peer, now});
  }
}

void EntryCalls::OnCrashAfterAbandon(const PeerPointer& peer,
                                     std::uint32_t id) {
  const auto known =
      std::find_if(this->abandoned.begin(), this->abandoned.end(),
                   [&peer, id](const AbandonedCall& left) {
                     return left.peer == peer && left.call->id == id;
                   });
  if (known != this->abandoned.end()) {
    this->RecordTargetCrash(known->call, peer);
    this->abandoned.erase(known);
  }
}

void EntryCalls::RecordCompletion(const CallPointer& call) {
  if (this->MayBeQuarantined(*call)) {
    this->quarantine.NoteWholeRun(this->DigestOf(*call));
  }
  this->EndTrial(call, "whole");
}

bool EntryCalls::HasAvailableTarget(const std::string& service) {
  const std::vector<PeerPointer>& members = this->peers.Of(service);
  return std::any_of(
      members.begin(), members.end(),
      [](const PeerPointer& peer) { return IsTargetAvailable(*peer); });
}

/// Whether the call may be sent as any other; if not it waits for its trial, or
/// was answered.
bool EntryCalls::CheckQuarantine(const CallPointer& call) {
  if (!this->MayBeQuarantined(*call)) {
    return true;
  }
  const Millis now = BootTimeNow();
  const control::RequestDigest digest = this->DigestOf(*call);
  const control::BlameVerdict verdict = this->quarantine.Judge(digest, now);
  if (verdict.step == control::BlameStep::kGo) {
    return true;
  }
  if (verdict.step == control::BlameStep::kTry &&
      !this->HasAvailableTarget(call->service)) {
    // It waits for a target as any other.
    if (!this->QueueForTarget(call)) {
      this->FinishFailed(call, CallReason::kNoInstance);
    }
    return false;
  }
  if (call->trial_wait_deadline == Millis{0}) {
    call->trial_wait_deadline =
        now + std::max(call->route->latency_target, kMinTrialWait);
  }
  if (verdict.step == control::BlameStep::kRefuse ||
      now >= call->trial_wait_deadline) {
    this->RefuseQuarantined(call, digest, verdict.wait);
    return false;
  }
  call->trial_digest = digest;
  if (call->peer != nullptr) {
    // What becomes of that node from now on does not concern the call.
    call->last_instance = call->peer->told.instance;
    Assign(call, nullptr);
  }
  this->waiting_calls.push_back(call);
  this->quarantine.AskTrial(digest, call->service, call->deadline - now, now);
  return false;
}

/// It goes no further. `wait`: until it may be tried again; 0: it waited for a
/// trial in vain.
void EntryCalls::RefuseQuarantined(const CallPointer& call,
                                   const control::RequestDigest& digest,
                                   Millis wait) {
  ++this->trials.refused;
  const control::BlameRecord* record = this->quarantine.Find(digest);
  if (record != nullptr && WouldLog(kEventRefusedForEnds)) {
    LogEvent(
        kEventRefusedForEnds,
        {{"digest", control::ToString(digest)},
         {"request", call->head.id},
         {"parent", this->ParentOf(*call)},
         {"route", call->route->name},
         {"account", call->account == nullptr ? "" : call->account->name},
         {"ends", std::to_string(record->starts.size())},
         {"failed_trials", std::to_string(record->failed_trials)},
         {"age_ms", std::to_string((BootTimeNow() - record->first_end).count)},
         {"wait_ms", std::to_string(wait.count)}});
  }
  if (call->may_have_run) {
    this->FinishFailed(call, CallReason::kEndsTargets);
    return;
  }
  this->Finish(call);
  this->RefuseNotRun(call, CallReason::kEndsTargets,
                     wait > Millis{0} ? wait : this->RetryAfter(*call));
}

/// Begins the trial with the first of the calls that wait for it there.
void EntryCalls::OnTrialPermitted(const control::RequestDigest& digest,
                                  const std::string& node) {
  const std::vector<PeerPointer>& all = this->peers.All();
  const auto permitted = std::find_if(
      all.begin(), all.end(),
      [&node](const PeerPointer& peer) { return peer->node.name == node; });
  if (permitted == all.end()) {
    // Permitted by a node that knows more: its permit runs out.
    return;
  }
  const std::string& service = (*permitted)->told.service;
  const auto waiter = std::find_if(
      this->waiting_calls.begin(), this->waiting_calls.end(),
      [this, &digest, &service](const std::weak_ptr<Call>& entry) {
        const CallPointer call = entry.lock();
        return call != nullptr && call->trial_digest == digest &&
               call->service == service && this->calls.count(call->id) != 0;
      });
  if (waiter == this->waiting_calls.end() || !IsTargetAvailable(**permitted)) {
    this->quarantine.EndTrial(digest, service);
    return;
  }
  const CallPointer call = waiter->lock();
  this->waiting_calls.erase(waiter);
  call->is_on_trial = true;
  ++this->trials.begun;
  LogEvent(kEventTrialBegun, {{"digest", control::ToString(digest)},
                              {"request", call->head.id},
                              {"route", call->route->name},
                              {"target", (*permitted)->told.instance},
                              {"node", node}});
  this->SendTo(call, *permitted);
}

/// The call is on trial no more, if it was.
void EntryCalls::EndTrial(const CallPointer& call, const char* outcome) {
  if (!call->is_on_trial) {
    return;
  }
  call->is_on_trial = false;
  ++this->trials.by_outcome[outcome];
  const control::RequestDigest digest = call->trial_digest;
  LogEvent(kEventTrialOver, {{"digest", control::ToString(digest)},
                             {"request", call->head.id},
                             {"outcome", outcome}});
  this->quarantine.EndTrial(digest, call->service);
}

/// The caller of a trial has left. The run goes on to its end: cut short, it
/// would tell nothing, and the next one would have to be tried.
void EntryCalls::DetachCaller(const CallPointer& call) {
  this->CountOutcome(*call, RequestOutcome::kCallerLeft, CallReason::kNone);
  call->is_caller_gone = true;
  call->exchange =
      std::make_shared<CallerExchange>(std::weak_ptr<CallerSession>());
}

}  // namespace almondlink::relay
