#include "almondlinkd/entry_loop.h"

#include <utility>

#include "almondlink/base/hash.h"
#include "almondlink/control/pressure.h"
#include "almondlink/control/retry_budget.h"
#include "almondlinkd/entry_loop_impl.h"

namespace almondlink::daemon {

namespace {

/// Requests remembered to tell early repeats: some ten seconds of a busy node.
constexpr std::size_t kRepeatPlaces = 16'384;
constexpr const char* kMintPath = "/.almondlink/keys";

}  // namespace

EntryLoop::Impl::Impl(boost::asio::io_context& loop,
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

void EntryLoop::Impl::Handle(server::CallerRequest request,
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
          BOOST_LEAF_ASSIGN(entry->call,
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

EntryReport EntryLoop::Impl::Report() const {
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

mesh::PeerLinksConfig EntryLoop::Impl::LinksConfig(const SharedState& shared) {
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

double EntryLoop::Impl::Draw() {
  return std::uniform_real_distribution<double>(0, 1)(this->random);
}

ClassifyInput EntryLoop::Impl::InputOf(const EntryCall& entry) {
  ClassifyInput input;
  input.now = entry.arrived;
  input.wall_now = WallNow();
  input.fresh_root = RootId{this->random() | 1U, this->random()};
  return input;
}

void EntryLoop::Impl::Begin(const EntryCallPointer& entry) {
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

bool EntryLoop::Impl::TakeFromBudget(const EntryCall& entry) {
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
