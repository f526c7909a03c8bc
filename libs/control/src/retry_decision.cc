#include "almondlink/control/retry_decision.h"

#include <algorithm>

namespace almondlink::control {

namespace {

/// Most attempts of one call at one node, whatever the grant.
constexpr std::uint32_t kMaxAttempts = 4;
constexpr std::int64_t kFirstDelay = 5;
constexpr std::int64_t kLongestDelay = 80;

}  // namespace

RetryChoice DecideRetry(const FailedAttempt& failed) {
  const ErrorAnswer& answer = AnswerFor(failed.kind);
  const bool is_safe =
      failed.is_repeatable || answer.verdict == Verdict::kNotRun;
  const bool is_worth_it = answer.is_retryable || failed.is_server_error;
  const bool is_in_time =
      static_cast<double>(failed.left.count) > failed.likely.count;
  const bool is_sensible =
      is_worth_it && failed.has_other_target && failed.attempts < kMaxAttempts;
  return is_safe && is_in_time && is_sensible ? RetryChoice::kRetry
                                              : RetryChoice::kGiveUp;
}

Millis RetryDelay(std::uint32_t attempts, double draw) {
  const std::int64_t longest =
      std::min(kLongestDelay, kFirstDelay << std::min(attempts, 8U));
  return Millis{static_cast<std::int64_t>(draw * static_cast<double>(longest))};
}

}  // namespace almondlink::control
