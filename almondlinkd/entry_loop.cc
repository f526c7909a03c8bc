#include "almondlinkd/entry_loop.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <random>
#include <utility>

#include "almondlink/base/event_log.h"
#include "almondlink/base/hash.h"
#include "almondlink/control/idempotency_key.h"
#include "almondlink/control/pressure.h"
#include "almondlink/control/retry_decision.h"
#include "almondlink/control/retry_grant.h"
#include "almondlinkd/classify.h"
#include "almondlinkd/entry_call.h"
#include "almondlinkd/target_views.h"

namespace almondlink::daemon {

namespace {

constexpr std::size_t kRepeatPlaces = 16'384;
constexpr const char* kMintPath = "/.almondlink/keys";
constexpr std::size_t kMaxDownstream = 4096;
/// Time past the deadline that the target's node has to report it.
constexpr Millis kAnswerGrace{20};

}  // namespace

using EntryCallPointer = std::shared_ptr<EntryCall>;

class EntryLoop::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& loop,
       SharedState& shared,
       TraceRecorder& recorder,
       std::size_t index)
      : loop(loop),
        shared(shared),
        links(loop, LinksConfig(shared)),
        repeats(control::MakeCallerRepeats(kRepeatPlaces)),
        random(StableHash(index, StableHash(shared.incarnation.Value()))),
        views(shared),
        accounts(recorder) {}

  void Handle(server::CallerRequest request,
              std::shared_ptr<server::CallerExchange> exchange) {
    const EntryCallPointer entry = std::make_shared<EntryCall>();
    entry->request = std::move(request);
    entry->exchange = std::move(exchange);
    entry->arrived = MonotonicNow();
    entry->started = PreciseNow();
    this->shared.calls_open.fetch_add(1);
    ++this->open_calls;
    const bool is_mint =
        entry->request.method == "POST" && entry->request.target == kMintPath;
    const Failure failure = HandleFailure(
        [&]() -> Result<Failure> {
          if (is_mint) {
            BOOST_LEAF_ASSIGN(
                entry->call,
                ClassifyMint(entry->request, this->shared.bundle.Read(),
                             this->InputOf(*entry)));
            entry->is_minting = true;
          } else {
            BOOST_LEAF_ASSIGN(
                entry->call,
                Classify(entry->request, this->shared.bundle.Read(),
                         this->shared.work, this->InputOf(*entry)));
          }
          return Failure{ErrorKind::kNone, ""};
        },
        [](const Failure& caught) { return caught; });
    if (failure.kind != ErrorKind::kNone) {
      this->FinishUnclassified(*entry, failure);
      return;
    }
    entry->exchange->SetGoneHandler([weak = this->weak_from_this(), entry]() {
      if (const std::shared_ptr<Impl> self = weak.lock()) {
        self->OnCallerGone(entry);
      }
    });
    this->Begin(entry);
  }

  void Close() { this->links.Close(); }

  EntryReport Report() const {
    EntryReport report;
    for (const auto& [service, views] : this->views.All()) {
      for (std::size_t i = 0; i < views.targets.size(); ++i) {
        report.targets.push_back(
            TargetReport{service, views.routes[i].node, views.targets[i]});
      }
    }
    report.usage = this->accounts.Usage();
    report.call_time = this->accounts.CallTime();
    report.added_time = this->accounts.AddedTime();
    report.links = this->links.LinkCount();
    report.late_answers = this->links.LateAnswers();
    report.open_calls = this->open_calls;
    return report;
  }

 private:
  static mesh::PeerLinksConfig LinksConfig(const SharedState& shared) {
    mesh::PeerLinksConfig config;
    config.node = NodeId(shared.settings.node.id);
    config.key = shared.key;
    config.ping_after = shared.settings.mesh.link_ping;
    config.suspect_after = shared.settings.mesh.link_suspect;
    config.silent_after = shared.settings.mesh.link_silent;
    config.max_message = static_cast<std::size_t>(
        shared.settings.node.max_body + 4 * shared.settings.node.max_header);
    return config;
  }

  double Draw() {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }

  ClassifyInput InputOf(const EntryCall& entry) {
    ClassifyInput input;
    input.now = entry.arrived;
    input.wall_now = WallNow();
    input.fresh_root = RootId{this->random() | 1U, this->random()};
    return input;
  }

  /// Checks that need no target: the budget for early repeats, and pressure
  /// deeper in the chain.
  void Begin(const EntryCallPointer& entry) {
    const ClassifiedCall& call = entry->call;
    entry->hash = HashOf(entry->request, call);
    const control::ShedRank rank = control::RankOf(call.criticality, call.root);
    if (call.parent.has_value()) {
      const bool is_repeat =
          this->shared.work.IsRepeat(*call.parent, entry->hash);
      if (is_repeat && !this->shared.work.TakeRetry(*call.parent)) {
        this->FinishError(entry, ErrorKind::kRetryGrantEmpty, Millis{-1});
        return;
      }
    } else {
      if (!this->TakeFromBudget(*entry)) {
        this->FinishError(entry, ErrorKind::kRetryBudgetEmpty, Millis{-1});
        return;
      }
      entry->grant.available = call.operation->retries;
    }
    const control::DownstreamLevel& deeper =
        this->downstream[call.operation->name.Value()];
    if (control::IsShedDownstream(entry->arrived, rank, deeper)) {
      this->NoteDownstreamOfParent(*entry, deeper.level);
      this->FinishError(entry, ErrorKind::kOverloaded,
                        control::RetryAfter(deeper.level));
      return;
    }
    this->Attempt(entry);
  }

  /// First attempts fill the team's budget, early repeats are taken from it.
  bool TakeFromBudget(const EntryCall& entry) {
    const ClassifiedCall& call = entry.call;
    control::RetryBudget& budget = *call.view->budgets.at(call.team);
    if (control::IsEarlyRepeat(entry.arrived, entry.hash, this->repeats)) {
      return control::SpendRetry(budget);
    }
    const policy::TeamSpec& team =
        call.view->in_force->bundle->teams.at(call.team);
    control::EarnRetry({team.retry_ratio, team.retry_burst}, budget);
    return true;
  }

  /// A key that a node minted is known to that node only.
  std::string PinnedNode(const EntryCall& entry) const {
    if (entry.call.key.empty()) {
      return "";
    }
    const std::optional<control::MintedKey> minted =
        control::ParseMintedKey(entry.call.key);
    return minted.has_value() ? minted->node.Value() : "";
  }

  control::RouteChoice Choose(const EntryCall& entry, ServiceViews& views) {
    const std::string pinned = this->PinnedNode(entry);
    if (!pinned.empty()) {
      control::RouteChoice choice;
      choice.none.kind = ErrorKind::kDuplicate;
      for (std::size_t i = 0; i < views.routes.size(); ++i) {
        if (views.routes[i].node == pinned) {
          choice.index = i;
        }
      }
      return choice;
    }
    for (std::size_t i = 0; i < views.routes.size(); ++i) {
      views.targets[i].is_tried =
          std::find(entry.tried.begin(), entry.tried.end(),
                    views.routes[i].node) != entry.tried.end();
    }
    const control::RoutingDraws draws{this->Draw(), this->Draw(), this->Draw(),
                                      this->Draw()};
    return control::ChooseTarget(
        views.targets, MonotonicNow(),
        control::RankOf(entry.call.criticality, entry.call.root), draws);
  }

  void Attempt(const EntryCallPointer& entry) {
    ServiceViews& views =
        this->views.Of(entry->call.operation->service.Value());
    const control::RouteChoice choice = this->Choose(*entry, views);
    if (!choice.index.has_value()) {
      this->NoteDownstreamOfParent(*entry, choice.none.level);
      this->FinishError(entry, choice.none.kind,
                        choice.none.level > 0
                            ? control::RetryAfter(choice.none.level)
                            : Millis{-1});
      return;
    }
    this->SendTo(entry, views.routes[*choice.index],
                 views.targets[*choice.index]);
  }

  void SendTo(const EntryCallPointer& entry,
              const RouteEntry& route,
              control::TargetView& view) {
    const Millis now = MonotonicNow();
    const Millis left = entry->call.deadline - now;
    if (left <= Millis{0}) {
      this->FinishError(entry, ErrorKind::kDeadlinePassed, Millis{-1});
      return;
    }
    this->views.NoteSent(now, view);
    ++entry->attempts;
    entry->tried.push_back(route.node);
    entry->target_node = route.node;
    entry->lent = this->LendGrant(*entry);
    entry->sent = PreciseNow();
    entry->out = this->links.Send(
        route.address, MakeCall(*entry, left), left + kAnswerGrace,
        [weak = this->weak_from_this(), entry](wire::Answer answer) {
          if (const std::shared_ptr<Impl> self = weak.lock()) {
            self->OnAnswer(entry, std::move(answer));
          }
        });
  }

  void OnAnswer(const EntryCallPointer& entry, wire::Answer answer) {
    if (entry->is_done) {
      return;
    }
    entry->out.reset();
    this->views.Learn(entry->call.operation->service.Value(),
                      entry->target_node, entry->sent, answer);
    this->TakeBackGrant(*entry, answer.grant_back);
    entry->attempts_below += answer.attempts > 0 ? answer.attempts - 1 : 0;
    this->NoteDownstream(*entry, answer);
    const ErrorKind kind = ErrorKindFrom(answer.error);
    if (kind == ErrorKind::kNone && !IsOwnServerError(answer)) {
      this->FinishAnswered(entry, std::move(answer));
      return;
    }
    if (kind == ErrorKind::kDuplicate && this->Recall(entry, answer)) {
      return;
    }
    this->RetryOrFinish(entry, kind, std::move(answer));
  }

  /// Another node won the key: it may know the answer.
  bool Recall(const EntryCallPointer& entry, const wire::Answer& answer) {
    if (entry->is_recalling || answer.winner.empty()) {
      return false;
    }
    const std::string& service = entry->call.operation->service.Value();
    const std::optional<std::size_t> place =
        this->views.Find(service, answer.winner);
    if (place.has_value()) {
      ServiceViews& views = this->views.Of(service);
      entry->is_recalling = true;
      this->SendTo(entry, views.routes[*place], views.targets[*place]);
      return true;
    }
    return false;
  }

  void NoteDownstream(const EntryCall& entry, const wire::Answer& answer) {
    if (this->downstream.size() > kMaxDownstream) {
      this->downstream.clear();
    }
    control::NoteDownstreamLevel(
        MonotonicNow(), answer.downstream,
        this->downstream[entry.call.operation->name.Value()]);
  }

  void NoteDownstreamOfParent(const EntryCall& entry, std::uint32_t level) {
    if (entry.call.parent.has_value() && level > 0) {
      this->shared.work.NoteDownstream(*entry.call.parent, level);
    }
  }

  bool HasOtherTarget(const EntryCall& entry) {
    const ServiceViews& views =
        this->views.Of(entry.call.operation->service.Value());
    std::size_t usable = 0;
    for (std::size_t i = 0; i < views.routes.size(); ++i) {
      const bool is_tried =
          std::find(entry.tried.begin(), entry.tried.end(),
                    views.routes[i].node) != entry.tried.end();
      usable += !is_tried && !views.targets[i].is_draining ? 1 : 0;
    }
    return usable > 0 && this->PinnedNode(entry).empty() && !entry.is_recalling;
  }

  void RetryOrFinish(const EntryCallPointer& entry,
                     ErrorKind kind,
                     wire::Answer answer) {
    control::FailedAttempt failed;
    failed.kind = kind;
    failed.is_server_error = kind == ErrorKind::kNone;
    failed.is_repeatable = entry->call.operation->is_repeatable;
    failed.attempts = entry->attempts;
    failed.left = entry->call.deadline - MonotonicNow();
    failed.has_other_target = this->HasOtherTarget(*entry);
    // Pressure deeper in the chain is the same behind every target.
    const bool is_deeper = answer.downstream > 0;
    const bool may_retry = !is_deeper && control::DecideRetry(failed) ==
                                             control::RetryChoice::kRetry;
    const Millis advice =
        answer.retry_after_ms > 0 ? Millis{answer.retry_after_ms} : Millis{-1};
    // A draining target refuses by plan; going elsewhere is not a retry.
    const bool is_free = kind == ErrorKind::kDraining;
    if (!may_retry || !(is_free || this->SpendOneRetry(*entry))) {
      const std::uint32_t level =
          kind == ErrorKind::kOverloaded ? answer.pressure : answer.downstream;
      this->NoteDownstreamOfParent(*entry, level);
      if (kind == ErrorKind::kNone) {
        this->FinishAnswered(entry, std::move(answer));
      } else {
        this->FinishError(entry, kind, advice);
      }
      return;
    }
    this->AttemptLater(
        entry, is_free ? Millis{0}
                       : control::RetryDelay(entry->attempts, this->Draw()));
  }

  /// A call made within work lends from the grant that the work holds; all
  /// calls of the work share it.
  std::uint32_t LendGrant(EntryCall& entry) {
    return entry.call.parent.has_value()
               ? this->shared.work.Lend(*entry.call.parent)
               : control::Lend(entry.grant);
  }

  void TakeBackGrant(EntryCall& entry, std::uint32_t unspent) {
    if (entry.call.parent.has_value()) {
      this->shared.work.GiveBack(*entry.call.parent,
                                 std::min(entry.lent, unspent));
      return;
    }
    control::GiveBack(entry.grant, entry.lent, unspent);
  }

  /// Takes one retry from the root request's grant and one from the team.
  bool SpendOneRetry(EntryCall& entry) {
    control::RetryBudget& budget =
        *entry.call.view->budgets.at(entry.call.team);
    const bool is_granted =
        entry.call.parent.has_value()
            ? this->shared.work.TakeRetry(*entry.call.parent)
            : control::TakeRetry(entry.grant);
    if (!is_granted || !control::SpendRetry(budget)) {
      return false;
    }
    ++entry.retries;
    return true;
  }

  void AttemptLater(const EntryCallPointer& entry, Millis delay) {
    if (delay <= Millis{0}) {
      this->Attempt(entry);
      return;
    }
    entry->timer = std::make_unique<boost::asio::steady_timer>(
        this->loop, std::chrono::milliseconds(delay.count));
    entry->timer->async_wait([weak = this->weak_from_this(),
                              entry](boost::system::error_code error) {
      const std::shared_ptr<Impl> self = weak.lock();
      if (!error && self != nullptr && !entry->is_done) {
        self->Attempt(entry);
      }
    });
  }

  void FinishAnswered(const EntryCallPointer& entry, wire::Answer answer) {
    this->accounts.NoteAdded(*entry, answer.target_us);
    server::CallerAnswer out;
    out.status = answer.status;
    out.headers = std::move(answer.headers);
    DropOwnHeaders(out.headers);
    out.headers.push_back(
        {server::kVerdictHeader, ToString(Verdict::kAnswered)});
    out.headers.push_back(
        {server::kAttemptsHeader,
         std::to_string(entry->attempts + entry->attempts_below)});
    // Of a root's grant, what is gone was spent, or lost with an answer.
    const std::uint32_t spent =
        entry->call.parent.has_value()
            ? entry->retries
            : entry->call.operation->retries - entry->grant.available;
    out.headers.push_back({server::kRetriesHeader, std::to_string(spent)});
    out.body = std::move(answer.body);
    this->Finish(entry, ErrorKind::kNone, std::move(out));
  }

  void FinishError(const EntryCallPointer& entry,
                   ErrorKind kind,
                   Millis retry_after) {
    const ErrorKind honest = this->HonestKind(*entry, kind);
    const ErrorAnswer& row = AnswerFor(honest);
    const Millis advice =
        retry_after >= Millis{0} ? retry_after : row.retry_after;
    if (!entry->call.parent.has_value()) {
      control::NoteFailedRequest(MonotonicNow(), entry->hash, advice,
                                 row.verdict == Verdict::kOutcomeUnknown,
                                 this->repeats);
    }
    this->Finish(entry, honest, server::ErrorToAnswer(honest, retry_after, ""));
  }

  /// A key whose earlier use has an unknown outcome must not be called not run
  /// because of what happened to this try.
  ErrorKind HonestKind(const EntryCall& entry, ErrorKind kind) const {
    const bool is_earlier_unknown =
        !entry.call.key.empty() &&
        (entry.call.is_declared_repeat ||
         control::WasUnknown(entry.arrived, entry.hash, this->repeats));
    const bool is_not_run = AnswerFor(kind).verdict == Verdict::kNotRun;
    return is_earlier_unknown && is_not_run ? ErrorKind::kDuplicate : kind;
  }

  void Finish(const EntryCallPointer& entry,
              ErrorKind kind,
              server::CallerAnswer answer) {
    if (entry->is_done) {
      return;
    }
    entry->is_done = true;
    const std::uint32_t status = answer.status;
    this->Account(*entry, kind, status);
    entry->exchange->Send(std::move(answer));
    this->Leave();
  }

  void Leave() {
    this->shared.calls_open.fetch_sub(1);
    --this->open_calls;
  }

  /// Grant, metering and figures at the end of a call.
  void Account(const EntryCall& entry, ErrorKind kind, std::uint32_t status) {
    const ClassifiedCall& call = entry.call;
    if (call.parent.has_value()) {
      control::WorkTable& work = this->shared.work;
      work.NoteAttempts(*call.parent, entry.attempts + entry.attempts_below);
      if (kind != ErrorKind::kNone) {
        work.NoteFailure(*call.parent, entry.hash);
      }
    }
    this->accounts.NoteFinished(entry, kind, status);
  }

  /// The request was not understood. A known team is metered all the same, so
  /// that its own counts and ours agree.
  void FinishUnclassified(const EntryCall& entry, const Failure& failure) {
    const std::string& team =
        server::HeaderValue(entry.request.headers, server::kTeamHeader);
    const bool is_declared_repeat =
        !server::HeaderValue(entry.request.headers, server::kRepeatHeader)
             .empty();
    const ErrorKind kind =
        failure.kind == ErrorKind::kKeyExpired && is_declared_repeat
            ? ErrorKind::kDuplicate
            : failure.kind;
    const std::shared_ptr<const BundleView> view = this->shared.bundle.Read();
    const bool is_known = view != nullptr && view->budgets.count(team) != 0;
    this->accounts.NoteNotUnderstood(is_known ? team : "unknown", kind);
    entry.exchange->Send(
        server::ErrorToAnswer(kind, Millis{-1}, failure.detail));
    this->Leave();
  }

  void OnCallerGone(const EntryCallPointer& entry) {
    if (entry->is_done) {
      return;
    }
    entry->is_done = true;
    entry->timer.reset();
    if (entry->out.has_value()) {
      this->links.Cancel(*entry->out);
      this->views.Forget(entry->call.operation->service.Value(),
                         entry->target_node);
      this->accounts.NoteWasted(*entry);
    }
    this->Account(*entry, ErrorKind::kCancelled, 0);
    this->Leave();
  }

  boost::asio::io_context& loop;
  SharedState& shared;
  mesh::PeerLinks links;
  control::CallerRepeats repeats;
  std::mt19937_64 random;
  TargetViews views;
  std::unordered_map<std::string, control::DownstreamLevel> downstream;
  CallAccounts accounts;
  std::size_t open_calls = 0;
};

EntryLoop::EntryLoop(boost::asio::io_context& loop,
                     SharedState& shared,
                     TraceRecorder& recorder,
                     std::size_t index)
    : impl(std::make_shared<Impl>(loop, shared, recorder, index)) {}

EntryLoop::~EntryLoop() = default;

void EntryLoop::Handle(server::CallerRequest request,
                       std::shared_ptr<server::CallerExchange> exchange) {
  this->impl->Handle(std::move(request), std::move(exchange));
}

void EntryLoop::Close() {
  this->impl->Close();
}

EntryReport EntryLoop::Report() const {
  return this->impl->Report();
}

}  // namespace almondlink::daemon
