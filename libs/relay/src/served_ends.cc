#include <algorithm>
#include <cstddef>
#include <vector>

#include "served_call.h"

/// Targets whose process ends: how that is found out, and who is told.
namespace almondlink::relay {

namespace {

/// A target that ends under a call does so within moments; calls that were
/// cancelled while they ran are remembered for so long, and so many of them.
constexpr Millis kLeftLately{500};
constexpr std::size_t kMostLeft = 128;

}  // namespace

/// The target closed the connection of a call that it had begun. Whether its
/// process is gone is found out before anybody acts on it: sent again at once,
/// a request that ends its target would end the next one.
void ServedCalls::Break(const CallPointer& call) {
  this->doubted.push_back(call);
  this->FindOut();
}

void ServedCalls::FindOut() {
  if (!this->is_finding_out) {
    this->is_finding_out = true;
    this->pool.WhenGone(
        [this](bool is_refused) { this->EndDoubt(is_refused); });
  }
}

/// Whether the target's process is gone. One that is full may refuse a connect
/// as well, but goes on with what it has. One that leaves ends as it said it
/// would.
bool ServedCalls::IsEnd(bool is_refused) const {
  const auto alive = std::count_if(
      this->runs.begin(), this->runs.end(), [this](const auto& run) {
        return std::find(this->doubted.begin(), this->doubted.end(),
                         run.second) == this->doubted.end();
      });
  return is_refused && alive == 0 && !this->pool.HasOpenIdle() &&
         this->ledger.phase == control::InstancePhase::kReady;
}

void ServedCalls::EndDoubt(bool is_refused) {
  this->is_finding_out = false;
  const bool has_ended = this->IsEnd(is_refused);
  std::vector<CallPointer> broken;
  broken.swap(this->doubted);
  if (has_ended && !this->is_gone) {
    // Told first, so that nothing is sent here for want of better knowledge.
    this->is_gone = true;
    ++this->counters.target_ends;
    this->events.on_target_ended(this->ledger.current.incarnation,
                                 broken.size());
  }
  for (const CallPointer& call : broken) {
    // Meanwhile it may have been given up, or its time was over.
    if (!call->is_running) {
      continue;
    }
    this->EndRun(call);
    if (call->is_answering) {
      this->BreakAnswer(call, has_ended);
    } else {
      this->SendOutcome(
          call, CallOutcome::kBroken,
          has_ended ? CallReason::kTargetEnded : CallReason::kClosed);
    }
  }
  if (has_ended) {
    this->TellLeft();
  }
  this->Fill(BootTimeNow());
}

/// Ends an answer of which its caller has got a part.
void ServedCalls::BreakAnswer(const CallPointer& call, bool is_target_ended) {
  DataFrame end;
  end.id = call->id;
  end.is_last = true;
  end.is_broken = true;
  end.is_target_ended = is_target_ended;
  if (!call->is_abandoned || is_target_ended) {
    this->events.on_part(call->link, end);
  }
}

void ServedCalls::NoteLeft(Millis now, const CallPointer& call) {
  this->left.push_back({call->link, call->id, now});
  if (this->left.size() > kMostLeft) {
    this->left.pop_front();
  }
}

/// The entry nodes of calls that were cancelled just before the target's end
/// still have to know what ran.
void ServedCalls::TellLeft() {
  const Millis now = BootTimeNow();
  for (const LeftCall& call : this->left) {
    if (now - call.at < kLeftLately) {
      AnswerFrame answer;
      answer.id = call.id;
      answer.outcome = CallOutcome::kBroken;
      answer.reason = CallReason::kTargetEnded;
      this->TellLoad(answer);
      this->events.on_answer(call.link, answer);
    }
  }
  this->left.clear();
}

/// Nothing that ran at the start before will be answered: it may have run.
void ServedCalls::EndRunsOfEarlierStart() {
  std::vector<CallPointer> lost;
  for (const auto& [id, call] : this->runs) {
    lost.push_back(call);
  }
  for (const CallPointer& call : lost) {
    TargetPool::Cancel(call->exchange);
    this->EndRun(call);
    if (call->is_answering) {
      this->BreakAnswer(call, false);
    } else {
      this->SendOutcome(call, CallOutcome::kBroken, CallReason::kClosed);
    }
  }
  this->Fill(BootTimeNow());
}

}  // namespace almondlink::relay
