#include <utility>

#include "almondlink/control/work_table.h"
#include "almondlinkd/entry_loop_impl.h"

namespace almondlink::daemon {

void EntryLoop::Impl::FinishAnswered(const EntryCallPointer& entry,
                                     wire::Answer answer) {
  this->accounts.NoteAdded(*entry, answer.target_us);
  server::CallerAnswer out;
  out.status = answer.status;
  out.headers = std::move(answer.headers);
  DropOwnHeaders(out.headers);
  out.headers.push_back({server::kVerdictHeader, ToString(Verdict::kAnswered)});
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

void EntryLoop::Impl::FinishError(const EntryCallPointer& entry,
                                  ErrorKind kind,
                                  Millis retry_after) {
  const ErrorKind honest = this->HonestKind(*entry, kind);
  const ErrorAnswer& row = AnswerFor(honest);
  const Millis advice =
      retry_after >= Millis{0} ? retry_after : row.retry_after;
  if (!entry->call.parent.has_value()) {
    control::RecordFailedRequest(MonotonicNow(), entry->hash, advice,
                                 row.verdict == Verdict::kOutcomeUnknown,
                                 this->repeats);
  }
  this->Finish(entry, honest, server::ErrorToAnswer(honest, retry_after, ""));
}

ErrorKind EntryLoop::Impl::HonestKind(const EntryCall& entry,
                                      ErrorKind kind) const {
  const bool is_earlier_unknown =
      !entry.call.key.empty() &&
      (entry.call.is_declared_repeat ||
       control::HadUnknownOutcome(entry.arrived, entry.hash, this->repeats));
  const bool is_not_run = AnswerFor(kind).verdict == Verdict::kNotRun;
  return is_earlier_unknown && is_not_run ? ErrorKind::kDuplicate : kind;
}

void EntryLoop::Impl::Finish(const EntryCallPointer& entry,
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

void EntryLoop::Impl::Leave() {
  this->shared.calls_open.fetch_sub(1);
  --this->open_calls;
}

void EntryLoop::Impl::Account(const EntryCall& entry,
                              ErrorKind kind,
                              std::uint32_t status) {
  const ClassifiedCall& call = entry.call;
  if (call.parent.has_value()) {
    control::WorkTable& work = this->shared.work;
    work.AddAttempts(*call.parent, entry.attempts + entry.attempts_below);
    if (kind != ErrorKind::kNone) {
      work.RecordFailure(*call.parent, entry.hash);
    }
  }
  this->accounts.NoteFinished(entry, kind, status);
}

void EntryLoop::Impl::FinishUnclassified(const EntryCall& entry,
                                         const Failure& failure) {
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
  entry.exchange->Send(server::ErrorToAnswer(kind, Millis{-1}, failure.detail));
  this->Leave();
}

void EntryLoop::Impl::OnCallerGone(const EntryCallPointer& entry) {
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

}  // namespace almondlink::daemon
