#ifndef ALMONDLINK_CONTROL_RETRY_BUDGET_H_
#define ALMONDLINK_CONTROL_RETRY_BUDGET_H_

#include <atomic>
#include <cstdint>

/// Retry budget of one team at one node: a token bucket that first attempts
/// fill in proportion and retries drain. It limits the share of retries in a
/// team's traffic, whereas the grant limits the retries of one root request.
namespace almondlink::control {

/// Thousandths of a token. All functions below are thread safe and lock-free.
struct RetryBudget {
  std::atomic<std::int64_t> millitokens{0};
};

/// Limits of a budget, taken from the policy bundle.
struct RetryBudgetLimits {
  double ratio = 0.1;
  std::int64_t burst = 20;
};

/// Fills a new budget up to its burst.
void FillBudget(const RetryBudgetLimits& limits, RetryBudget& budget);

/// Adds what one first attempt earns, up to the burst.
void EarnRetry(const RetryBudgetLimits& limits, RetryBudget& budget);

/// Takes one token. Returns false and changes nothing if there is less than a
/// whole token.
bool SpendRetry(RetryBudget& budget);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_RETRY_BUDGET_H_
