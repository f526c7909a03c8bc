#include <algorithm>

#include "almondlink/base/event_log.h"
#include "almondlink/base/hash.h"
#include "almondlink/relay/content_digest.h"
#include "almondlink/relay/entry_calls.h"
#include "answer_text.h"
#include "entry_call.h"

/// Query-of-death detection: records crashes of targets against the requests
/// that were running, and runs quarantined requests on trial.
///
/// Attempts and repeats are bounded by a request's id, which changes each time
/// the caller sends the request again. Crashes depend on the content, whichever
/// caller sends it. So a request whose content was running in more than one
/// crash is not sent any further on its own, at any node
/// (almondlink/control/quarantine.h).
namespace almondlink::relay {

namespace {

/// A request waits for its trial, or for that of an equal request from another
/// caller, for its latency target, but at least for one exchange with the
/// permitting node and one short run.
constexpr Millis kMinTrialWait{200};
/// Retention and maximum number of calls whose callers disconnected.
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

/// Whether there may be a record of the request. Cheap while no target has
/// crashed recently.
bool EntryCalls::MayBeQuarantined(const Call& call) const {
  return !this->quarantine.IsEmpty() &&
         !this->quarantine.IsPathUnknown(PathHashOf(call.head.target));
}

/// Whether the request may run only on trial, or not at all.
bool EntryCalls::IsQuarantined(const Call& call) const {
  return this->MayBeQuarantined(call) &&
         this->quarantine.Decide(this->DigestOf(call), BootTimeNow()).action !=
             control::QuarantineAction::kAllow;
}

void EntryCalls::RecordTargetCrash(const CallPointer& call,
                                   const PeerPointer& peer) {
  const StateFrame& target = peer->reported;
  const Millis now = BootTimeNow();
  const control::RequestDigest digest = this->DigestOf(*call);
  const control::TargetCrash crash{
      StableHash(target.instance, target.started_at), call->is_on_trial};
  const bool is_new = this->quarantine.RecordTargetCrash(digest, crash, now);
  const control::QuarantineRecord* record = this->quarantine.Find(digest);
  if (is_new && record != nullptr && WouldLog(kEventUnderWayAtEnd)) {
    LogEvent(kEventUnderWayAtEnd,
             {{"digest", control::ToString(digest)},
              {"request", call->head.id},
              {"parent", this->ParentOf(*call)},
              {"route", call->route->name},
              {"account", call->account == nullptr ? "" : call->account->name},
              {"target", target.instance},
              {"ends", std::to_string(record->crashed_incarnations.size())},
              {"failed_trials", std::to_string(record->failed_trials)},
              {"age_ms", std::to_string((now - record->first_crash).count)}});
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
                   [&peer, id](const AbandonedCall& entry) {
                     return entry.peer == peer && entry.call->id == id;
                   });
  if (known != this->abandoned.end()) {
    this->RecordTargetCrash(known->call, peer);
    this->abandoned.erase(known);
  }
}

void EntryCalls::RecordCompletion(const CallPointer& call) {
  if (this->MayBeQuarantined(*call)) {
    this->quarantine.RecordCompletedRun(this->DigestOf(*call));
  }
  this->EndTrial(call, "whole");
}

bool EntryCalls::HasAvailableTarget(const std::string& service) {
  const std::vector<PeerPointer>& members = this->peers.PeersOfService(service);
  return std::any_of(
      members.begin(), members.end(),
      [](const PeerPointer& peer) { return IsTargetAvailable(*peer); });
}

/// Returns true if the call may be sent without a trial. Otherwise the call
/// waits for its trial or for a target, or was answered.
bool EntryCalls::CheckQuarantine(const CallPointer& call) {
  if (!this->MayBeQuarantined(*call)) {
    return true;
  }
  const Millis now = BootTimeNow();
  const control::RequestDigest digest = this->DigestOf(*call);
  const control::QuarantineDecision verdict =
      this->quarantine.Decide(digest, now);
  if (verdict.action == control::QuarantineAction::kAllow) {
    return true;
  }
  if (verdict.action == control::QuarantineAction::kTrial &&
      !this->HasAvailableTarget(call->service)) {
    // Without an available target no trial can begin; wait for one like any
    // other call.
    if (!this->QueueForTarget(call)) {
      this->FinishFailed(call, CallReason::kNoInstance);
    }
    return false;
  }
  if (call->trial_wait_deadline == Millis{0}) {
    call->trial_wait_deadline =
        now + std::max(call->route->latency_target, kMinTrialWait);
  }
  if (verdict.action == control::QuarantineAction::kRefuse ||
      now >= call->trial_wait_deadline) {
    this->RefuseQuarantined(call, digest, verdict.wait);
    return false;
  }
  call->trial_digest = digest;
  if (call->peer != nullptr) {
    // Detach the call from the node, so that later events of that node do not
    // affect it.
    call->last_instance = call->peer->reported.instance;
    Assign(call, nullptr);
  }
  this->waiting_calls.push_back(call);
  this->quarantine.RequestTrial(digest, call->service, call->deadline - now,
                                now);
  return false;
}

/// Refuses a quarantined call. `wait`: time until it may be tried again; 0 if
/// it waited for a trial without getting one.
void EntryCalls::RefuseQuarantined(const CallPointer& call,
                                   const control::RequestDigest& digest,
                                   Millis wait) {
  ++this->trials.refused;
  const control::QuarantineRecord* record = this->quarantine.Find(digest);
  if (record != nullptr && WouldLog(kEventRefusedForEnds)) {
    LogEvent(kEventRefusedForEnds,
             {{"digest", control::ToString(digest)},
              {"request", call->head.id},
              {"parent", this->ParentOf(*call)},
              {"route", call->route->name},
              {"account", call->account == nullptr ? "" : call->account->name},
              {"ends", std::to_string(record->crashed_incarnations.size())},
              {"failed_trials", std::to_string(record->failed_trials)},
              {"age_ms",
               std::to_string((BootTimeNow() - record->first_crash).count)},
              {"wait_ms", std::to_string(wait.count)}});
  }
  if (call->may_have_run) {
    this->FinishFailed(call, CallReason::kQuarantined);
    return;
  }
  this->Finish(call);
  this->RefuseNotRun(call, CallReason::kQuarantined,
                     wait > Millis{0} ? wait : this->RetryAfter(*call));
}

/// Starts the permitted trial with the first waiting call of that content.
void EntryCalls::OnTrialPermitted(const control::RequestDigest& digest,
                                  const std::string& node) {
  const std::vector<PeerPointer>& all = this->peers.All();
  const auto permitted = std::find_if(
      all.begin(), all.end(),
      [&node](const PeerPointer& peer) { return peer->node.name == node; });
  if (permitted == all.end()) {
    // The permitting node knows a peer that this node does not; the permit
    // expires unused.
    return;
  }
  const std::string& service = (*permitted)->reported.service;
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
                              {"target", (*permitted)->reported.instance},
                              {"node", node}});
  this->SendTo(call, *permitted);
}

/// Ends the trial of the call, if it is on trial.
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

/// The caller of a call on trial has disconnected. The run continues: a
/// cancelled run proves nothing, and the next equal request would need another
/// trial.
void EntryCalls::DetachCaller(const CallPointer& call) {
  this->CountOutcome(*call, RequestOutcome::kCallerLeft, CallReason::kNone);
  call->is_caller_gone = true;
  call->exchange =
      std::make_shared<CallerExchange>(std::weak_ptr<CallerSession>());
}

}  // namespace almondlink::relay
