#include "almondlinkd/target_side.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

#include "almondlink/base/event_log.h"
#include "almondlinkd/at_most_once.h"
#include "almondlinkd/lost_calls.h"
#include "almondlinkd/target_call.h"
#include "almondlinkd/target_ends.h"
#include "almondlinkd/target_rules.h"

namespace almondlink::daemon {

namespace {

constexpr Millis kTickBusy{5};
constexpr Millis kTickIdle{50};
constexpr double kMicrosPerMilli = 1000;

using TargetCallPointer = std::shared_ptr<TargetCall>;

}  // namespace

class TargetSide::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& loop,
       SharedState& shared,
       record_log::ClaimWriter* claims,
       EndsHooks ends_hooks,
       AnswerSender send)
      : loop(loop),
        shared(shared),
        send(std::move(send)),
        ends(shared, std::move(ends_hooks)),
        lost(loop,
             shared.settings.target.address,
             [this](const LostCalls::List& calls, bool is_gone) {
               this->SettleLost(calls, is_gone);
             }),
        client(loop, TargetClientConfigOf(shared.settings)),
        tick_timer(loop),
        keys(std::make_shared<AtMostOnce>(loop,
                                          shared,
                                          claims,
                                          this->KeyHooksOf())) {
    control::StartAdmission(this->Rules(), MonotonicNow(), this->admission);
  }

  /// Second step of construction: needs shared_from_this.
  void Start() { this->ScheduleTick(); }

  void Stop() {
    this->is_stopped = true;
    this->tick_timer.cancel();
  }

  void OnCall(mesh::LinkId link, wire::Call call) {
    const TargetCallPointer target_call = std::make_shared<TargetCall>();
    target_call->link = link;
    target_call->call = std::move(call);
    const ErrorKind fault =
        CheckCall(this->shared, this->calls.size(), *target_call);
    if (fault != ErrorKind::kNone) {
      this->AnswerError(*target_call, fault);
      return;
    }
    if (target_call->call.is_mint) {
      this->Mint(*target_call);
      return;
    }
    // Before a key is claimed: elsewhere the claim would be a second use.
    const EndsStep step = this->ends.Judge(target_call->call, MonotonicNow());
    if (!step.may_run && !target_call->call.is_recall) {
      this->SendAnswer(*target_call, RefusalOf(step, *target_call));
      return;
    }
    const control::Ticket ticket(++this->last_ticket);
    this->calls[ticket] = target_call;
    this->tickets[{link, target_call->call.id}] = ticket;
    if (target_call->call.key.empty()) {
      this->Admit(ticket, target_call);
    } else {
      this->keys->Start(KeyedCall{ticket, target_call->call.key,
                                  target_call->call.is_recall,
                                  target_call->deadline});
    }
  }

  void OnCancel(mesh::LinkId link, std::uint64_t id) {
    const auto found = this->tickets.find({link, id});
    if (found != this->tickets.end()) {
      this->Abandon(found->second);
    }
  }

  void OnLinkClosed(mesh::LinkId link) {
    std::vector<control::Ticket> lost;
    for (const auto& [place, ticket] : this->tickets) {
      if (place.first == link) {
        lost.push_back(ticket);
      }
    }
    for (const control::Ticket ticket : lost) {
      this->Abandon(ticket);
    }
  }

  void OnEnds(const wire::EndsNews& news) {
    this->ends.OnNews(news, MonotonicNow());
  }

  std::size_t OpenCalls() const { return this->calls.size(); }

  TargetSideReport Report() const {
    TargetSideReport report =
        AdmissionReportOf(this->Rules(), MonotonicNow(), this->admission);
    report.dispatched = this->dispatched;
    report.refused = this->refused;
    report.keys = this->keys->Size();
    report.connections = this->client.ConnectionCount();
    report.client = this->client.Counts();
    report.calls = this->calls.size();
    report.target_time = this->target_time.Summary();
    return report;
  }

 private:
  control::AdmissionRules Rules() const {
    return AdmissionRulesOf(this->shared);
  }

  KeyHooks KeyHooksOf() {
    KeyHooks hooks;
    hooks.admit = [this](control::Ticket ticket) {
      this->Admit(ticket, this->calls.at(ticket));
    };
    hooks.finish = [this](control::Ticket ticket, const wire::Answer& answer) {
      this->FinishWith(ticket, answer);
    };
    hooks.is_open = [this](control::Ticket ticket) {
      return this->calls.count(ticket) != 0;
    };
    return hooks;
  }

  void Mint(const TargetCall& target_call) {
    this->SendAnswer(target_call, TextAnswer(this->keys->Mint()));
  }

  // ---- admission and dispatch ----

  void Admit(control::Ticket ticket, const TargetCallPointer& target_call) {
    control::AdmissionRequest request;
    request.ticket = ticket;
    request.criticality = static_cast<Criticality>(
        std::min(target_call->call.criticality, kCriticalityCount - 1));
    request.rank = control::RankOf(request.criticality, target_call->root);
    request.depth = target_call->call.depth;
    request.deadline = target_call->deadline;
    this->Apply(control::SubmitRequest(this->Rules(), MonotonicNow(), request,
                                       this->admission));
  }

  void Apply(const control::AdmissionStep& step) {
    if (step.is_pressure_changed) {
      LogEvent(kEventPressure,
               {{"level",
                 std::to_string(control::LevelOf(this->admission.pressure))}});
    }
    for (const control::Refusal& refusal : step.refuse) {
      this->Refuse(refusal);
    }
    for (const control::Ticket ticket : step.dispatch) {
      this->Dispatch(ticket);
    }
  }

  void Refuse(const control::Refusal& refusal) {
    ++this->refused;
    const auto found = this->calls.find(refusal.ticket);
    if (found == this->calls.end()) {
      return;
    }
    const std::string key = found->second->call.key;
    wire::Answer answer;
    answer.error = static_cast<std::uint32_t>(refusal.kind);
    answer.retry_after_ms =
        control::RetryAfter(control::LevelOf(this->admission.pressure)).count;
    if (!key.empty()) {
      this->keys->OnRefused(key, answer);
    }
    this->FinishWith(refusal.ticket, answer);
  }

  void Dispatch(control::Ticket ticket) {
    const auto found = this->calls.find(ticket);
    if (found == this->calls.end() || found->second->is_abandoned) {
      this->ReleasePlace();
      return;
    }
    const TargetCallPointer target_call = found->second;
    const std::string& key = target_call->call.key;
    // What ended targets may have become known while the call waited.
    const EndsStep step = this->ends.Judge(target_call->call, MonotonicNow());
    if (!step.may_run) {
      this->ReleasePlace();
      this->RefuseForEnds(ticket, step);
      return;
    }
    if (!key.empty() && !this->keys->TakeDispatch(key)) {
      this->ReleasePlace();
      this->Finish(ticket, ErrorKind::kDuplicate);
      return;
    }
    control::WorkContext context;
    context.root = target_call->root;
    context.deadline = target_call->deadline;
    context.criticality = static_cast<Criticality>(
        std::min(target_call->call.criticality, kCriticalityCount - 1));
    context.depth = target_call->call.depth;
    const std::optional<SpanId> span =
        this->shared.work.Begin(context, target_call->call.grant);
    if (!span.has_value()) {
      this->ReleasePlace();
      this->Refuse(control::Refusal{ticket, ErrorKind::kOverloaded});
      return;
    }
    if (step.is_on_trial) {
      target_call->is_on_trial = true;
      this->ends.BeginTrial(ticket, target_call->call);
    }
    ++this->dispatched;
    target_call->is_dispatched = true;
    target_call->span = *span;
    target_call->sent = this->client.RunningNow();
    target_call->at_target = this->client.Send(
        MakeRequest(*target_call),
        [weak = this->weak_from_this(), ticket](server::TargetAnswer answer) {
          if (const std::shared_ptr<Impl> self = weak.lock()) {
            self->OnTargetEvent(ticket, std::move(answer));
          }
        });
  }

  void RefuseForEnds(control::Ticket ticket, const EndsStep& step) {
    const TargetCallPointer target_call = this->calls.at(ticket);
    const wire::Answer answer = RefusalOf(step, *target_call);
    if (!target_call->call.key.empty()) {
      this->keys->OnRefused(target_call->call.key, answer);
    }
    this->FinishWith(ticket, answer);
  }

  /// A lost call waits until it is known whether the target's process is gone.
  void OnTargetEvent(control::Ticket ticket, server::TargetAnswer result) {
    const bool may_be_end = result.error == ErrorKind::kTargetLost &&
                            !this->shared.is_draining.load();
    if (!may_be_end) {
      this->OnTargetAnswer(ticket, std::move(result));
      return;
    }
    this->lost.Add(ticket, std::move(result));
  }

  void SettleLost(const LostCalls::List& settled, bool is_gone) {
    if (is_gone) {
      std::vector<EndedCall> ended;
      for (const auto& [ticket, result] : settled) {
        const auto found = this->calls.find(ticket);
        if (found != this->calls.end()) {
          ended.push_back({found->second->call, found->second->is_on_trial});
        }
      }
      this->ends.NoteEnd(ended, MonotonicNow());
    }
    for (const auto& [ticket, result] : settled) {
      this->OnTargetAnswer(ticket, result);
    }
  }

  void ReleasePlace() {
    this->Apply(
        control::ReleaseSlot(this->Rules(), MonotonicNow(), this->admission));
  }

  void OnTargetAnswer(control::Ticket ticket, server::TargetAnswer result) {
    const auto found = this->calls.find(ticket);
    if (found == this->calls.end()) {
      return;
    }
    const TargetCallPointer target_call = found->second;
    if (result.foreign > 0) {
      LogEvent(kEventTargetSurplus,
               {{"dropped", std::to_string(result.foreign)},
                {"error", AnswerFor(result.error).name}});
    }
    const LatencyMs took{this->client.RunningNow().count -
                         target_call->sent.count};
    wire::Answer answer = MakeAnswer(std::move(result));
    answer.target_us = static_cast<std::uint64_t>(took.count * kMicrosPerMilli);
    EndWork(*target_call, this->shared.work, answer);
    const ErrorKind kind = ErrorKindFrom(answer.error);
    this->EndPlace(*target_call, kind, took);
    if (!target_call->call.key.empty()) {
      this->keys->OnTargetAnswer(target_call->call.key, answer);
    }
    this->FinishWith(ticket, std::move(answer));
  }

  void EndPlace(const TargetCall& target_call, ErrorKind kind, LatencyMs took) {
    // Nothing is learned of the target's room from one that was never reached.
    if (kind == ErrorKind::kConnectFailed) {
      this->ReleasePlace();
      return;
    }
    if (kind == ErrorKind::kNone) {
      this->target_time.Add(took);
      this->ends.NoteWhole(target_call.call, MonotonicNow());
    }
    if (kind == ErrorKind::kTargetBadAnswer) {
      LogEvent(kEventTargetProtocol);
    }
    this->Apply(control::CompleteRequest(this->Rules(), MonotonicNow(), took,
                                         OutcomeOf(kind), this->admission));
  }

  // ---- ends ----

  /// The caller's side gave the call up. Waiting calls go, work that may repeat
  /// is cancelled at the target, at-most-once work goes on so that its outcome
  /// is known.
  void Abandon(control::Ticket ticket) {
    const TargetCallPointer target_call = this->calls.at(ticket);
    this->tickets.erase({target_call->link, target_call->call.id});
    target_call->is_abandoned = true;
    if (!target_call->is_dispatched) {
      control::CancelWaiting(ticket, this->admission);
      const std::string key = target_call->call.key;
      this->calls.erase(ticket);
      if (!key.empty()) {
        this->keys->OnAbandoned(ticket, key);
      }
      return;
    }
    if (target_call->call.key.empty()) {
      this->client.Cancel(target_call->at_target);
      this->shared.work.End(target_call->span);
      this->calls.erase(ticket);
      this->ends.EndTrial(ticket);
      this->ReleasePlace();
    }
  }

  void Finish(control::Ticket ticket, ErrorKind kind) {
    wire::Answer answer;
    answer.error = static_cast<std::uint32_t>(kind);
    this->FinishWith(ticket, std::move(answer));
  }

  void FinishWith(control::Ticket ticket, wire::Answer answer) {
    const auto found = this->calls.find(ticket);
    if (found == this->calls.end()) {
      return;
    }
    const TargetCallPointer target_call = found->second;
    this->calls.erase(found);
    this->ends.EndTrial(ticket);
    this->tickets.erase({target_call->link, target_call->call.id});
    if (!target_call->is_dispatched && answer.error != 0) {
      // Nothing was spent of what was lent.
      answer.grant_back = target_call->call.grant;
    }
    if (!target_call->is_abandoned) {
      this->SendAnswer(*target_call, std::move(answer));
    }
  }

  void AnswerError(const TargetCall& target_call, ErrorKind kind) {
    wire::Answer answer;
    answer.error = static_cast<std::uint32_t>(kind);
    answer.grant_back = target_call.call.grant;
    this->SendAnswer(target_call, std::move(answer));
  }

  /// Adds what every answer tells of the target.
  void SendAnswer(const TargetCall& target_call, wire::Answer answer) {
    answer.id = target_call.call.id;
    answer.pressure = control::LevelOf(this->admission.pressure);
    answer.utilization =
        control::Utilization(this->Rules(), MonotonicNow(), this->admission);
    answer.is_draining = this->shared.is_draining.load();
    this->send(target_call.link, std::move(answer));
  }

  void ScheduleTick() {
    const Millis pause = this->admission.queue.empty() ? kTickIdle : kTickBusy;
    this->tick_timer.expires_after(std::chrono::milliseconds(pause.count));
    this->tick_timer.async_wait(
        [weak = this->weak_from_this()](boost::system::error_code error) {
          const std::shared_ptr<Impl> self = weak.lock();
          if (error || self == nullptr || self->is_stopped) {
            return;
          }
          self->Apply(control::RefuseExpired(self->Rules(), MonotonicNow(),
                                             self->admission));
          self->ExpireWaiting();
          self->keys->Forget();
          self->ends.Tick(MonotonicNow());
          self->ScheduleTick();
        });
  }

  /// Calls that wait for a claim or for another call's key end at their own
  /// deadline. Nothing of them was run; whether the key was depends on its
  /// state.
  void ExpireWaiting() {
    const Millis now = MonotonicNow();
    std::vector<control::Ticket> late;
    for (const auto& [ticket, target_call] : this->calls) {
      const bool is_waiting = !target_call->is_dispatched &&
                              this->admission.waiting.count(ticket) == 0;
      if (is_waiting && target_call->deadline <= now) {
        late.push_back(ticket);
      }
    }
    for (const control::Ticket ticket : late) {
      const bool is_undecided =
          this->keys->IsUndecided(this->calls.at(ticket)->call.key);
      this->Finish(ticket, is_undecided ? ErrorKind::kLogUnavailable
                                        : ErrorKind::kDuplicate);
    }
  }

  boost::asio::io_context& loop;
  SharedState& shared;
  const AnswerSender send;
  TargetEnds ends;
  LostCalls lost;
  server::TargetClient client;
  boost::asio::steady_timer tick_timer;
  bool is_stopped = false;
  control::Admission admission;
  const std::shared_ptr<AtMostOnce> keys;
  std::uint64_t last_ticket = 0;
  std::unordered_map<control::Ticket, TargetCallPointer> calls;
  std::map<std::pair<mesh::LinkId, std::uint64_t>, control::Ticket> tickets;
  std::uint64_t dispatched = 0;
  std::uint64_t refused = 0;
  LatencyRecorder target_time;
};

TargetSide::TargetSide(boost::asio::io_context& loop,
                       SharedState& shared,
                       record_log::ClaimWriter* claims,
                       EndsHooks ends,
                       AnswerSender send)
    : impl(std::make_shared<Impl>(loop,
                                  shared,
                                  claims,
                                  std::move(ends),
                                  std::move(send))) {
  this->impl->Start();
}

TargetSide::~TargetSide() {
  this->impl->Stop();
}

void TargetSide::OnCall(mesh::LinkId link, wire::Call call) {
  this->impl->OnCall(link, std::move(call));
}

void TargetSide::OnCancel(mesh::LinkId link, std::uint64_t id) {
  this->impl->OnCancel(link, id);
}

void TargetSide::OnLinkClosed(mesh::LinkId link) {
  this->impl->OnLinkClosed(link);
}

void TargetSide::OnEnds(const wire::EndsNews& news) {
  this->impl->OnEnds(news);
}

std::size_t TargetSide::OpenCalls() const {
  return this->impl->OpenCalls();
}

TargetSideReport TargetSide::Report() const {
  return this->impl->Report();
}

}  // namespace almondlink::daemon
