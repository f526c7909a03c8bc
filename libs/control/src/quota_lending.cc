#include "almondlink/control/quota_lending.h"

#include <algorithm>
#include <cmath>

namespace almondlink::control {

namespace {

constexpr double kMillisPerSecond = 1000;
/// Part of the room that the bound leaves which a change of lender may use.
constexpr double kInitialShare = 0.25;
/// Part of the nodes that a lender must reach to lend the whole limit.
constexpr double kFullLendingReach = 0.93;
/// Part of its most that a bucket holds where its account is well below its
/// limit.
constexpr double kWellBelowLimitShare = 0.5;
/// Memory of the requests that were turned away.
constexpr double kRefusedDecayMs = 1000;
/// Longest advice when there may be a token.
constexpr Millis kMaxWait{2000};
/// A borrower asks again no sooner, and at the latest after this, though the
/// lender has nothing: some asks a second for each node and account over its
/// limit.
constexpr Millis kMinNextRequest{20};
constexpr Millis kMaxNextRequest{200};
/// A caller is kept waiting for a token that comes within this time: coming
/// back would take it longer.
constexpr Millis kShortWait{50};
/// Demand is followed and stock is held for this long ahead.
constexpr double kPrefetchMs = 100;
/// Rates are averaged over this time: a few round trips to the lender.
constexpr double kRateDecayMs = 500;
constexpr Millis kRateWindow{50};
/// Stock that was not touched for so long is dropped: the lender counted it
/// when it was lent, and a later use would lie in another window.
constexpr Millis kBorrowedLifetime{500};
/// An ask is answered within a round trip, a few milliseconds or, between
/// regions, some forty.
constexpr Millis kReplyTimeout{60};
/// A silent lender is replaced by then; a node that has heard of none for
/// longer lets nothing more in by itself.
constexpr Millis kFallbackDuration{2500};
/// Part of what a node was lent that it goes on with by itself.
constexpr double kFallbackShare = 0.8;
constexpr Millis kIdleAfter{10'000};

/// Most tokens that a bucket holds.
double MaxTokens(const QuotaRules& rules,
                 const QuotaLimit& limit,
                 double share) {
  return std::max(1.0,
                  share * std::max(limit.burst, InitialTokens(rules, limit)));
}

/// Time in which so many tokens are earned.
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
  // While the lender is silent the node goes on by what it was lent before.
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
    // An ask that was not answered stays the first of its silence.
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
