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
/// itself, at any node (almondlink/control/quarantine.h).
namespace almondlink::relay {

namespace {

/// A request waits for its trial, or for that of the same request sent by
/// somebody else, for its latency target; for an ask and one short run at
/// least.
constexpr Millis kLeastTrialWait{200};
/// Calls whose callers left are remembered for so long, and so many of them.
constexpr Millis kLeftLately{1000};
constexpr std::size_t kMostLeft = 128;

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
bool EntryCalls::MayBeBlamed(const Call& call) const {
  return !this->blame.IsEmpty() &&
         !this->blame.IsPathUnknown(PathHashOf(call.head.target));
}

/// Whether the request runs on trial only, or not at all.
bool EntryCalls::IsHeld(const Call& call) const {
  return this->MayBeBlamed(call) &&
         this->blame.Decide(this->DigestOf(call), BootTimeNow()).action !=
             control::QuarantineAction::kAllow;
}

void EntryCalls::NoteTargetEnd(const CallPointer& call,
                               const PeerPointer& peer) {
  const StateFrame& target = peer->reported;
  const Millis now = BootTimeNow();
  const control::RequestDigest digest = this->DigestOf(*call);
  const control::TargetCrash end{StableHash(target.instance, target.started_at),
                                 call->is_on_trial};
  const bool is_new = this->blame.RecordTargetCrash(digest, end, now);
  const control::QuarantineRecord* record = this->blame.Find(digest);
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

void EntryCalls::NoteLeft(const CallPointer& call) {
  const Millis now = BootTimeNow();
  while (!this->left.empty() && (this->left.size() >= kMostLeft ||
                                 now - this->left.front().at > kLeftLately)) {
    this->left.pop_front();
  }
  if (call->peer != nullptr) {
    this->left.push_back({call, call->peer, now});
  }
}

void EntryCalls::OnEndAfterLeft(const PeerPointer& peer, std::uint32_t id) {
  const auto known = std::find_if(
      this->left.begin(), this->left.end(), [&peer, id](const LeftCall& left) {
        return left.peer == peer && left.call->id == id;
      });
  if (known != this->left.end()) {
    this->NoteTargetEnd(known->call, peer);
    this->left.erase(known);
  }
}

void EntryCalls::NoteWholeRun(const CallPointer& call) {
  if (this->MayBeBlamed(*call)) {
    this->blame.RecordCompletedRun(this->DigestOf(*call));
  }
  this->EndTrial(call, "whole");
}

bool EntryCalls::HasOpenTarget(const std::string& service) {
  const std::vector<PeerPointer>& members = this->peers.PeersOfService(service);
  return std::any_of(members.begin(), members.end(),
                     [](const PeerPointer& peer) { return IsOpen(*peer); });
}

/// Whether the call may be sent as any other; if not it waits for its trial, or
/// was answered.
bool EntryCalls::PassBlame(const CallPointer& call) {
  if (!this->MayBeBlamed(*call)) {
    return true;
  }
  const Millis now = BootTimeNow();
  const control::RequestDigest digest = this->DigestOf(*call);
  const control::QuarantineDecision verdict = this->blame.Decide(digest, now);
  if (verdict.action == control::QuarantineAction::kAllow) {
    return true;
  }
  if (verdict.action == control::QuarantineAction::kTrial &&
      !this->HasOpenTarget(call->service)) {
    // It waits for a target as any other.
    if (!this->WaitsForTarget(call)) {
      this->FinishFailed(call, CallReason::kNoInstance);
    }
    return false;
  }
  if (call->held_until == Millis{0}) {
    call->held_until =
        now + std::max(call->route->latency_target, kLeastTrialWait);
  }
  if (verdict.action == control::QuarantineAction::kRefuse ||
      now >= call->held_until) {
    this->RefuseBlamed(call, digest, verdict.wait);
    return false;
  }
  call->held_as = digest;
  if (call->peer != nullptr) {
    // What becomes of that node from now on does not concern the call.
    call->last_target = call->peer->reported.instance;
    Assign(call, nullptr);
  }
  this->waiting.push_back(call);
  this->blame.RequestTrial(digest, call->service, call->deadline - now, now);
  return false;
}

/// It goes no further. `wait`: until it may be tried again; 0: it waited for a
/// trial in vain.
void EntryCalls::RefuseBlamed(const CallPointer& call,
                              const control::RequestDigest& digest,
                              Millis wait) {
  ++this->trials.refused;
  const control::QuarantineRecord* record = this->blame.Find(digest);
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

/// Begins the trial with the first of the calls that wait for it there.
void EntryCalls::OnTrialPermitted(const control::RequestDigest& digest,
                                  const std::string& node) {
  const std::vector<PeerPointer>& all = this->peers.All();
  const auto place = std::find_if(
      all.begin(), all.end(),
      [&node](const PeerPointer& peer) { return peer->node.name == node; });
  if (place == all.end()) {
    // Permitted by a node that knows more: its permit runs out.
    return;
  }
  const std::string& service = (*place)->reported.service;
  const auto held = std::find_if(
      this->waiting.begin(), this->waiting.end(),
      [this, &digest, &service](const std::weak_ptr<Call>& entry) {
        const CallPointer call = entry.lock();
        return call != nullptr && call->held_as == digest &&
               call->service == service && this->calls.count(call->id) != 0;
      });
  if (held == this->waiting.end() || !IsOpen(**place)) {
    this->blame.EndTrial(digest, service);
    return;
  }
  const CallPointer call = held->lock();
  this->waiting.erase(held);
  call->is_on_trial = true;
  ++this->trials.begun;
  LogEvent(kEventTrialBegun, {{"digest", control::ToString(digest)},
                              {"request", call->head.id},
                              {"route", call->route->name},
                              {"target", (*place)->reported.instance},
                              {"node", node}});
  this->SendTo(call, *place);
}

/// The call is on trial no more, if it was.
void EntryCalls::EndTrial(const CallPointer& call, const char* outcome) {
  if (!call->is_on_trial) {
    return;
  }
  call->is_on_trial = false;
  ++this->trials.ended[outcome];
  const control::RequestDigest digest = call->held_as;
  LogEvent(kEventTrialOver, {{"digest", control::ToString(digest)},
                             {"request", call->head.id},
                             {"outcome", outcome}});
  this->blame.EndTrial(digest, call->service);
}

/// The caller of a trial has left. The run goes on to its end: cut short, it
/// would tell nothing, and the next one would have to be tried.
void EntryCalls::DetachCaller(const CallPointer& call) {
  this->NoteEnd(*call, RequestEnd::kCallerLeft, CallReason::kNone);
  call->is_left = true;
  call->exchange =
      std::make_shared<CallerExchange>(std::weak_ptr<CallerSession>());
}

}  // namespace almondlink::relay
