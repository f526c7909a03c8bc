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
#include "almondlink/control/idempotency_key.h"
#include "almondlink/control/key_table.h"
#include "almondlink/server/target_client.h"
#include "almondlinkd/classify.h"

namespace almondlink::daemon {

namespace {

using control::KeyEntry;
using control::KeyState;

constexpr Millis kTickBusy{5};
constexpr Millis kTickIdle{50};
constexpr double kMicrosPerMilli = 1000;
constexpr std::uint32_t kServerErrors = 500;

/// A call in the hands of the target's side. Its ticket names it.
struct TargetCall {
  mesh::LinkId link{0};
  wire::Call call;
  RootId root;
  Millis deadline;
  bool is_dispatched = false;
  bool is_abandoned = false;
  SpanId span{0};
  server::TargetCallId at_target{0};
  LatencyMs sent;
};

using TargetCallPointer = std::shared_ptr<TargetCall>;

bool IsFailure(ErrorKind kind) {
  return kind == ErrorKind::kTargetLost || kind == ErrorKind::kTargetTimeout ||
         kind == ErrorKind::kTargetBadAnswer;
}

/// The target's documented way to say that it did not run a request.
bool IsRefusal(const server::TargetAnswer& answer) {
  return server::HeaderValue(answer.headers, server::kVerdictHeader) ==
         ToString(Verdict::kNotRun);
}

}  // namespace

class TargetSide::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& loop,
       SharedState& shared,
       platform::ClaimWriter* claims,
       AnswerSender send)
      : loop(loop),
        shared(shared),
        claims(claims),
        send(std::move(send)),
        client(loop, ClientConfig(shared.settings)),
        tick_timer(loop) {
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
    const ErrorKind fault = this->Check(*target_call);
    if (fault != ErrorKind::kNone) {
      this->AnswerError(*target_call, fault);
      return;
    }
    if (target_call->call.is_mint) {
      this->Mint(*target_call);
      return;
    }
    const control::Ticket ticket(++this->last_ticket);
    this->calls[ticket] = target_call;
    this->tickets[{link, target_call->call.id}] = ticket;
    if (target_call->call.key.empty()) {
      this->Admit(ticket, target_call);
    } else {
      this->StartKeyed(ticket, target_call);
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

  std::size_t OpenCalls() const { return this->calls.size(); }

  TargetSideReport Report() const {
    const Millis now = MonotonicNow();
    TargetSideReport report;
    const control::AdmissionRules rules = this->Rules();
    report.limit =
        control::CurrentLimit(rules.limit, now, this->admission.limit);
    report.in_flight = this->admission.in_flight;
    report.waiting = static_cast<std::uint32_t>(this->admission.queue.size());
    report.threshold = this->admission.pressure.threshold;
    report.utilization = control::Utilization(rules, now, this->admission);
    report.baseline_ms = this->admission.limit.baseline;
    report.service_time_ms = this->admission.service_time.mean;
    report.dispatched = this->dispatched;
    report.refused = this->refused;
    report.keys = this->keys.entries.size();
    report.connections = this->client.ConnectionCount();
    report.calls = this->calls.size();
    report.target_time = this->target_time.Summary();
    return report;
  }

 private:
  static server::TargetClientConfig ClientConfig(
      const config::Settings& settings) {
    server::TargetClientConfig config;
    config.address = settings.target.address;
    config.max_connections =
        static_cast<std::size_t>(settings.target.connections);
    config.connect_timeout = settings.target.connect_timeout;
    config.max_body = static_cast<std::size_t>(settings.node.max_body);
    config.max_header = static_cast<std::size_t>(settings.node.max_header);
    return config;
  }

  control::AdmissionRules Rules() const {
    control::AdmissionRules rules;
    rules.limit.slots = this->shared.slots.load();
    rules.limit.slow_start = this->shared.settings.target.slow_start;
    const std::shared_ptr<const BundleView> view = this->shared.bundle.Read();
    if (view != nullptr) {
      const policy::ServiceSpec* service = view->in_force->bundle->FindService(
          ServiceName(this->shared.settings.target.service));
      if (service != nullptr) {
        rules.queue_target = service->queue_target;
        rules.queue_limit = service->queue_limit;
      }
    }
    return rules;
  }

  Millis KeyLife() const {
    const std::shared_ptr<const BundleView> view = this->shared.bundle.Read();
    const Millis lifetime = view == nullptr
                                ? policy::Bundle{}.key_lifetime
                                : view->in_force->bundle->key_lifetime;
    return lifetime + control::kClockSkew * 2;
  }

  ErrorKind Check(TargetCall& target_call) {
    const wire::Call& call = target_call.call;
    if (call.service != this->shared.settings.target.service) {
      return ErrorKind::kNoTarget;
    }
    // A draining node still tells what became of a key.
    if (this->shared.is_draining.load() && !call.is_recall) {
      return ErrorKind::kDraining;
    }
    if (call.timeout_ms <= 0) {
      return ErrorKind::kDeadlinePassed;
    }
    target_call.deadline = MonotonicNow() + Millis{call.timeout_ms};
    const bool is_root = HandleFailure(
        [&]() -> Result<bool> {
          BOOST_LEAF_ASSIGN(target_call.root, ParseRoot(call.root));
          return true;
        },
        [](const Failure&) { return false; });
    return is_root ? ErrorKind::kNone : ErrorKind::kBadMessage;
  }

  // ---- at-most-once ----

  void Mint(const TargetCall& target_call) {
    control::MintedKey key;
    key.node = NodeId(this->shared.settings.node.id);
    key.incarnation = this->shared.incarnation;
    key.sequence = ++this->minted;
    key.made = WallNow();
    key.mac = this->MacOf(key);
    const std::string text = control::MintedKeyText(key);
    wire::Answer answer;
    answer.status = 200;
    answer.headers.push_back({"Content-Type", "text/plain"});
    answer.body.assign(text.begin(), text.end());
    this->SendAnswer(target_call, std::move(answer));
  }

  std::string MacOf(const control::MintedKey& key) const {
    const std::string body = control::MintedKeyBody(key);
    return policy::ToHex(
        policy::Mac(this->shared.key, policy::Bytes(body.begin(), body.end())));
  }

  /// Whether this incarnation minted the key, so that its table knows it.
  bool IsOwnMinted(const control::MintedKey& key) const {
    return key.node.Value() == this->shared.settings.node.id &&
           key.incarnation == this->shared.incarnation &&
           key.sequence <= this->minted && key.mac == this->MacOf(key);
  }

  void StartKeyed(control::Ticket ticket,
                  const TargetCallPointer& target_call) {
    const std::string& key = target_call->call.key;
    KeyEntry* entry = control::FindKey(key, this->keys);
    if (entry != nullptr) {
      this->JoinKey(ticket, target_call, *entry);
      return;
    }
    if (target_call->call.is_recall) {
      this->Finish(ticket, ErrorKind::kDuplicate);
      return;
    }
    const std::optional<control::MintedKey> minted =
        control::ParseMintedKey(key);
    if (minted.has_value()) {
      this->StartMinted(ticket, target_call, *minted);
      return;
    }
    this->StartClaim(ticket, target_call);
  }

  void StartMinted(control::Ticket ticket,
                   const TargetCallPointer& target_call,
                   const control::MintedKey& minted) {
    // A forgotten key is refused by its age before it can be run again: keys
    // are forgotten only well after they expire.
    const ErrorKind age = control::CheckKeyAge(
        minted.made, WallNow(), this->KeyLife() - control::kClockSkew * 2);
    if (!this->IsOwnMinted(minted)) {
      this->Finish(ticket, ErrorKind::kDuplicate);
      return;
    }
    if (age != ErrorKind::kNone) {
      this->Finish(ticket, ErrorKind::kKeyExpired);
      return;
    }
    if (control::AddKey(this->key_limits, MonotonicNow(), target_call->call.key,
                        KeyState::kHeld, this->keys) == nullptr) {
      this->Finish(ticket, ErrorKind::kOverloaded);
      return;
    }
    this->Admit(ticket, target_call);
  }

  /// The key is known here: repeat what it came to, wait for it, or run it if
  /// it was refused before it ran.
  void JoinKey(control::Ticket ticket,
               const TargetCallPointer& target_call,
               KeyEntry& entry) {
    switch (entry.state) {
      case KeyState::kClaiming:
      case KeyState::kDispatched:
        entry.waiting.push_back(ticket.Value());
        return;
      case KeyState::kHeld:
        if (this->IsQueued(target_call->call.key, ticket)) {
          entry.waiting.push_back(ticket.Value());
          return;
        }
        if (target_call->call.is_recall && this->shared.is_draining.load()) {
          this->Finish(ticket, ErrorKind::kDraining);
          return;
        }
        this->Admit(ticket, target_call);
        return;
      case KeyState::kDone:
        if (entry.has_answer) {
          this->FinishWith(ticket, entry.answer);
          return;
        }
        this->Finish(ticket, ErrorKind::kDuplicate);
        return;
      case KeyState::kUnknown:
        this->Finish(ticket, ErrorKind::kDuplicate);
        return;
    }
  }

  /// Whether another call with the key is on its way to the target.
  bool IsQueued(const std::string& key, control::Ticket except) const {
    for (const auto& [ticket, target_call] : this->calls) {
      const bool is_other = ticket != except && target_call->call.key == key;
      if (is_other && this->admission.waiting.count(ticket) != 0) {
        return true;
      }
    }
    return false;
  }

  void StartClaim(control::Ticket ticket,
                  const TargetCallPointer& target_call) {
    const std::optional<Millis> made =
        control::TimeOfUuid7(target_call->call.key);
    const bool can_claim = this->claims != nullptr && made.has_value();
    if (!can_claim ||
        control::AddKey(this->key_limits, MonotonicNow(), target_call->call.key,
                        KeyState::kClaiming, this->keys) == nullptr) {
      this->Finish(ticket, ErrorKind::kLogUnavailable);
      return;
    }
    platform::ClaimRequest request;
    request.key = IdempotencyKey(target_call->call.key);
    request.made = *made;
    request.deadline = target_call->deadline;
    request.done =
        [weak = this->weak_from_this(), &loop = this->loop, ticket,
         key = target_call->call.key](const platform::ClaimResult& result) {
          boost::asio::post(loop, [weak, ticket, key, result]() {
            if (const std::shared_ptr<Impl> self = weak.lock()) {
              self->OnClaim(ticket, key, result);
            }
          });
        };
    this->claims->Claim(std::move(request));
  }

  void OnClaim(control::Ticket ticket,
               const std::string& key,
               const platform::ClaimResult& result) {
    KeyEntry* entry = control::FindKey(key, this->keys);
    if (entry == nullptr) {
      return;
    }
    if (result.outcome == platform::ClaimOutcome::kWon) {
      entry->state = KeyState::kHeld;
      this->RunHeld(ticket, key);
      return;
    }
    const std::vector<std::uint64_t> waiting = std::move(entry->waiting);
    control::RemoveKey(key, this->keys);
    this->FinishLost(ticket, result);
    for (const std::uint64_t other : waiting) {
      this->FinishLost(control::Ticket(other), result);
    }
  }

  /// The first call that still waits runs the key.
  void RunHeld(control::Ticket ticket, const std::string& key) {
    const auto found = this->calls.find(ticket);
    const bool is_wanted =
        found != this->calls.end() && !found->second->is_abandoned;
    if (is_wanted) {
      this->Admit(ticket, found->second);
      return;
    }
    this->RunNextWaiting(key);
  }

  void RunNextWaiting(const std::string& key) {
    KeyEntry* entry = control::FindKey(key, this->keys);
    while (entry != nullptr && !entry->waiting.empty()) {
      const control::Ticket next(entry->waiting.front());
      entry->waiting.erase(entry->waiting.begin());
      const auto found = this->calls.find(next);
      if (found != this->calls.end()) {
        this->Admit(next, found->second);
        return;
      }
    }
  }

  void FinishLost(control::Ticket ticket, const platform::ClaimResult& result) {
    if (result.outcome == platform::ClaimOutcome::kUnavailable) {
      this->Finish(ticket, ErrorKind::kLogUnavailable);
      return;
    }
    wire::Answer answer;
    answer.error = static_cast<std::uint32_t>(ErrorKind::kDuplicate);
    answer.winner = result.holder.Value();
    this->FinishWith(ticket, answer);
  }

  /// Gives the outcome of a key to everyone who waits for it.
  void SettleKey(const std::string& key, const wire::Answer& answer) {
    KeyEntry* entry = control::FindKey(key, this->keys);
    if (entry == nullptr) {
      return;
    }
    const std::vector<std::uint64_t> waiting = std::move(entry->waiting);
    entry->waiting.clear();
    for (const std::uint64_t ticket : waiting) {
      this->FinishWith(control::Ticket(ticket), answer);
    }
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
    this->Apply(control::Offer(this->Rules(), MonotonicNow(), request,
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
      this->SettleKey(key, answer);
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
    if (!this->TakeKey(*target_call)) {
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
      this->ReturnKey(*target_call);
      this->ReleasePlace();
      this->Finish(ticket, ErrorKind::kOverloaded);
      return;
    }
    ++this->dispatched;
    target_call->is_dispatched = true;
    target_call->span = *span;
    target_call->sent = PreciseNow();
    target_call->at_target = this->client.Send(
        this->MakeRequest(*target_call),
        [weak = this->weak_from_this(), ticket](server::TargetAnswer answer) {
          if (const std::shared_ptr<Impl> self = weak.lock()) {
            self->OnTargetAnswer(ticket, std::move(answer));
          }
        });
  }

  bool TakeKey(const TargetCall& target_call) {
    if (target_call.call.key.empty()) {
      return true;
    }
    KeyEntry* entry = control::FindKey(target_call.call.key, this->keys);
    return entry != nullptr && control::TakeDispatch(*entry);
  }

  void ReturnKey(const TargetCall& target_call) {
    KeyEntry* entry = control::FindKey(target_call.call.key, this->keys);
    if (entry != nullptr) {
      control::ReturnDispatch(*entry);
    }
  }

  void ReleasePlace() {
    this->Apply(
        control::Release(this->Rules(), MonotonicNow(), this->admission));
  }

  server::TargetRequest MakeRequest(const TargetCall& target_call) const {
    const wire::Call& call = target_call.call;
    server::TargetRequest request;
    request.method = call.method;
    request.target = call.path;
    request.headers = call.headers;
    request.body = call.body;
    request.timeout = target_call.deadline - MonotonicNow();
    request.needs_fresh_connection = !call.key.empty();
    request.headers.push_back(
        {server::kTraceParentHeader,
         FormatTraceParent(target_call.root, target_call.span)});
    request.headers.push_back(
        {server::kTimeoutHeader, std::to_string(request.timeout.count)});
    request.headers.push_back({server::kTeamHeader, call.team});
    request.headers.push_back({server::kCallerHeader, call.caller});
    if (!call.key.empty()) {
      request.headers.push_back({server::kKeyHeader, call.key});
    }
    return request;
  }

  void OnTargetAnswer(control::Ticket ticket, server::TargetAnswer result) {
    const auto found = this->calls.find(ticket);
    if (found == this->calls.end()) {
      return;
    }
    const TargetCallPointer target_call = found->second;
    const LatencyMs took{PreciseNow().count - target_call->sent.count};
    wire::Answer answer = this->MakeAnswer(std::move(result));
    answer.target_us = static_cast<std::uint64_t>(took.count * kMicrosPerMilli);
    this->EndWork(*target_call, answer);
    const ErrorKind kind = ErrorKindFrom(answer.error);
    this->EndPlace(kind, took);
    if (!target_call->call.key.empty()) {
      this->EndKey(*target_call, kind, answer);
    }
    this->FinishWith(ticket, std::move(answer));
  }

  wire::Answer MakeAnswer(server::TargetAnswer result) const {
    wire::Answer answer;
    if (result.error != ErrorKind::kNone) {
      answer.error = static_cast<std::uint32_t>(result.error);
      return answer;
    }
    if (IsRefusal(result)) {
      answer.error = static_cast<std::uint32_t>(ErrorKind::kTargetRefused);
      return answer;
    }
    answer.status = result.status;
    answer.headers = std::move(result.headers);
    answer.body = std::move(result.body);
    return answer;
  }

  void EndWork(const TargetCall& target_call, wire::Answer& answer) {
    const control::WorkTable::Ended ended =
        this->shared.work.End(target_call.span);
    answer.grant_back = ended.grant_back;
    answer.attempts = 1 + ended.attempts;
    const bool is_failed = answer.error != 0 || answer.status >= kServerErrors;
    answer.downstream = is_failed ? ended.downstream : 0;
    answer.is_call_failed = is_failed && ended.is_call_failed;
  }

  void EndPlace(ErrorKind kind, LatencyMs took) {
    // Nothing is learned of the target's room from one that was never reached.
    if (kind == ErrorKind::kConnectFailed) {
      this->ReleasePlace();
      return;
    }
    if (kind == ErrorKind::kNone) {
      this->target_time.Add(took);
    }
    const bool is_failure =
        IsFailure(kind) || kind == ErrorKind::kTargetRefused;
    this->Apply(control::Complete(
        this->Rules(), MonotonicNow(), took,
        is_failure ? control::Outcome::kFailure : control::Outcome::kSuccess,
        this->admission));
  }

  void EndKey(const TargetCall& target_call,
              ErrorKind kind,
              const wire::Answer& answer) {
    const std::string key = target_call.call.key;
    KeyEntry* entry = control::FindKey(key, this->keys);
    if (entry == nullptr) {
      return;
    }
    if (kind == ErrorKind::kNone) {
      control::RecordAnswer(this->key_limits, answer, *entry, this->keys);
    } else if (AnswerFor(kind).verdict == Verdict::kNotRun) {
      control::ReturnDispatch(*entry);
    } else {
      entry->state = KeyState::kUnknown;
    }
    this->SettleKey(key, answer);
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
      control::Withdraw(ticket, this->admission);
      const std::string key = target_call->call.key;
      this->calls.erase(ticket);
      KeyEntry* entry = control::FindKey(key, this->keys);
      if (entry != nullptr && entry->state == KeyState::kHeld) {
        this->RunNextWaiting(key);
      }
      return;
    }
    if (target_call->call.key.empty()) {
      this->client.Cancel(target_call->at_target);
      this->shared.work.End(target_call->span);
      this->calls.erase(ticket);
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
          self->Apply(
              control::Tick(self->Rules(), MonotonicNow(), self->admission));
          self->ExpireWaiting();
          control::ForgetKeys(MonotonicNow(), self->KeyLife(), self->keys);
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
      const KeyEntry* entry =
          control::FindKey(this->calls.at(ticket)->call.key, this->keys);
      const bool is_undecided =
          entry != nullptr && entry->state == KeyState::kClaiming;
      this->Finish(ticket, is_undecided ? ErrorKind::kLogUnavailable
                                        : ErrorKind::kDuplicate);
    }
  }

  boost::asio::io_context& loop;
  SharedState& shared;
  platform::ClaimWriter* const claims;
  const AnswerSender send;
  server::TargetClient client;
  boost::asio::steady_timer tick_timer;
  bool is_stopped = false;
  control::Admission admission;
  const control::KeyTableLimits key_limits;
  control::KeyTable keys;
  std::uint64_t minted = 0;
  std::uint64_t last_ticket = 0;
  std::unordered_map<control::Ticket, TargetCallPointer> calls;
  std::map<std::pair<mesh::LinkId, std::uint64_t>, control::Ticket> tickets;
  std::uint64_t dispatched = 0;
  std::uint64_t refused = 0;
  LatencyRecorder target_time;
};

TargetSide::TargetSide(boost::asio::io_context& loop,
                       SharedState& shared,
                       platform::ClaimWriter* claims,
                       AnswerSender send)
    : impl(std::make_shared<Impl>(loop, shared, claims, std::move(send))) {
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

std::size_t TargetSide::OpenCalls() const {
  return this->impl->OpenCalls();
}

TargetSideReport TargetSide::Report() const {
  return this->impl->Report();
}

}  // namespace almondlink::daemon
