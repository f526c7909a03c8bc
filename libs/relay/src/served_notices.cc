#include "served_call.h"

/// What the target states about itself in its answers: a rate limit, and that
/// it is leaving.
namespace almondlink::relay {

namespace {

constexpr std::uint32_t kMisdirected = 421;
/// Interval of the reports of how a limit is used.
constexpr Millis kLimitUsageInterval{4000};

}  // namespace

void ServedCalls::ApplyNotices(const Call& call, const AnswerHead& head) {
  // A misdirected request was answered by another instance.
  const bool is_of_current = head.status != kMisdirected &&
                             call.sent_to == this->tracker.current.incarnation;
  if (!is_of_current) {
    return;
  }
  const Millis now = BootTimeNow();
  if (control::UpdateNamedLimit(now, call.sent_at, head.rate_limit,
                                this->limit)) {
    this->StartLimitUsage(now);
    this->events.on_limit_changed();
  }
  if (head.is_leaving && !this->has_said_leaving) {
    this->has_said_leaving = true;
    this->events.on_says_leaving(call.sent_to);
  }
}

/// Another incarnation of the target has stated nothing yet.
void ServedCalls::ForgetNotices() {
  const bool had_limit = this->limit.per_s.has_value();
  this->limit = control::NamedLimit();
  this->has_said_leaving = false;
  if (had_limit) {
    this->events.on_limit_changed();
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
