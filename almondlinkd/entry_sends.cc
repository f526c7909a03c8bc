#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

#include "almondlink/base/http_status.h"
#include "almondlink/control/idempotency_key.h"
#include "almondlink/control/pressure.h"
#include "almondlink/control/retry_budget.h"
#include "almondlink/control/retry_decision.h"
#include "almondlink/control/retry_grant.h"
#include "almondlinkd/entry_loop_impl.h"

namespace almondlink::daemon {

namespace {

/// Operations whose pressure deeper in the chain is remembered; bounds memory.
constexpr std::size_t kMaxDownstream = 4096;
/// Time past the deadline that the target's node has to report it.
constexpr Millis kAnswerGrace{20};

}  // namespace

std::string EntryLoop::Impl::PinnedNode(const EntryCall& entry) const {
  if (entry.call.key.empty()) {
    return "";
  }
  const std::optional<control::MintedKey> minted =
      control::ParseMintedKey(entry.call.key);
  return minted.has_value() ? minted->node.Value() : "";
}

control::RouteChoice EntryLoop::Impl::Choose(const EntryCall& entry,
                                             ServiceViews& views) {
  const std::string pinned = this->PinnedNode(entry);
  if (!pinned.empty()) {
    control::RouteChoice choice;
    choice.no_route.kind = ErrorKind::kDuplicate;
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

void EntryLoop::Impl::Attempt(const EntryCallPointer& entry) {
  ServiceViews& views = this->views.Of(entry->call.operation->service.Value());
  const control::RouteChoice choice = this->Choose(*entry, views);
  if (!choice.index.has_value()) {
    this->NoteDownstreamOfParent(*entry, choice.no_route.level);
    this->FinishError(entry, choice.no_route.kind,
                      choice.no_route.level > 0
                          ? control::RetryAfter(choice.no_route.level)
                          : Millis{-1});
    return;
  }
  this->SendTo(entry, views.routes[*choice.index],
               views.targets[*choice.index]);
}

void EntryLoop::Impl::SendTo(const EntryCallPointer& entry,
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
  entry->sent = this->links.RunningNow();
  entry->out = this->links.Send(
      route.address, MakeCall(*entry, left), left + kAnswerGrace,
      [weak = this->weak_from_this(), entry](wire::Answer answer) {
        if (const std::shared_ptr<Impl> self = weak.lock()) {
          self->OnAnswer(entry, std::move(answer));
        }
      });
}

void EntryLoop::Impl::OnAnswer(const EntryCallPointer& entry,
                               wire::Answer answer) {
  if (entry->is_done) {
    return;
  }
  entry->out.reset();
  if (answer.error == 0 &&
      ClassOfStatus(answer.status) != StatusClass::kFinal) {
    // A node that takes any status for an answer passed it on.
    answer.error = static_cast<std::uint32_t>(ErrorKind::kTargetBadAnswer);
  }
  const LatencyMs took{this->links.RunningNow().count - entry->sent.count};
  this->views.Learn(entry->call.operation->service.Value(), entry->target_node,
                    took, answer);
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
  if (kind == ErrorKind::kEndsTargets && this->GoToTrial(entry, answer)) {
    return;
  }
  this->RetryOrFinish(entry, kind, std::move(answer));
}

bool EntryLoop::Impl::Recall(const EntryCallPointer& entry,
                             const wire::Answer& answer) {
  if (entry->is_recalling || answer.winner.empty()) {
    return false;
  }
  entry->is_recalling = true;
  entry->is_recalling = this->SendToNode(entry, answer.winner);
  return entry->is_recalling;
}

bool EntryLoop::Impl::GoToTrial(const EntryCallPointer& entry,
                                const wire::Answer& answer) {
  const bool is_elsewhere =
      !answer.winner.empty() && answer.winner != entry->target_node;
  if (entry->is_sent_to_trial || !is_elsewhere) {
    return false;
  }
  entry->is_sent_to_trial = true;
  return this->SendToNode(entry, answer.winner);
}

bool EntryLoop::Impl::SendToNode(const EntryCallPointer& entry,
                                 const std::string& node) {
  const std::string& service = entry->call.operation->service.Value();
  const std::optional<std::size_t> place = this->views.Find(service, node);
  if (!place.has_value()) {
    return false;
  }
  ServiceViews& views = this->views.Of(service);
  this->SendTo(entry, views.routes[*place], views.targets[*place]);
  return true;
}

void EntryLoop::Impl::NoteDownstream(const EntryCall& entry,
                                     const wire::Answer& answer) {
  if (this->downstream.size() > kMaxDownstream) {
    this->downstream.clear();
  }
  control::RecordDownstreamLevel(
      MonotonicNow(), answer.downstream,
      this->downstream[entry.call.operation->name.Value()]);
}

void EntryLoop::Impl::NoteDownstreamOfParent(const EntryCall& entry,
                                             std::uint32_t level) {
  if (entry.call.parent.has_value() && level > 0) {
    this->shared.work.RecordDownstreamLevel(*entry.call.parent, level);
  }
}

bool EntryLoop::Impl::HasOtherTarget(const EntryCall& entry) {
  const ServiceViews& views =
      this->views.Of(entry.call.operation->service.Value());
  std::size_t usable = 0;
  for (std::size_t i = 0; i < views.routes.size(); ++i) {
    const bool is_tried = std::find(entry.tried.begin(), entry.tried.end(),
                                    views.routes[i].node) != entry.tried.end();
    usable += !is_tried && !views.targets[i].is_draining ? 1 : 0;
  }
  return usable > 0 && this->PinnedNode(entry).empty() && !entry.is_recalling;
}

void EntryLoop::Impl::RetryOrFinish(const EntryCallPointer& entry,
                                    ErrorKind kind,
                                    wire::Answer answer) {
  control::FailedAttempt failed;
  failed.kind = kind;
  failed.is_server_error = kind == ErrorKind::kNone;
  failed.is_repeatable = entry->call.operation->is_repeatable;
  failed.attempts = entry->attempts;
  failed.time_left = entry->call.deadline - MonotonicNow();
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
      entry,
      is_free ? Millis{0} : control::RetryDelay(entry->attempts, this->Draw()));
}

std::uint32_t EntryLoop::Impl::LendGrant(EntryCall& entry) {
  return entry.call.parent.has_value()
             ? this->shared.work.Lend(*entry.call.parent)
             : control::Lend(entry.grant);
}

void EntryLoop::Impl::TakeBackGrant(EntryCall& entry, std::uint32_t unspent) {
  if (entry.call.parent.has_value()) {
    this->shared.work.GiveBack(*entry.call.parent,
                               std::min(entry.lent, unspent));
    return;
  }
  control::GiveBack(entry.grant, entry.lent, unspent);
}

bool EntryLoop::Impl::SpendOneRetry(EntryCall& entry) {
  control::RetryBudget& budget = *entry.call.view->budgets.at(entry.call.team);
  const bool is_granted = entry.call.parent.has_value()
                              ? this->shared.work.TakeRetry(*entry.call.parent)
                              : control::TakeRetry(entry.grant);
  if (!is_granted || !control::SpendRetry(budget)) {
    return false;
  }
  ++entry.retries;
  return true;
}

void EntryLoop::Impl::AttemptLater(const EntryCallPointer& entry,
                                   Millis delay) {
  if (delay <= Millis{0}) {
    this->Attempt(entry);
    return;
  }
  entry->timer = std::make_unique<boost::asio::steady_timer>(
      this->loop, std::chrono::milliseconds(delay.count));
  entry->timer->async_wait(
      [weak = this->weak_from_this(), entry](boost::system::error_code error) {
        const std::shared_ptr<Impl> self = weak.lock();
        if (!error && self != nullptr && !entry->is_done) {
          self->Attempt(entry);
        }
      });
}

}  // namespace almondlink::daemon
