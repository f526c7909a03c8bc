#include "almondlink/relay/entry_calls.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <utility>
#include <vector>

#include "almondlink/base/event_log.h"
#include "almondlink/control/placement.h"

namespace almondlink::relay {

namespace {

constexpr std::uint32_t kBadGateway = 502;
constexpr std::uint32_t kUnavailable = 503;
constexpr std::uint32_t kGatewayTimeout = 504;
constexpr std::uint32_t kNotFound = 404;
constexpr std::uint32_t kServerError = 500;
/// Sends that were turned back before the target, for one request.
constexpr std::uint32_t kMostMoves = 4;
/// A root request may wait this part of its latency target for a slot: longer
/// would use up the time that its calls need.
constexpr std::int64_t kRootWaitPart = 2;
/// Time left below which a request is not sent once more.
constexpr Millis kLeastForRepeat{30};
/// Advice when to come back if nothing is known of the route, and the shortest.
constexpr Millis kShortestWait{300};
constexpr Millis kShortestReturn{50};
/// Middle of the advice, as a part of the route's latency target.
constexpr double kReturnPart = 0.25;
constexpr double kMillisPerSecond = 1000;
constexpr double kMicrosPerMilli = 1000;
/// Change of a share that is worth a line in the log.
constexpr double kLoggedStep = 0.1;

std::string_view StatusText(std::uint32_t status) {
  switch (status) {
    case kBadGateway:
      return "Bad Gateway";
    case kUnavailable:
      return "Service Unavailable";
    case kGatewayTimeout:
      return "Gateway Timeout";
    default:
      return "Not Found";
  }
}

}  // namespace

struct EntryCalls::Call {
  std::uint32_t id = 0;
  RequestHead head;
  std::string body;
  CallerExchangePointer exchange;
  policy::RouteTablePointer table;
  const policy::Route* route = nullptr;
  std::string service;
  bool is_root = true;
  RunInfo info;
  Millis arrived;
  /// When the caller stops waiting, and when the route does.
  Millis deadline;
  Millis end;
  LatencyMs started;
  // The attempt that is out, if any.
  PeerPointer peer;
  std::vector<std::string> tried;
  /// Sends that a target got; sends that were turned back before it.
  std::uint32_t attempts = 0;
  std::uint32_t moves = 0;
  bool may_have_run = false;
  bool is_long = false;
  /// What the target was chosen by, for the log.
  std::uint32_t chosen_load = 0;
  std::uint32_t chosen_slots = 0;
  Millis chosen_age;
};

void EntryCalls::Assign(const CallPointer& call, const PeerPointer& peer) {
  if (call->peer != nullptr) {
    --call->peer->outstanding;
  }
  call->peer = peer;
  if (peer != nullptr) {
    ++peer->outstanding;
  }
}

EntryCalls::EntryCalls(const RelaySettings& settings_in,
                       PeerTable& peers_in,
                       ServedCalls& served_in)
    : settings(settings_in),
      peers(peers_in),
      served(served_in),
      random(std::random_device()()) {}

EntryCalls::~EntryCalls() = default;

void EntryCalls::SetTable(policy::RouteTablePointer table_in) {
  this->table = std::move(table_in);
  this->part_sums.clear();
  for (const policy::Route& route : this->table->routes) {
    const auto known = this->admission.routes.find(route.key.Value());
    if (known != this->admission.routes.end()) {
      known->second.priority = route.priority;
    }
  }
}

std::string EntryCalls::ParentOf(const Call& call) const {
  return std::string(this->settings.parent_of(call.head.id));
}

double EntryCalls::Draw() {
  return std::uniform_real_distribution<double>(0, 1)(this->random);
}

/// Smooth weighted choice: the part that is furthest behind its weight.
const policy::RoutePart* EntryCalls::ChoosePart(const policy::Route& route) {
  if (route.parts.size() < 2) {
    return route.parts.empty() ? nullptr : &route.parts.front();
  }
  std::vector<double>& sums = this->part_sums[route.key.Value()];
  if (sums.size() != route.parts.size()) {
    // Nodes begin at different places, or all would send their first requests
    // to the same part.
    sums.clear();
    for (const policy::RoutePart& part : route.parts) {
      sums.push_back(part.weight * this->Draw());
    }
  }
  double total = 0;
  std::size_t best = 0;
  for (std::size_t i = 0; i < sums.size(); ++i) {
    total += route.parts[i].weight;
    sums[i] += route.parts[i].weight;
    best = sums[i] > sums[best] ? i : best;
  }
  sums[best] -= total;
  return &route.parts[best];
}

void EntryCalls::OnRequest(RequestHead head,
                           std::string body,
                           const CallerExchangePointer& exchange) {
  ++this->counters.requests;
  const CallPointer call = std::make_shared<Call>();
  call->head = std::move(head);
  call->body = std::move(body);
  call->exchange = exchange;
  call->arrived = BootTimeNow();
  call->started = PreciseNow();
  call->table = this->table;
  if (this->table == nullptr) {
    this->RefuseNotRun(call, CallReason::kNone, kShortestWait);
    return;
  }
  call->route = this->table->Find(call->head.host, call->head.target);
  const policy::RoutePart* part =
      call->route == nullptr ? nullptr : this->ChoosePart(*call->route);
  if (part == nullptr) {
    ++this->counters.no_route;
    if (WouldLog(kEventNoRoute)) {
      LogEvent(kEventNoRoute,
               {{"request", call->head.id},
                {"parent", this->ParentOf(*call)},
                {"host", call->head.host},
                {"path", call->head.target},
                {"version", std::to_string(this->table->version)}});
    }
    exchange->Answer(kNotFound, StatusText(kNotFound), "", "");
    return;
  }
  call->service = part->service.Value();
  const Millis waits =
      call->head.time_left_ms.has_value()
          ? std::min(Millis{*call->head.time_left_ms}, call->route->timeout)
          : call->route->timeout;
  call->deadline = call->arrived + waits;
  call->end = call->deadline;
  call->info.root_route = call->route->key.Value();
  call->info.priority = static_cast<std::uint8_t>(
      std::min<std::uint32_t>(call->route->priority, 255));
  const std::string_view parent = this->settings.parent_of(call->head.id);
  if (!parent.empty()) {
    call->is_root = false;
    const std::optional<RunInfo> run =
        this->served.FindRun(std::string(parent));
    if (run.has_value()) {
      this->served.NoteCallOfRun();
      call->info = *run;
      call->deadline = std::min(call->deadline, run->deadline);
    }
    call->info.depth =
        static_cast<std::uint8_t>(std::min<int>(call->info.depth + 1, 255));
  }
  if (call->is_root) {
    if (!this->AdmitRoot(call)) {
      return;
    }
  }
  call->id = ++this->last_id;
  this->calls.emplace(call->id, call);
  this->ends.emplace(call->end.count, call->id);
  const std::weak_ptr<Call> weak = call;
  exchange->on_gone = [this, weak]() {
    if (const CallPointer open = weak.lock()) {
      this->Abandon(open);
    }
  };
  this->Attempt(call);
}

bool EntryCalls::AdmitRoot(const CallPointer& call) {
  if (control::LetIn(call->info.root_route, call->route->priority, this->Draw(),
                     this->admission)) {
    return true;
  }
  ++this->counters.refused_at_entry;
  const Millis wait = this->RetryAfter(*call);
  if (WouldLog(kEventRefusedAtEntry)) {
    const double share =
        control::ShareOf(call->info.root_route, this->admission);
    LogEvent(kEventRefusedAtEntry,
             {{"request", call->head.id},
              {"parent", this->ParentOf(*call)},
              {"route", call->route->name},
              {"share", std::to_string(share)},
              {"share_age_ms",
               std::to_string((call->arrived - this->admission.updated).count)},
              {"version", std::to_string(call->table->version)},
              {"retry_after_ms", std::to_string(wait.count)}});
  }
  this->RefuseNotRun(call, CallReason::kFull, wait);
  return false;
}

/// When a refused caller should come back: early enough that an answer then is
/// still worth its whole value, and spread, so that those refused together do
/// not return together. Longer waits were measured (docs/RESULTS.md): callers
/// come back in any case, and what they get is late.
Millis EntryCalls::RetryAfter(const Call& call) {
  if (call.route == nullptr) {
    return kShortestWait;
  }
  const double middle =
      kReturnPart * static_cast<double>(call.route->latency_target.count);
  const Millis spread{static_cast<std::int64_t>(middle * (0.5 + this->Draw()))};
  return std::max(kShortestReturn, spread);
}

PeerPointer EntryCalls::ChoosePeer(const Call& call) {
  const std::vector<PeerPointer>& members = this->peers.Of(call.service);
  std::vector<control::PlaceView> views;
  views.reserve(members.size());
  for (const PeerPointer& peer : members) {
    control::PlaceView view;
    view.is_own_zone = peer->told.zone == this->settings.zone.Value();
    view.is_open = peer->IsReachable() && !peer->is_suspect &&
                   !peer->told.is_stopping &&
                   peer->told.state == InstanceState::kReady;
    view.is_tried = std::find(call.tried.begin(), call.tried.end(),
                              peer->node.name) != call.tried.end();
    view.slots = std::max(1U, peer->told.slots);
    view.told_load = peer->told.running + peer->told.waiting;
    view.sent_since = peer->sent_since;
    view.work_ms = peer->told.work_ms;
    view.health = peer->health;
    views.push_back(view);
  }
  const control::PlaceDraws draws{this->Draw(), this->Draw(), this->Draw(),
                                  this->Draw()};
  const Millis now = BootTimeNow();
  std::optional<std::size_t> place = control::ChoosePlace(views, now, draws);
  if (!place.has_value()) {
    // A target that leaves still serves for a while; better than nobody.
    for (std::size_t i = 0; i < members.size(); ++i) {
      views[i].is_open = members[i]->IsReachable() &&
                         members[i]->told.state == InstanceState::kDraining;
    }
    place = control::ChoosePlace(views, now, draws);
  }
  return place.has_value() ? members[*place] : nullptr;
}

void EntryCalls::Attempt(const CallPointer& call) {
  const PeerPointer peer = this->ChoosePeer(*call);
  if (peer == nullptr) {
    this->FinishFailed(call, CallReason::kNoInstance);
    return;
  }
  this->SendTo(call, peer);
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
      peer->told.running + peer->told.waiting + peer->sent_since;
  call->chosen_slots = peer->told.slots;
  call->chosen_age = now - peer->told_at;
  ++peer->sent_since;
  control::NoteSent(now, peer->health);
  CallFrame frame;
  frame.id = call->id;
  frame.sent_ms = static_cast<std::uint64_t>(now.count);
  frame.left_ms = static_cast<std::uint32_t>(left.count);
  const Millis root_wait{call->route->latency_target.count / kRootWaitPart};
  frame.wait_ms = static_cast<std::uint32_t>(
      call->is_root ? std::min(left, root_wait).count : left.count);
  frame.is_repeatable = call->route->is_repeatable;
  frame.is_repeat = call->info.is_repeat || call->attempts > 0;
  frame.depth = call->info.depth;
  frame.priority = call->info.priority;
  frame.root_route = call->info.root_route;
  frame.instance = peer->told.instance;
  frame.caller_service = this->settings.service.Value();
  frame.request_id = call->head.id;
  frame.method = call->head.method;
  frame.target = call->head.target;
  frame.fields = call->head.fields;
  frame.body = call->body;
  control::RepeatAllowance& allowance = this->allowances[call->service];
  if (call->attempts == 0) {
    control::NoteRequest(this->Repeats(), now, allowance);
    if (call->info.is_repeat) {
      control::NoteRepeat(this->Repeats(), now, allowance);
    }
  }
  if (peer->is_self) {
    this->served.OnCall(kOwnNode, frame, Millis{0});
    return;
  }
  Append(frame, peer->link->Out());
  peer->link->FlushSoon();
}

control::RepeatRules EntryCalls::Repeats() const {
  control::RepeatRules rules = this->settings.repeats;
  rules.nodes = std::max<std::uint32_t>(
      1, static_cast<std::uint32_t>(this->peers.All().size()));
  return rules;
}

void EntryCalls::OnAnswer(const PeerPointer& peer, const AnswerFrame& frame) {
  peer->told.running = frame.running;
  peer->told.waiting = frame.waiting;
  peer->sent_since = 0;
  const auto found = this->calls.find(frame.id);
  if (found == this->calls.end() || found->second->peer != peer) {
    return;
  }
  const CallPointer call = found->second;
  const bool is_failure = frame.outcome == CallOutcome::kBroken ||
                          frame.reason == CallReason::kConnectFailed ||
                          frame.outcome == CallOutcome::kRefusedByTarget;
  if (control::NoteHealth(BootTimeNow(), is_failure, peer->health)) {
    LogEvent(kEventTargetSetAside,
             {{"target", peer->told.instance}, {"node", peer->node.name}});
  }
  if (frame.outcome != CallOutcome::kAnswered) {
    this->OnFailedAttempt(call, frame.outcome, frame.reason);
    return;
  }
  const bool may_repeat = frame.status >= kServerError && !frame.has_more &&
                          call->route->is_repeatable;
  if (may_repeat) {
    ++call->attempts;
    call->may_have_run = true;
    if (this->MayRepeat(BootTimeNow(), *call)) {
      LogEvent(kEventSentAgain,
               {{"request", call->head.id},
                {"parent", this->ParentOf(*call)},
                {"after", "status " + std::to_string(frame.status)},
                {"target", peer->told.instance}});
      this->Attempt(call);
      return;
    }
  }
  this->PassAnswer(call, frame);
}

void EntryCalls::PassAnswer(const CallPointer& call, const AnswerFrame& frame) {
  ++this->counters.answered;
  const double took = PreciseNow().count - call->started.count;
  this->added.Add(LatencyMs{took - frame.work_us / kMicrosPerMilli});
  if (WouldLog(kEventAnswered)) {
    LogEvent(kEventAnswered,
             {{"request", call->head.id},
              {"parent", this->ParentOf(*call)},
              {"route", call->route->name},
              {"target", call->peer->told.instance},
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
      this->served.OnWindow(kOwnNode, open->id,
                            static_cast<std::uint32_t>(bytes));
    } else if (open->peer->link != nullptr) {
      Append(WindowFrame{open->id, static_cast<std::uint32_t>(bytes)},
             open->peer->link->Out());
      open->peer->link->FlushSoon();
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
    const CallerExchangePointer exchange = call->exchange;
    this->Finish(call);
    exchange->EndLong(frame.is_broken);
  }
}

bool EntryCalls::MayRepeat(Millis now, const Call& call) {
  if (call.attempts >= call.route->attempts ||
      call.deadline - now < kLeastForRepeat) {
    return false;
  }
  const std::vector<PeerPointer>& members = this->peers.Of(call.service);
  const bool has_other = std::any_of(
      members.begin(), members.end(), [&call](const PeerPointer& peer) {
        return peer->IsReachable() && !peer->is_suspect &&
               peer->told.state == InstanceState::kReady &&
               std::find(call.tried.begin(), call.tried.end(),
                         peer->node.name) == call.tried.end();
      });
  if (!has_other) {
    return false;
  }
  // A run that makes calls repeats them too, so it takes so much less of the
  // bound that the sum over all services of a chain stays within it.
  control::RepeatRules rules = this->Repeats();
  double calls_per_run = 0;
  for (const PeerPointer& peer : members) {
    calls_per_run = std::max(calls_per_run, peer->told.calls_per_run);
  }
  rules.used_part /= 1 + calls_per_run;
  if (!control::TakeRepeat(rules, now, this->allowances[call.service])) {
    return false;
  }
  ++this->counters.repeats;
  return true;
}

void EntryCalls::OnFailedAttempt(const CallPointer& call,
                                 CallOutcome outcome,
                                 CallReason reason) {
  const Millis now = BootTimeNow();
  const std::string instance =
      call->peer == nullptr ? std::string() : call->peer->told.instance;
  bool goes_on = false;
  if (outcome == CallOutcome::kNotSent) {
    const bool is_final =
        reason == CallReason::kDeadline || reason == CallReason::kFull;
    ++call->moves;
    goes_on = !is_final && call->moves <= kMostMoves;
    this->counters.moved += goes_on ? 1 : 0;
  } else {
    ++call->attempts;
    const bool may_have_run = outcome == CallOutcome::kBroken;
    call->may_have_run = call->may_have_run || may_have_run;
    goes_on = (!may_have_run || call->route->is_repeatable) &&
              reason != CallReason::kTimeout && this->MayRepeat(now, *call);
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
  ++call->attempts;
  call->may_have_run = true;
  if (!this->MayRepeat(BootTimeNow(), *call)) {
    // Nothing is lost by waiting on.
    --call->attempts;
    return;
  }
  if (WouldLog(kEventSentAgain)) {
    LogEvent(kEventSentAgain, {{"request", call->head.id},
                               {"parent", this->ParentOf(*call)},
                               {"after", "node-silent"},
                               {"target", call->peer->told.instance}});
  }
  this->DropAttempt(call);
  this->Attempt(call);
}

void EntryCalls::FinishFailed(const CallPointer& call, CallReason reason) {
  this->Finish(call);
  if (!call->may_have_run) {
    this->RefuseNotRun(call, reason, this->RetryAfter(*call));
    return;
  }
  const bool is_late =
      reason == CallReason::kTimeout || reason == CallReason::kDeadline;
  const std::uint32_t status = is_late ? kGatewayTimeout : kBadGateway;
  ++(is_late ? this->counters.timed_out : this->counters.unknown);
  LogEvent(kEventOutcomeUnknown, {{"request", call->head.id},
                                  {"parent", this->ParentOf(*call)},
                                  {"status", std::to_string(status)},
                                  {"reason", ToString(reason)},
                                  {"route", call->route->name}});
  call->exchange->Answer(status, StatusText(status), "", "");
}

void EntryCalls::RefuseNotRun(const CallPointer& call,
                              CallReason reason,
                              Millis wait) {
  ++this->counters.not_run;
  // A refusal at entry has a line of its own.
  const bool is_new = call->id != 0 || call->route == nullptr;
  if (is_new && WouldLog(kEventNotRun)) {
    LogEvent(
        kEventNotRun,
        {{"request", call->head.id},
         {"parent", this->ParentOf(*call)},
         {"reason", call->table == nullptr ? "no-policy" : ToString(reason)},
         {"service", call->service},
         {"retry_after_ms", std::to_string(wait.count)}});
  }
  std::array<char, 40> field{};
  std::snprintf(field.data(), field.size(), "Retry-After: %.2f\r\n",
                static_cast<double>(wait.count) / kMillisPerSecond);
  call->exchange->Answer(kUnavailable, StatusText(kUnavailable), field.data(),
                         "");
}

void EntryCalls::Finish(const CallPointer& call) {
  Assign(call, nullptr);
  this->calls.erase(call->id);
  this->ends.erase({call->end.count, call->id});
  call->exchange->on_gone = nullptr;
}

/// Ends the attempt that is out, at the target too.
void EntryCalls::DropAttempt(const CallPointer& call) {
  const PeerPointer peer = call->peer;
  if (peer == nullptr) {
    return;
  }
  if (peer->is_self) {
    this->served.OnCancel(kOwnNode, call->id);
  } else if (peer->link != nullptr) {
    AppendCancel(call->id, peer->link->Out());
    peer->link->FlushSoon();
  }
}

void EntryCalls::Abandon(const CallPointer& call) {
  ++this->counters.cancelled;
  if (WouldLog(kEventCallerLeft)) {
    LogEvent(
        kEventCallerLeft,
        {{"request", call->head.id},
         {"parent", this->ParentOf(*call)},
         {"route", call->route->name},
         {"after_ms", std::to_string((BootTimeNow() - call->arrived).count)}});
  }
  this->DropAttempt(call);
  this->Finish(call);
}

void EntryCalls::TimeOut(const CallPointer& call) {
  // A call that is out may be running: only its node could tell.
  call->may_have_run = call->may_have_run || call->peer != nullptr;
  this->DropAttempt(call);
  this->FinishFailed(call, CallReason::kTimeout);
}

void EntryCalls::Sweep(Millis now) {
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

void EntryCalls::UpdateAdmission(Millis now) {
  control::UpdateRootRates(now, this->admission);
  std::map<std::string, control::ServiceRoom> rooms;
  std::map<std::uint32_t, control::RootRate> roots;
  for (const PeerPointer& peer : this->peers.All()) {
    if (!peer->IsReachable()) {
      continue;
    }
    const StateFrame& told = peer->told;
    const std::vector<control::RootRate> rates =
        peer->is_self ? control::OwnRates(this->admission) : told.roots;
    for (const control::RootRate& rate : rates) {
      control::RootRate& sum = roots[rate.route];
      sum.offered_per_s += rate.offered_per_s;
      sum.let_in_per_s += rate.let_in_per_s;
    }
    if (told.instance.empty()) {
      continue;
    }
    control::TargetRoom target;
    const bool is_open =
        told.state == InstanceState::kReady && !told.is_stopping;
    target.slots = is_open ? told.slots : 0;
    target.waiting = told.waiting;
    target.work_ms = told.work_ms;
    target.demand = told.demand;
    control::ServiceRoom& room = rooms[told.service];
    room.service = told.service;
    room.targets.push_back(std::move(target));
  }
  std::vector<control::ServiceRoom> services;
  services.reserve(rooms.size());
  for (auto& [service, room] : rooms) {
    services.push_back(std::move(room));
  }
  control::UpdateShares(control::ChainRules(), services, roots,
                        this->admission);
  this->LogShares();
}

/// A line when a share has moved by a tenth since the last line.
void EntryCalls::LogShares() {
  for (const auto& [route, state] : this->admission.routes) {
    const auto [logged, is_new] = this->logged_shares.emplace(route, 1.0);
    if (std::abs(logged->second - state.share) >= kLoggedStep) {
      logged->second = state.share;
      LogEvent(kEventShareChanged,
               {{"route", std::to_string(route)},
                {"share", std::to_string(state.share)},
                {"bound_by", state.bound_by},
                {"offered_per_s", std::to_string(state.offered.per_s)}});
    }
  }
}

void EntryCalls::EndAll() {
  while (!this->calls.empty()) {
    this->TimeOut(CallPointer(this->calls.begin()->second));
  }
}

}  // namespace almondlink::relay
