#include "almondlink/control/retry_decision.h"

#include <algorithm>

namespace almondlink::control {

namespace {

/// Maximum number of attempts of one call at one node, whatever the grant.
constexpr std::uint32_t kMaxAttempts = 4;
constexpr std::int64_t kBaseDelay = 5;
constexpr std::int64_t kMaxDelay = 80;

}  // namespace

RetryChoice DecideRetry(const FailedAttempt& failed) {
  const ErrorAnswer& answer = AnswerFor(failed.kind);
  const bool is_safe =
      failed.is_repeatable || answer.verdict == Verdict::kNotRun;
  const bool is_retryable = answer.is_retryable || failed.is_server_error;
  const bool is_in_time = static_cast<double>(failed.time_left.count) >
                          failed.expected_latency.count;
  const bool is_sensible =
      is_retryable && failed.has_other_target && failed.attempts < kMaxAttempts;
  return is_safe && is_in_time && is_sensible ? RetryChoice::kRetry
                                              : RetryChoice::kGiveUp;
}

Millis RetryDelay(std::uint32_t attempts, double draw) {
  const std::int64_t max_delay =
      std::min(kMaxDelay, kBaseDelay << std::min(attempts, 8U));
  return Millis{
      static_cast<std::int64_t>(draw * static_cast<double>(max_delay))};
}

}  // namespace almondlink::control
