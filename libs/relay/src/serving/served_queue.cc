#include <algorithm>
#include <iterator>
#include <vector>

#include "served_call.h"

/// The queue of the target: its order, and calls that leave it without running.
namespace almondlink::relay {

namespace {

/// Maximum number of queued calls, in multiples of the slots. A longer queue
/// could not be served within a deadline of twenty times the run time.
constexpr std::uint32_t kQueuePerSlot = 8;
constexpr std::uint32_t kMinQueueLimit = 64;

}  // namespace

void ServedCalls::Enqueue(Millis now, const CallPointer& call) {
  const control::QueuedCall queued{
      control::LatestStart({call->info.deadline, call->wait_until},
                           this->LikelyMinRun(now, *call)),
      call->info.priority, call->info.depth, ++this->arrivals};
  call->key = this->is_by_due ? control::KeyByDue(queued)
                              : control::KeyByPriority(queued);
  this->queue.emplace(call->key, call);
  this->kept.emplace(call->key, call);
}

void ServedCalls::Dequeue(const CallPointer& call) {
  this->queue.erase(call->key);
  this->kept.erase(call->key);
}

/// Notes that a call that has just arrived found no free slot.
void ServedCalls::CountWait(const CallPointer& call) {
  if (this->queue.count(call->key) > 0) {
    call->has_waited = true;
    ++this->queue_counters.queued;
  }
}

void ServedCalls::CountOvertaking(const Call& call) {
  const bool overtakes =
      !this->kept.empty() &&
      this->kept.begin()->first.priority < call.info.priority;
  this->queue_counters.overtook += overtakes ? 1 : 0;
}

/// Returns all queued calls unrun.
void ServedCalls::RejectQueue(CallReason reason) {
  while (!this->queue.empty()) {
    const CallPointer call = this->queue.begin()->second;
    control::RemoveRefusedDemand(call->info.root_route, this->meter);
    this->Reject(call, reason);
  }
}

/// Rejects the least useful calls of a queue that is too long.
void ServedCalls::RejectOverflow() {
  const std::size_t max_queue = std::max(
      kMinQueueLimit, kQueuePerSlot * control::UsableSlots(this->tracker));
  while (this->queue.size() > max_queue) {
    const CallPointer last = std::prev(this->kept.end())->second;
    this->Reject(last, CallReason::kFull);
  }
}

LatencyMs ServedCalls::LikelyMinRun(Millis now, const Call& call) const {
  return this->is_by_due
             ? control::LikelyMinRun(now, call.kind, this->run_estimates)
             : LatencyMs{0};
}

/// Whether a call may be sent to the target now. The likely run time is held
/// only against a call that has waited: where slots are free, a run that is
/// shorter than most costs nobody a slot.
bool ServedCalls::CanStillStart(Millis now, const Call& call) const {
  if (call.info.deadline <= now + kMinRemaining) {
    return false;
  }
  return !this->is_by_due || !call.has_waited ||
         control::CanStart(now, {call.info.deadline, call.wait_until},
                           this->LikelyMinRun(now, call));
}

/// Rejects the calls at the front of the queue whose latest useful start has
/// passed. Calls whose latest start came nearer because the target has become
/// slower are found by Sweep().
void ServedCalls::RejectExpired(Millis now) {
  if (!this->is_by_due) {
    return;
  }
  const std::int64_t slice = now.count / control::kDueSlice.count;
  std::vector<CallPointer> expired;
  for (const auto& [key, call] : this->queue) {
    if (key.slice > slice) {
      break;
    }
    if (!this->CanStillStart(now, *call)) {
      expired.push_back(call);
    }
  }
  for (const CallPointer& call : expired) {
    this->RejectLate(now, call);
  }
}

/// Rejects a call whose time is over, or whose target is draining.
void ServedCalls::RejectLate(Millis now, const CallPointer& call) {
  // A sender on this node reacts to the rejection of another call at once, and
  // may have withdrawn this one.
  if (this->queue.count(call->key) == 0) {
    return;
  }
  const CallReason reason = this->ReasonOfLateCall(now, *call);
  if (reason != CallReason::kDraining) {
    ++this->queue_counters.left;
    ++this->queue_counters.left_by_class[call->info.root_route];
  }
  this->Reject(call, reason);
}

CallReason ServedCalls::ReasonOfLateCall(Millis now, const Call& call) const {
  if (this->IsPastDrain(now)) {
    return CallReason::kDraining;
  }
  if (call.info.deadline <= now + kMinRemaining || now < call.wait_until) {
    return CallReason::kDeadline;
  }
  return this->limit.per_s.has_value() ? CallReason::kRateLimited
                                       : CallReason::kFull;
}

/// Mean time in milliseconds that the running calls have taken so far.
double ServedCalls::MeanTimeInProgress(Millis now) const {
  double sum = 0;
  for (const auto& [id, call] : this->runs) {
    sum += static_cast<double>((now - call->sent_at).count);
  }
  return this->runs.empty() ? 0 : sum / static_cast<double>(this->runs.size());
}

void ServedCalls::MoveWaiting(Millis now,
                              const control::LoadElsewhere& elsewhere,
                              const control::MoveRules& rules) {
  const std::uint32_t moves = control::MovesLeft(now, rules, this->Waiting(),
                                                 elsewhere, this->move_budget);
  // A target that names a rate limit returns calls by that limit alone.
  if (this->queue.empty() || this->limit.per_s.has_value() ||
      elsewhere.free_slots <= 0) {
    return;
  }
  std::vector<CallPointer> waiting;
  std::vector<bool> may_move;
  waiting.reserve(this->queue.size());
  may_move.reserve(this->queue.size());
  for (const auto& [key, call] : this->queue) {
    waiting.push_back(call);
    may_move.push_back(call->may_move);
  }
  const double run_ms = control::ExpectedRunMs(control::MeanWorkMs(this->meter),
                                               this->MeanTimeInProgress(now));
  const control::MoveChoice choice = control::ChooseMoves(
      may_move, control::UsableSlots(this->tracker), run_ms, moves);
  this->move_budget.returned +=
      static_cast<std::uint32_t>(choice.returned.size());
  for (const std::size_t place : choice.denied) {
    Call& call = *waiting[place];
    this->queue_counters.moves_denied += call.was_denied_move ? 0 : 1;
    call.was_denied_move = true;
  }
  for (const std::size_t place : choice.returned) {
    const CallPointer& call = waiting[place];
    // A sender on this node reacts to the return of another call at once, and
    // may have withdrawn this one.
    if (this->queue.count(call->key) == 0) {
      continue;
    }
    ++this->queue_counters.moved;
    // It is part of the demand at the target that runs it.
    control::RemoveRefusedDemand(call->info.root_route, this->meter);
    this->Reject(call, CallReason::kMoved);
  }
}

}  // namespace almondlink::relay
