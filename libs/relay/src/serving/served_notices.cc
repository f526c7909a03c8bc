#include <iterator>
#include <vector>

#include "served_call.h"

/// What the target states about itself: its reports, and in its answers a rate
/// limit and that it is leaving.
namespace almondlink::relay {

namespace {

constexpr std::uint32_t kMisdirected = 421;
/// Interval of the reports of how a limit is used.
constexpr Millis kLimitUsageInterval{4000};

}  // namespace

control::ReportEffect ServedCalls::OnReport(
    Millis received,
    const control::InstanceReport& report) {
  const control::InstanceIncarnation before = this->tracker.current.incarnation;
  const std::string service_before = this->tracker.current.service;
  const control::ReportEffect effect =
      control::ApplyReport(received, report, this->tracker);
  const control::InstanceIncarnation& current =
      this->tracker.current.incarnation;
  const bool is_back = this->is_target_gone &&
                       effect != control::ReportEffect::kIgnored &&
                       effect != control::ReportEffect::kRefused;
  this->is_target_gone = this->is_target_gone && !is_back;
  if (before != current) {
    // Connections to the previous instance must not carry requests for this
    // one.
    this->pool.CloseIdle();
    control::ResetWork(this->meter);
    this->ForgetCapacity();
    this->errors = control::ErrorRate();
    this->ForgetNotices();
    if (service_before != this->tracker.current.service) {
      this->RejectQueue(CallReason::kOtherInstance);
    }
    if (before.id == current.id) {
      this->EndRunsOfPreviousIncarnation();
    }
  }
  return is_back ? control::ReportEffect::kChanged : effect;
}

control::ReportEffect ServedCalls::OnLeave(
    Millis received,
    const control::InstanceIncarnation& incarnation) {
  return control::ApplyLeave(received, incarnation, this->tracker);
}

control::ReportEffect ServedCalls::RestoreDraining(
    const control::InstanceIncarnation& incarnation) {
  return control::RestoreDeparted(BootTimeNow(), incarnation, this->tracker);
}

void ServedCalls::ApplyNotices(const Call& call, const AnswerHead& head) {
  // A misdirected request was answered by another instance.
  const bool is_of_current = head.status != kMisdirected &&
                             call.sent_to == this->tracker.current.incarnation;
  if (!is_of_current) {
    return;
  }
  this->has_answered = true;
  const bool states_nothing = !head.rate_limit.has_value() && !head.is_leaving;
  if (states_nothing && !this->limit.per_s.has_value()) {
    return;
  }
  const Millis now = BootTimeNow();
  if (control::UpdateNamedLimit(now, call.sent_at, head.rate_limit,
                                this->limit)) {
    this->StartLimitUsage(now);
    this->RejectMovable();
    this->events.on_limit_changed();
  }
  if (head.is_leaving && !this->has_said_leaving) {
    this->has_said_leaving = true;
    this->events.on_says_leaving(call.sent_to);
  }
}

/// Another incarnation of the target has stated nothing yet, as far as this
/// node and others know.
void ServedCalls::ForgetNotices() {
  const bool had_limit = this->limit.per_s.has_value();
  this->limit = control::NamedLimit();
  this->has_said_leaving = false;
  this->has_answered = false;
  if (this->remembered_limit.has_value() &&
      this->limited_incarnation == this->tracker.current.incarnation) {
    this->RestoreLimit(this->limited_incarnation, *this->remembered_limit);
  } else if (had_limit) {
    this->events.on_limit_changed();
  }
}

void ServedCalls::RestoreLimit(const control::InstanceIncarnation& incarnation,
                               double per_s) {
  const bool is_current =
      this->tracker.phase != control::InstancePhase::kNone &&
      incarnation == this->tracker.current.incarnation;
  if (!is_current) {
    this->limited_incarnation = incarnation;
    this->remembered_limit = per_s;
    return;
  }
  this->remembered_limit.reset();
  if (this->has_answered || this->limit.per_s.has_value()) {
    return;
  }
  const Millis now = BootTimeNow();
  control::UpdateNamedLimit(now, now, per_s, this->limit);
  this->StartLimitUsage(now);
  this->RejectMovable();
  this->events.on_limit_changed();
}

/// Returns the queued calls for which their senders have other targets, if the
/// target names a limit.
void ServedCalls::RejectMovable() {
  if (!this->limit.per_s.has_value()) {
    return;
  }
  std::vector<CallPointer> movable;
  for (const auto& [key, call] : this->queue) {
    if (call->may_move) {
      movable.push_back(call);
    }
  }
  for (const CallPointer& call : movable) {
    // A sender on this node may have sent or withdrawn it meanwhile: it reacts
    // to the return of another call at once.
    if (this->queue.count(call->key) == 0) {
      continue;
    }
    control::RemoveRefusedDemand(call->info.root_route, this->meter);
    this->Reject(call, CallReason::kRateLimited);
  }
}

/// Rejects calls while the limit does not let the last one of the queue be sent
/// in time: the least useful ones, which are the last ones if the queue is
/// ordered by priority.
void ServedCalls::RejectHopeless(Millis now) {
  while (this->limit.per_s.has_value() && !this->queue.empty()) {
    const CallPointer last = std::prev(this->queue.end())->second;
    const Millis expected = control::TimeToSend(this->Waiting(), this->limit);
    if (now + expected <= last->wait_until) {
      return;
    }
    const CallPointer least_useful = std::prev(this->kept.end())->second;
    this->Reject(least_useful, CallReason::kRateLimited);
  }
}

void ServedCalls::StartLimitUsage(Millis now) {
  this->limit_usage = LimitUsage();
  this->limit_usage.since = now;
  this->refused_before_usage = this->counters.refused_by_target;
}

void ServedCalls::CountSentUnderLimit(LinkId link) {
  if (this->limit.per_s.has_value()) {
    ++this->limit_usage.sent;
    ++this->limit_usage.sent_by_link[link];
  }
}

void ServedCalls::ReportLimitUsage(Millis now) {
  if (!this->limit.per_s.has_value() ||
      now - this->limit_usage.since < kLimitUsageInterval) {
    return;
  }
  this->limit_usage.until = now;
  this->limit_usage.refused =
      this->counters.refused_by_target - this->refused_before_usage;
  this->events.on_limit_usage(this->limit_usage);
  this->StartLimitUsage(now);
}

}  // namespace almondlink::relay
