#include "almondlink/control/quota_lending.h"

#include <algorithm>
#include <cmath>

namespace almondlink::control {

namespace {

constexpr double kMillisPerSecond = 1000;
/// Share of the margin between bound and limit that one change of lender may
/// use.
constexpr double kInitialShare = 0.25;
/// Share of the nodes that a lender must reach to lend the whole limit.
constexpr double kFullLendingReach = 0.93;
/// Share of its maximum that a bucket holds if its account is well below the
/// limit.
constexpr double kWellBelowLimitShare = 0.5;
/// Time constant of the decay of refused requests.
constexpr double kRefusedDecayMs = 1000;
/// Longest wait that is advised.
constexpr Millis kMaxWait{2000};
/// Bounds on the time after which a borrower asks a lender without tokens
/// again: a few requests per second for each node and account over its limit.
constexpr Millis kMinNextRequest{20};
constexpr Millis kMaxNextRequest{200};
/// A caller waits for a token that is available within this time: a retry would
/// take longer.
constexpr Millis kShortWait{50};
/// Tokens are borrowed for the demand of this long ahead.
constexpr double kPrefetchMs = 100;
/// Averaging time of the rates: a few round trips to the lender.
constexpr double kRateDecayMs = 500;
constexpr Millis kRateWindow{50};
/// Borrowed tokens that were not used for this long are dropped: the lender
/// counted them when it lent them, and a later use would fall into another
/// window.
constexpr Millis kBorrowedLifetime{500};
/// The lender replies within a round trip: a few milliseconds, or about forty
/// between regions.
constexpr Millis kReplyTimeout{60};
/// A silent lender is replaced within this time; a node that has heard from no
/// lender for longer admits nothing on its own.
constexpr Millis kFallbackDuration{2500};
/// Share of the rate lent to a node that it continues with on its own.
constexpr double kFallbackShare = 0.8;
constexpr Millis kIdleAfter{10'000};

/// Maximum number of tokens in a bucket.
double MaxTokens(const QuotaRules& rules,
                 const QuotaLimit& limit,
                 double share) {
  return std::max(1.0,
                  share * std::max(limit.burst, InitialTokens(rules, limit)));
}

/// Time in which this number of tokens is earned, at most kMaxWait.
Millis WaitFor(double tokens, double per_s) {
  const auto longest = static_cast<double>(kMaxWait.count);
  const double wait = per_s > 0 ? tokens / per_s * kMillisPerSecond : longest;
  return Millis{static_cast<std::int64_t>(std::ceil(std::min(wait, longest)))};
}

void UpdateRates(Millis now, QuotaBorrower& borrower) {
  const Millis elapsed = now - borrower.rates_updated;
  if (elapsed < kRateWindow) {
    return;
  }
  const auto span = static_cast<double>(elapsed.count);
  UpdateRate(span, kRateDecayMs, borrower.demand);
  // While the lender is silent, the node keeps the rate lent to it before.
  if (!IsLenderSilent(now, borrower)) {
    UpdateRate(span, kRateDecayMs, borrower.lent);
  }
  borrower.rates_updated = now;
}

}  // namespace

double InitialTokens(const QuotaRules& rules, const QuotaLimit& limit) {
  const double window_s =
      static_cast<double>(rules.window.count) / kMillisPerSecond;
  const double margin =
      rules.over * (limit.per_s * window_s + limit.burst) + rules.slack;
  return kInitialShare * margin;
}

QuotaBucket StartBucket(const QuotaRules& rules,
                        const QuotaLimit& limit,
                        double share,
                        Millis since,
                        Millis now) {
  QuotaBucket bucket;
  bucket.bucket.is_initialized = true;
  bucket.bucket.tokens = share * InitialTokens(rules, limit);
  bucket.bucket.filled_at = since;
  bucket.refused_at = now;
  Refill(share * limit.per_s, MaxTokens(rules, limit, share), now,
         bucket.bucket);
  return bucket;
}

QuotaLoan Lend(const QuotaRules& rules,
               const QuotaLimit& limit,
               double share,
               Millis now,
               std::uint32_t wanted,
               QuotaBucket& bucket) {
  const double per_s = share * limit.per_s;
  Refill(per_s, MaxTokens(rules, limit, share), now, bucket.bucket);
  const auto elapsed = static_cast<double>((now - bucket.refused_at).count);
  bucket.refused *= std::exp(-std::max(0.0, elapsed) / kRefusedDecayMs);
  bucket.refused_at = now;
  QuotaLoan loan;
  loan.granted = static_cast<std::uint32_t>(std::clamp(
      std::floor(bucket.bucket.tokens), 0.0, static_cast<double>(wanted)));
  bucket.bucket.tokens -= loan.granted;
  loan.is_well_below_limit =
      bucket.bucket.tokens >=
      kWellBelowLimitShare * MaxTokens(rules, limit, share);
  if (loan.granted < wanted) {
    const double missing = 1 - bucket.bucket.tokens;
    loan.next_request =
        std::clamp(WaitFor(missing, per_s), kMinNextRequest, kMaxNextRequest);
    loan.wait = std::min(WaitFor(missing + bucket.refused, per_s), kMaxWait);
    bucket.refused += wanted - loan.granted;
  }
  return loan;
}

double LendableShare(std::uint32_t reached, std::uint32_t known) {
  const double share = static_cast<double>(reached) / std::max(1U, known);
  return share >= kFullLendingReach ? 1 : share;
}

QuotaDecision TakeQuota(Millis now, QuotaBorrower& borrower) {
  UpdateRates(now, borrower);
  ++borrower.demand.events;
  if (TakeBorrowed(now, borrower)) {
    return QuotaDecision::kTaken;
  }
  const bool is_over =
      now < borrower.exhausted_until && !IsShortWait(borrower.wait);
  return is_over ? QuotaDecision::kOverLimit : QuotaDecision::kRequestTokens;
}

bool TakeBorrowed(Millis now, QuotaBorrower& borrower) {
  if (now - borrower.last_used > kBorrowedLifetime) {
    borrower.tokens = 0;
  }
  if (borrower.tokens < 1) {
    return false;
  }
  borrower.tokens -= 1;
  borrower.last_used = now;
  return true;
}

void GiveBack(Millis now, QuotaBorrower& borrower) {
  borrower.tokens += 1;
  borrower.last_used = now;
}

std::uint32_t TokensToRequest(Millis now,
                              std::uint32_t waiting,
                              QuotaBorrower& borrower) {
  const bool is_pending =
      borrower.requested > 0 && now - borrower.last_request < kReplyTimeout;
  if (is_pending || now < borrower.exhausted_until) {
    return 0;
  }
  const double ahead =
      std::floor(borrower.demand.per_s * kPrefetchMs / kMillisPerSecond);
  const bool is_low = ahead >= 1 && borrower.tokens <= ahead / 2;
  if (waiting == 0 && !is_low) {
    return 0;
  }
  const double missing = std::max(0.0, ahead - borrower.tokens);
  const auto wanted = waiting + static_cast<std::uint32_t>(missing);
  if (wanted > 0) {
    // An unanswered request keeps the time of its first transmission.
    borrower.requested_at =
        borrower.requested > 0 ? borrower.requested_at : now;
    borrower.last_request = now;
    borrower.requested = wanted;
  }
  return wanted;
}

void ApplyLoan(Millis now, const QuotaLoan& loan, QuotaBorrower& borrower) {
  UpdateRates(now, borrower);
  borrower.requested = 0;
  borrower.last_reply = now;
  borrower.fallback = TokenBucket();
  borrower.tokens += loan.granted;
  borrower.last_used = now;
  borrower.lent.events += static_cast<std::int32_t>(loan.granted);
  borrower.exhausted_until =
      loan.next_request > Millis{0} ? now + loan.next_request : Millis{0};
  borrower.wait = loan.wait;
  borrower.is_well_below_limit = loan.is_well_below_limit;
}

bool IsLenderSilent(Millis now, const QuotaBorrower& borrower) {
  return borrower.requested > 0 && now - borrower.requested_at >= kReplyTimeout;
}

bool TakeFallback(Millis now, QuotaBorrower& borrower) {
  const bool is_trusted = borrower.last_reply > Millis{0} &&
                          now - borrower.last_reply <= kFallbackDuration &&
                          IsLenderSilent(now, borrower);
  if (!is_trusted) {
    return false;
  }
  if (!borrower.fallback.is_initialized) {
    borrower.fallback.is_initialized = true;
    borrower.fallback.filled_at = borrower.requested_at;
    borrower.fallback.tokens = borrower.is_well_below_limit ? 1 : 0;
  }
  const double per_s = borrower.is_well_below_limit
                           ? borrower.demand.per_s
                           : kFallbackShare * borrower.lent.per_s;
  const double max_tokens =
      std::max(1.0, per_s * kPrefetchMs / kMillisPerSecond);
  Refill(per_s, max_tokens, now, borrower.fallback);
  if (borrower.fallback.tokens < 1) {
    return false;
  }
  borrower.fallback.tokens -= 1;
  return true;
}

bool IsShortWait(Millis wait) {
  return wait <= kShortWait;
}

bool IsIdle(Millis now, const QuotaBorrower& borrower) {
  return now - borrower.rates_updated > kIdleAfter;
}

}  // namespace almondlink::control
