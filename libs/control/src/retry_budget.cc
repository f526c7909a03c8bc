#include "almondlink/control/retry_budget.h"

#include <algorithm>

namespace almondlink::control {

namespace {

constexpr std::int64_t kMillitokensPerToken = 1000;

}  // namespace

void FillBudget(const RetryBudgetLimits& limits, RetryBudget& budget) {
  budget.millitokens.store(limits.burst * kMillitokensPerToken);
}

void EarnRetry(const RetryBudgetLimits& limits, RetryBudget& budget) {
  const std::int64_t earned =
      static_cast<std::int64_t>(limits.ratio * kMillitokensPerToken);
  const std::int64_t max_millitokens = limits.burst * kMillitokensPerToken;
  std::int64_t millitokens = budget.millitokens.load(std::memory_order_relaxed);
  while (millitokens < max_millitokens &&
         !budget.millitokens.compare_exchange_weak(
             millitokens, std::min(max_millitokens, millitokens + earned),
             std::memory_order_relaxed)) {
  }
}

bool SpendRetry(RetryBudget& budget) {
  std::int64_t millitokens = budget.millitokens.load(std::memory_order_relaxed);
  while (millitokens >= kMillitokensPerToken) {
    if (budget.millitokens.compare_exchange_weak(
            millitokens, millitokens - kMillitokensPerToken,
            std::memory_order_relaxed)) {
      return true;
    }
  }
  return false;
}

}  // namespace almondlink::control
