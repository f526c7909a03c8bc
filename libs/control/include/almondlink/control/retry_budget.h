#ifndef ALMONDLINK_CONTROL_RETRY_BUDGET_H_
#define ALMONDLINK_CONTROL_RETRY_BUDGET_H_

#include <atomic>
#include <cstdint>

/// Retry budget of one team at one node: a token bucket that first attempts
/// fill in proportion and retries empty. It bounds the share of retries in a
/// team's traffic, while the grant bounds the retries of one root request.
namespace almondlink::control {

/// Tokens in thousandths. All functions below are thread safe and lock-free.
struct RetryBudget {
  std::atomic<std::int64_t> millitokens{0};
};

/// Limits of a budget, from the bundle.
struct RetryBudgetLimits {
  double ratio = 0.1;
  std::int64_t burst = 20;
};

/// Fills a fresh budget to its burst.
void FillBudget(const RetryBudgetLimits& limits, RetryBudget& budget);

/// Adds what one first attempt earns, up to the burst.
void EarnRetry(const RetryBudgetLimits& limits, RetryBudget& budget);

/// Takes one token; false, and no change, if there is not a whole one.
bool SpendRetry(RetryBudget& budget);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_RETRY_BUDGET_H_
