#include "almondlink/control/retry_budget.h"

#include <algorithm>

namespace almondlink::control {

namespace {

constexpr std::int64_t kToken = 1000;

}  // namespace

void FillBudget(const RetryBudgetLimits& limits, RetryBudget& budget) {
  budget.millitokens.store(limits.burst * kToken);
}

void EarnRetry(const RetryBudgetLimits& limits, RetryBudget& budget) {
  const std::int64_t earned = static_cast<std::int64_t>(limits.ratio * kToken);
  const std::int64_t most = limits.burst * kToken;
  std::int64_t tokens = budget.millitokens.load(std::memory_order_relaxed);
  while (tokens < most && !budget.millitokens.compare_exchange_weak(
                              tokens, std::min(most, tokens + earned),
                              std::memory_order_relaxed)) {
  }
}

bool SpendRetry(RetryBudget& budget) {
  std::int64_t tokens = budget.millitokens.load(std::memory_order_relaxed);
  while (tokens >= kToken) {
    if (budget.millitokens.compare_exchange_weak(tokens, tokens - kToken,
                                                 std::memory_order_relaxed)) {
      return true;
    }
  }
  return false;
}

}  // namespace almondlink::control
