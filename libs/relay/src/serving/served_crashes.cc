#include <algorithm>
#include <cstddef>
#include <vector>

#include "served_call.h"

/// Detection of crashes of the target's process, and reports of them to the
/// senders of the affected calls.
namespace almondlink::relay {

namespace {

/// A call that crashes the target does so within moments. Calls that were
/// cancelled while they ran are kept for this long, up to this number.
constexpr Millis kCancelledRetention{500};
constexpr std::size_t kMaxCancelled = 128;

}  // namespace

/// The target closed the connection of a running call. Before any further
/// action it is checked whether its process has crashed: a query of death that
/// is repeated at once would crash the next target.
void ServedCalls::OnConnectionLost(const CallPointer& call) {
  this->awaiting_crash_check.push_back(call);
  this->StartCrashCheck();
}

void ServedCalls::StartCrashCheck() {
  if (!this->is_checking_crash) {
    this->is_checking_crash = true;
    this->pool.CheckProcessGone([this](bool is_connect_refused) {
      this->FinishCrashCheck(is_connect_refused);
    });
  }
}

/// Whether the target's process has crashed. A refused connection alone is no
/// proof, since an overloaded target may refuse new connections while it
/// continues its running calls. A draining target that ends is not a crash.
bool ServedCalls::IsCrash(bool is_connect_refused) const {
  const auto alive = std::count_if(
      this->runs.begin(), this->runs.end(), [this](const auto& run) {
        return std::find(this->awaiting_crash_check.begin(),
                         this->awaiting_crash_check.end(),
                         run.second) == this->awaiting_crash_check.end();
      });
  return is_connect_refused && alive == 0 && !this->pool.HasOpenIdle() &&
         this->tracker.phase == control::InstancePhase::kReady;
}

void ServedCalls::FinishCrashCheck(bool is_connect_refused) {
  this->is_checking_crash = false;
  const bool has_crashed = this->IsCrash(is_connect_refused);
  std::vector<CallPointer> broken;
  broken.swap(this->awaiting_crash_check);
  if (has_crashed && !this->is_target_gone) {
    // Reported first, so that other nodes stop sending calls here.
    this->is_target_gone = true;
    ++this->counters.target_crashes;
    this->events.on_target_crashed(this->tracker.current.incarnation,
                                   broken.size());
  }
  for (const CallPointer& call : broken) {
    // The call may have been cancelled or timed out meanwhile.
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

/// Ends an answer of which the caller has received a part.
void ServedCalls::EndPartialAnswer(const CallPointer& call, bool is_crash) {
  DataFrame last_part;
  last_part.id = call->id;
  last_part.is_last = true;
  last_part.is_broken = true;
  last_part.is_target_crashed = is_crash;
  if (!call->is_abandoned || is_crash) {
    this->events.on_part(call->link, last_part);
  }
}

void ServedCalls::RecordCancelled(Millis now, const CallPointer& call) {
  this->recently_cancelled.push_back({call->link, call->id, now});
  if (this->recently_cancelled.size() > kMaxCancelled) {
    this->recently_cancelled.pop_front();
  }
}

/// Reports the crash for recently cancelled calls: their entry nodes record
/// which requests were running.
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

/// Fails all running calls as possibly executed: the previous incarnation of
/// the target will not answer them.
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
