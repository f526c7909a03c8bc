#include <algorithm>
#include <cstddef>
#include <vector>

#include "served_call.h"

/// Targets whose process ends: how that is found out, and who is told.
namespace almondlink::relay {

namespace {

/// A target that ends under a call does so within moments; calls that were
/// cancelled while they ran are remembered for so long, and so many of them.
constexpr Millis kCancelledRetention{500};
constexpr std::size_t kMaxCancelled = 128;

}  // namespace

/// The target closed the connection of a call that it had begun. Whether its
/// process is gone is found out before anybody acts on it: sent again at once,
/// a request that ends its target would end the next one.
void ServedCalls::OnConnectionLost(const CallPointer& call) {
  this->awaiting_crash_check.push_back(call);
  this->StartCrashCheck();
}

void ServedCalls::StartCrashCheck() {
  if (!this->is_checking_crash) {
    this->is_checking_crash = true;
    this->pool.CheckProcessGone(
        [this](bool is_refused) { this->FinishCrashCheck(is_refused); });
  }
}

/// Whether the target's process is gone. One that is full may refuse a connect
/// as well, but goes on with what it has. One that leaves ends as it said it
/// would.
bool ServedCalls::IsCrash(bool is_refused) const {
  const auto alive = std::count_if(
      this->runs.begin(), this->runs.end(), [this](const auto& run) {
        return std::find(this->awaiting_crash_check.begin(),
                         this->awaiting_crash_check.end(),
                         run.second) == this->awaiting_crash_check.end();
      });
  return is_refused && alive == 0 && !this->pool.HasOpenIdle() &&
         this->ledger.phase == control::InstancePhase::kReady;
}

void ServedCalls::FinishCrashCheck(bool is_refused) {
  this->is_checking_crash = false;
  const bool has_crashed = this->IsCrash(is_refused);
  std::vector<CallPointer> broken;
  broken.swap(this->awaiting_crash_check);
  if (has_crashed && !this->is_target_gone) {
    // Told first, so that nothing is sent here for want of better knowledge.
    this->is_target_gone = true;
    ++this->counters.target_crashes;
    this->events.on_target_crashed(this->ledger.current.start, broken.size());
  }
  for (const CallPointer& call : broken) {
    // Meanwhile it may have been given up, or its time was over.
    if (!call->is_running) {
      continue;
    }
    this->EndRun(call);
    if (call->is_answering) {
      this->EndPartialAnswer(call, has_crashed);
    } else {
      this->SendOutcome(
          call, CallOutcome::kBroken,
          has_crashed ? CallReason::kTargetCrashed : CallReason::kClosed);
    }
  }
  if (has_crashed) {
    this->ReportCancelled();
  }
  this->FillSlots(BootTimeNow());
}

/// Ends an answer of which its caller has got a part.
void ServedCalls::EndPartialAnswer(const CallPointer& call,
                                   bool is_target_ended) {
  DataFrame end;
  end.id = call->id;
  end.is_last = true;
  end.is_broken = true;
  end.is_target_crashed = is_target_ended;
  if (!call->is_abandoned || is_target_ended) {
    this->events.on_part(call->link, end);
  }
}

void ServedCalls::RecordCancelled(Millis now, const CallPointer& call) {
  this->recently_cancelled.push_back({call->link, call->id, now});
  if (this->recently_cancelled.size() > kMaxCancelled) {
    this->recently_cancelled.pop_front();
  }
}

/// The entry nodes of calls that were cancelled just before the target's end
/// still have to know what ran.
void ServedCalls::ReportCancelled() {
  const Millis now = BootTimeNow();
  for (const CancelledCall& call : this->recently_cancelled) {
    if (now - call.at < kCancelledRetention) {
      AnswerFrame answer;
      answer.id = call.id;
      answer.outcome = CallOutcome::kBroken;
      answer.reason = CallReason::kTargetCrashed;
      this->SetLoad(answer);
      this->events.on_answer(call.link, answer);
    }
  }
  this->recently_cancelled.clear();
}

/// Nothing that ran at the start before will be answered: it may have run.
void ServedCalls::EndRunsOfPreviousIncarnation() {
  std::vector<CallPointer> lost;
  for (const auto& [id, call] : this->runs) {
    lost.push_back(call);
  }
  for (const CallPointer& call : lost) {
    TargetPool::Cancel(call->exchange);
    this->EndRun(call);
    if (call->is_answering) {
      this->EndPartialAnswer(call, false);
    } else {
      this->SendOutcome(call, CallOutcome::kBroken, CallReason::kClosed);
    }
  }
  this->FillSlots(BootTimeNow());
}

}  // namespace almondlink::relay
