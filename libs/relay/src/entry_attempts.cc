#include <algorithm>
#include <vector>

#include "almondlink/base/event_log.h"
#include "almondlink/control/placement.h"
#include "almondlink/relay/entry_calls.h"
#include "answer_text.h"
#include "entry_call.h"

namespace almondlink::relay {

namespace {

constexpr std::uint32_t kMisdirected = 421;
constexpr std::uint32_t kServerError = 500;
/// Sends that were turned back before the target, for one request.
constexpr std::uint32_t kMostMoves = 4;
/// A root request may wait this part of its latency target for a slot: longer
/// would use up the time that its calls need.
constexpr std::int64_t kRootWaitPart = 2;

}  // namespace

void EntryCalls::Assign(const CallPointer& call, const PeerPointer& peer) {
  if (call->peer != nullptr) {
    --call->peer->outstanding;
  }
  call->peer = peer;
  if (peer != nullptr) {
    ++peer->outstanding;
  }
}

/// Whether calls may be sent to the target beside that node.
bool EntryCalls::IsOpen(const Peer& peer) {
  return peer.IsReachable() && !peer.is_suspect && !peer.reported.is_stopping &&
         peer.reported.state == InstanceState::kReady;
}

/// Where the call may go next: to a target that did not get it, while its route
/// allows another, or to one that refused it without running.
PeerPointer EntryCalls::NextPeer(const Call& call) {
  if (call.reached.size() < call.route->attempts) {
    PeerPointer other = this->ChoosePeer(call, false);
    if (other != nullptr) {
      return other;
    }
  }
  return call.refused_by.empty() ? nullptr : this->ChoosePeer(call, true);
}

PeerPointer EntryCalls::ChoosePeer(const Call& call, bool is_among_refused) {
  const std::vector<PeerPointer>& members =
      this->peers.PeersOfService(call.service);
  std::vector<control::PlacementTarget> views;
  views.reserve(members.size());
  for (const PeerPointer& peer : members) {
    control::PlacementTarget view;
    view.is_own_zone = peer->reported.zone == this->settings.zone.Value();
    view.is_open = IsOpen(*peer);
    const std::vector<std::string>& names =
        is_among_refused ? call.refused_by : call.tried;
    const bool is_named =
        std::find(names.begin(), names.end(), peer->node.name) != names.end();
    view.is_tried = is_named != is_among_refused;
    view.slots = std::max(1U, peer->reported.slots);
    view.reported_load = peer->reported.running + peer->reported.waiting;
    view.sent_since = peer->sent_since_report;
    view.work_ms = peer->reported.work_ms;
    view.health = peer->health;
    view.error_rate = peer->reported.error_rate;
    views.push_back(view);
  }
  const control::PlacementDraws draws{this->Draw(), this->Draw(), this->Draw(),
                                      this->Draw()};
  const Millis now = BootTimeNow();
  control::PlacementRules rules = this->settings.decisions.placement;
  const auto latency_target =
      static_cast<double>(call.route->latency_target.count);
  rules.acceptable_ms = this->settings.decisions.zone_patience * latency_target;
  rules.error_penalty_ms =
      this->settings.decisions.error_targets * latency_target;
  std::optional<std::size_t> place =
      control::ChoosePlacementTarget(rules, views, now, draws);
  if (!place.has_value()) {
    // A target that leaves still serves for a while; better than nobody.
    for (std::size_t i = 0; i < members.size(); ++i) {
      views[i].is_open = members[i]->IsReachable() &&
                         members[i]->reported.state == InstanceState::kDraining;
    }
    place = control::ChoosePlacementTarget(rules, views, now, draws);
  }
  return place.has_value() ? members[*place] : nullptr;
}

void EntryCalls::Attempt(const CallPointer& call) {
  if (call->tried.empty() && !this->IsStillKnown(*call)) {
    this->Finish(call);
    this->RefuseKey(call, kStatusUnauthorized, "revoked");
    return;
  }
  if (!this->PassBlame(call)) {
    return;
  }
  const PeerPointer peer = this->NextPeer(*call);
  if (peer == nullptr) {
    if (!this->WaitsForTarget(call)) {
      this->FinishFailed(call, CallReason::kNoInstance);
    }
    return;
  }
  this->SendTo(call, peer);
}

bool EntryCalls::WaitsForTarget(const CallPointer& call) {
  if (!call->tried.empty()) {
    return false;
  }
  const Millis now = BootTimeNow();
  if (call->waits_until == Millis{0}) {
    const auto known = this->last_open.find(call->service);
    const Millis last =
        known == this->last_open.end() ? this->started : known->second;
    call->waits_until =
        now + control::MaxWaitForTarget(
                  this->settings.decisions.wait_for_target, now - last,
                  call->is_root, call->route->latency_target,
                  call->deadline - now);
  }
  if (now >= call->waits_until) {
    return false;
  }
  this->waiting.push_back(call);
  return true;
}

/// Sends what waited for a target that is there now; the rest waits on or ends.
void EntryCalls::RetryWaiting() {
  std::vector<std::weak_ptr<Call>> before;
  before.swap(this->waiting);
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
  // An id is used for one attempt only: a late answer of an earlier one finds
  // nobody.
  if (call->attempts + call->moves > 0) {
    this->calls.erase(call->id);
    this->ends.erase({call->end.count, call->id});
    call->id = ++this->last_id;
    this->calls.emplace(call->id, call);
    this->ends.emplace(call->end.count, call->id);
  }
  Assign(call, peer);
  call->tried.push_back(peer->node.name);
  call->chosen_load =
      peer->reported.running + peer->reported.waiting + peer->sent_since_report;
  call->chosen_slots = peer->reported.slots;
  call->chosen_age = now - peer->reported_at;
  ++peer->sent_since_report;
  control::RecordSent(now, peer->health);
  CallFrame frame;
  frame.id = call->id;
  frame.sent_ms = static_cast<std::uint64_t>(now.count);
  frame.remaining_ms = static_cast<std::uint32_t>(left.count);
  const Millis root_wait{call->route->latency_target.count / kRootWaitPart};
  frame.wait_ms = static_cast<std::uint32_t>(
      call->is_root ? std::min(left, root_wait).count : left.count);
  frame.is_repeatable = call->route->is_repeatable;
  frame.is_repeat = call->info.is_repeat || call->attempts > 0;
  frame.depth = call->info.depth;
  frame.priority = call->info.priority;
  frame.root_route = call->info.root_route;
  frame.root_hash = call->info.root_hash;
  frame.instance = peer->reported.instance;
  frame.caller_service = this->settings.service.Value();
  frame.request_id = call->head.id;
  frame.method = call->head.method;
  frame.target = call->head.target;
  frame.fields = call->head.fields;
  frame.body = call->body;
  if (!call->is_counted) {
    call->is_counted = true;
    control::RepeatAllowance& allowance = this->AllowanceOf(call->service);
    if (call->info.is_repeat) {
      // Made by a run that was itself a repeat: it counts as one, and not as a
      // request of its own.
      control::RecordRepeat(this->Repeats(), now, allowance);
    } else {
      control::RecordRequest(this->Repeats(), now, allowance);
    }
  }
  if (peer->is_self) {
    this->served.OnCall(kLocalLink, frame, Millis{0});
    return;
  }
  Append(frame, peer->link->OutputBuffer());
  peer->link->ScheduleFlush();
}

void EntryCalls::OnAnswer(const PeerPointer& peer, const AnswerFrame& frame) {
  peer->reported.running = frame.running;
  peer->reported.waiting = frame.waiting;
  peer->reported.error_rate = frame.error_rate;
  peer->sent_since_report = 0;
  const auto found = this->calls.find(frame.id);
  if (found == this->calls.end() || found->second->peer != peer) {
    if (frame.reason == CallReason::kTargetCrashed) {
      this->OnEndAfterLeft(peer, frame.id);
    }
    return;
  }
  const CallPointer call = found->second;
  if (this->NoteOutcome(*call, peer, frame)) {
    LogEvent(kEventTargetSetAside,
             {{"target", peer->reported.instance}, {"node", peer->node.name}});
  }
  const bool is_refused = frame.outcome == CallOutcome::kRefusedByTarget &&
                          frame.status != kMisdirected;
  if (is_refused) {
    call->refused_by.push_back(peer->node.name);
  }
  if (frame.outcome != CallOutcome::kAnswered) {
    this->OnFailedAttempt(call, frame.outcome, frame.reason);
    return;
  }
  if (!frame.has_more) {
    this->NoteWholeRun(call);
  }
  control::AddCounts(frame.run_counts, call->ran);
  const bool is_error = frame.status >= kServerError;
  control::RecordAnswerError(is_error, peer->health);
  const bool may_repeat = is_error && !frame.has_more &&
                          call->route->is_repeatable &&
                          this->MayMakeGood(*call, peer);
  if (may_repeat) {
    ++call->attempts;
    call->reached.push_back(peer->node.name);
    call->may_have_run = true;
    const PeerPointer next = this->NextPeer(*call);
    if (next != nullptr &&
        this->MayRepeat(BootTimeNow(), *call, CallReason::kNone)) {
      if (WouldLog(kEventSentAgain)) {
        LogEvent(kEventSentAgain,
                 {{"request", call->head.id},
                  {"parent", this->ParentOf(*call)},
                  {"after", "status " + std::to_string(frame.status)},
                  {"target", peer->reported.instance}});
      }
      call->kept =
          KeptAnswer{frame.status, std::string(frame.status_text),
                     std::string(frame.fields), std::string(frame.body)};
      this->SendTo(call, next);
      return;
    }
  }
  this->PassAnswer(call, frame);
}

/// True if the target was set aside by it.
bool EntryCalls::NoteOutcome(const Call& call,
                             const PeerPointer& peer,
                             const AnswerFrame& frame) {
  const bool is_failure = frame.outcome == CallOutcome::kBroken ||
                          frame.reason == CallReason::kConnectFailed ||
                          frame.outcome == CallOutcome::kRefusedByTarget;
  return control::RecordOutcome(this->settings.decisions.health, BootTimeNow(),
                                is_failure, this->FailingOfOthers(call, peer),
                                peer->health);
}

/// How often the other targets of the call's service fail, on average.
double EntryCalls::FailingOfOthers(const Call& call, const PeerPointer& peer) {
  double sum = 0;
  std::uint32_t others = 0;
  for (const PeerPointer& other : this->peers.PeersOfService(call.service)) {
    if (other != peer && IsOpen(*other)) {
      sum += other->health.failure_rate;
      ++others;
    }
  }
  return others == 0 ? 0 : sum / others;
}

void EntryCalls::OnFailedAttempt(const CallPointer& call,
                                 CallOutcome outcome,
                                 CallReason reason) {
  if (reason == CallReason::kTargetCrashed) {
    this->NoteTargetEnd(call, call->peer);
  }
  this->EndTrial(call, "undecided");
  const Millis now = BootTimeNow();
  const std::string instance =
      call->peer == nullptr ? std::string() : call->peer->reported.instance;
  bool goes_on = false;
  if (outcome == CallOutcome::kNotSent) {
    const bool is_final =
        reason == CallReason::kDeadline || reason == CallReason::kFull;
    ++call->moves;
    goes_on = !is_final && call->moves <= kMostMoves;
    if (goes_on) {
      this->counts.NoteMove(*call->route, reason);
    }
  } else {
    ++call->attempts;
    if (call->peer != nullptr) {
      call->reached.push_back(call->peer->node.name);
    }
    const bool may_have_run = outcome == CallOutcome::kBroken;
    call->may_have_run = call->may_have_run || may_have_run;
    goes_on = (!may_have_run || call->route->is_repeatable) &&
              reason != CallReason::kTimeout &&
              this->NextPeer(*call) != nullptr &&
              this->MayRepeat(now, *call, reason);
  }
  const Event& event = goes_on ? kEventSentAgain : kEventAttemptFailed;
  if (WouldLog(event)) {
    LogEvent(event,
             {{"request", call->head.id},
              {"parent", this->ParentOf(*call)},
              {"after", ToString(reason)},
              {"sent", outcome == CallOutcome::kNotSent ? "no" : "yes"},
              {"target", instance},
              {"attempts", std::to_string(call->attempts)},
              {"load", std::to_string(call->chosen_load)},
              {"slots", std::to_string(call->chosen_slots)},
              {"told_age_ms", std::to_string(call->chosen_age.count)},
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
    if (call->is_long) {
      const CallerExchangePointer exchange = call->exchange;
      this->Finish(call);
      exchange->EndLong(true);
      continue;
    }
    this->OnFailedAttempt(call, CallOutcome::kBroken, CallReason::kLinkLost);
  }
}

/// The node does not answer, though its link is open: the host may stand still,
/// or the way is cut. What may run again is tried elsewhere; the rest may still
/// be answered.
void EntryCalls::OnSuspect(const PeerPointer& peer) {
  std::vector<CallPointer> waiting;
  for (const auto& [id, call] : this->calls) {
    if (call->peer == peer && !call->is_long && call->route->is_repeatable) {
      waiting.push_back(call);
    }
  }
  for (const CallPointer& call : waiting) {
    this->MoveFromSuspect(call);
  }
}

void EntryCalls::MoveFromSuspect(const CallPointer& call) {
  // What is tried there, or held by now, is not taken elsewhere.
  if (call->is_on_trial || this->IsHeld(*call)) {
    return;
  }
  // The attempt that is out is given up only for one that can be made: where
  // the other targets leave or are set aside, it may still be answered.
  ++call->attempts;
  call->reached.push_back(call->peer->node.name);
  const PeerPointer next = this->NextPeer(*call);
  if (next == nullptr ||
      !this->MayRepeat(BootTimeNow(), *call, CallReason::kTimeout)) {
    --call->attempts;
    call->reached.pop_back();
    return;
  }
  call->may_have_run = true;
  if (WouldLog(kEventSentAgain)) {
    LogEvent(kEventSentAgain, {{"request", call->head.id},
                               {"parent", this->ParentOf(*call)},
                               {"after", "node-silent"},
                               {"target", call->peer->reported.instance}});
  }
  this->DropAttempt(call);
  this->SendTo(call, next);
}

/// Ends the attempt that is out, at the target too.
void EntryCalls::DropAttempt(const CallPointer& call) {
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
