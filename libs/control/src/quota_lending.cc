#include "almondlink/control/quota_lending.h"

#include <algorithm>
#include <cmath>

namespace almondlink::control {

namespace {

constexpr double kMillisPerSecond = 1000;
/// Part of the room that the bound leaves which a change of lender may use.
constexpr double kFreshPart = 0.25;
/// Part of the nodes that a lender must reach to lend the whole limit.
constexpr double kNearlyAll = 0.93;
/// Part of its most that a bucket holds where its account is well below its
/// limit.
constexpr double kAmplePart = 0.5;
/// Memory of the requests that were turned away.
constexpr double kTurnedAwayMemoryMs = 1000;
/// Longest advice when there may be a token.
constexpr Millis kLongestWait{2000};
/// A borrower asks again no sooner, and at the latest after this, though the
/// lender has nothing: some asks a second for each node and account over its
/// limit.
constexpr Millis kSoonestNext{20};
constexpr Millis kLatestNext{200};
/// A caller is kept waiting for a token that comes within this time: coming
/// back would take it longer.
constexpr Millis kShortWait{50};
/// Demand is followed and stock is held for this long ahead.
constexpr double kAheadMs = 100;
/// Rates are averaged over this time: a few round trips to the lender.
constexpr double kRateMemoryMs = 500;
constexpr Millis kRateWindow{50};
/// Stock that was not touched for so long is dropped: the lender counted it
/// when it was lent, and a later use would lie in another window.
constexpr Millis kStockLife{500};
/// An ask is answered within a round trip, a few milliseconds or, between
/// regions, some forty.
constexpr Millis kAnswerWait{60};
/// A silent lender is replaced by then; a node that has heard of none for
/// longer lets nothing more in by itself.
constexpr Millis kOwnFor{2500};
/// Part of what a node was lent that it goes on with by itself.
constexpr double kOwnPart = 0.8;
constexpr Millis kIdleAfter{10'000};

/// Most tokens that a bucket holds.
double MostTokens(const QuotaRules& rules,
                  const QuotaLimit& limit,
                  double part) {
  return std::max(1.0, part * std::max(limit.burst, FreshTokens(rules, limit)));
}

/// Time in which so many tokens are earned.
Millis WaitFor(double tokens, double per_s) {
  const auto longest = static_cast<double>(kLongestWait.count);
  const double wait = per_s > 0 ? tokens / per_s * kMillisPerSecond : longest;
  return Millis{static_cast<std::int64_t>(std::ceil(std::min(wait, longest)))};
}

void UpdateRates(Millis now, QuotaPurse& purse) {
  const Millis passed = now - purse.rates_at;
  if (passed < kRateWindow) {
    return;
  }
  const auto span = static_cast<double>(passed.count);
  UpdateRate(span, kRateMemoryMs, purse.demand);
  // While the lender is silent the node goes on by what it was lent before.
  if (!IsLenderSilent(now, purse)) {
    UpdateRate(span, kRateMemoryMs, purse.lent);
  }
  purse.rates_at = now;
}

}  // namespace

double FreshTokens(const QuotaRules& rules, const QuotaLimit& limit) {
  const double window_s =
      static_cast<double>(rules.window.count) / kMillisPerSecond;
  const double room =
      rules.over * (limit.per_s * window_s + limit.burst) + rules.slack;
  return kFreshPart * room;
}

QuotaBucket StartBucket(const QuotaRules& rules,
                        const QuotaLimit& limit,
                        double part,
                        Millis since,
                        Millis now) {
  QuotaBucket bucket;
  bucket.tokens.is_started = true;
  bucket.tokens.tokens = part * FreshTokens(rules, limit);
  bucket.tokens.filled = since;
  bucket.turned_away_at = now;
  Refill(part * limit.per_s, MostTokens(rules, limit, part), now,
         bucket.tokens);
  return bucket;
}

QuotaLoan Lend(const QuotaRules& rules,
               const QuotaLimit& limit,
               double part,
               Millis now,
               std::uint32_t wanted,
               QuotaBucket& bucket) {
  const double per_s = part * limit.per_s;
  Refill(per_s, MostTokens(rules, limit, part), now, bucket.tokens);
  const auto passed = static_cast<double>((now - bucket.turned_away_at).count);
  bucket.turned_away *= std::exp(-std::max(0.0, passed) / kTurnedAwayMemoryMs);
  bucket.turned_away_at = now;
  QuotaLoan loan;
  loan.granted = static_cast<std::uint32_t>(std::clamp(
      std::floor(bucket.tokens.tokens), 0.0, static_cast<double>(wanted)));
  bucket.tokens.tokens -= loan.granted;
  loan.is_ample =
      bucket.tokens.tokens >= kAmplePart * MostTokens(rules, limit, part);
  if (loan.granted < wanted) {
    const double missing = 1 - bucket.tokens.tokens;
    loan.next = std::clamp(WaitFor(missing, per_s), kSoonestNext, kLatestNext);
    loan.wait =
        std::min(WaitFor(missing + bucket.turned_away, per_s), kLongestWait);
    bucket.turned_away += wanted - loan.granted;
  }
  return loan;
}

double LentPart(std::uint32_t reached, std::uint32_t known) {
  const double part = static_cast<double>(reached) / std::max(1U, known);
  return part >= kNearlyAll ? 1 : part;
}

QuotaAnswer TakeQuota(Millis now, QuotaPurse& purse) {
  UpdateRates(now, purse);
  ++purse.demand.events;
  if (TakeFromStock(now, purse)) {
    return QuotaAnswer::kTaken;
  }
  const bool is_over = now < purse.empty_until && !IsWorthWaiting(purse.wait);
  return is_over ? QuotaAnswer::kOver : QuotaAnswer::kAsk;
}

bool TakeFromStock(Millis now, QuotaPurse& purse) {
  if (now - purse.moved > kStockLife) {
    purse.stock = 0;
  }
  if (purse.stock < 1) {
    return false;
  }
  purse.stock -= 1;
  purse.moved = now;
  return true;
}

void GiveBack(Millis now, QuotaPurse& purse) {
  purse.stock += 1;
  purse.moved = now;
}

std::uint32_t AskFor(Millis now, std::uint32_t waiting, QuotaPurse& purse) {
  const bool is_out = purse.asked > 0 && now - purse.asked_last < kAnswerWait;
  if (is_out || now < purse.empty_until) {
    return 0;
  }
  const double ahead =
      std::floor(purse.demand.per_s * kAheadMs / kMillisPerSecond);
  const bool is_low = ahead >= 1 && purse.stock <= ahead / 2;
  if (waiting == 0 && !is_low) {
    return 0;
  }
  const double missing = std::max(0.0, ahead - purse.stock);
  const auto wanted = waiting + static_cast<std::uint32_t>(missing);
  if (wanted > 0) {
    // An ask that was not answered stays the first of its silence.
    purse.asked_at = purse.asked > 0 ? purse.asked_at : now;
    purse.asked_last = now;
    purse.asked = wanted;
  }
  return wanted;
}

void TakeLoan(Millis now, const QuotaLoan& loan, QuotaPurse& purse) {
  UpdateRates(now, purse);
  purse.asked = 0;
  purse.heard = now;
  purse.own = RateLimit();
  purse.stock += loan.granted;
  purse.moved = now;
  purse.lent.events += static_cast<std::int32_t>(loan.granted);
  purse.empty_until = loan.next > Millis{0} ? now + loan.next : Millis{0};
  purse.wait = loan.wait;
  purse.is_ample = loan.is_ample;
}

bool IsLenderSilent(Millis now, const QuotaPurse& purse) {
  return purse.asked > 0 && now - purse.asked_at >= kAnswerWait;
}

bool TakeOwn(Millis now, QuotaPurse& purse) {
  const bool is_trusted = purse.heard > Millis{0} &&
                          now - purse.heard <= kOwnFor &&
                          IsLenderSilent(now, purse);
  if (!is_trusted) {
    return false;
  }
  if (!purse.own.is_started) {
    purse.own.is_started = true;
    purse.own.filled = purse.asked_at;
    purse.own.tokens = purse.is_ample ? 1 : 0;
  }
  const double per_s =
      purse.is_ample ? purse.demand.per_s : kOwnPart * purse.lent.per_s;
  const double most = std::max(1.0, per_s * kAheadMs / kMillisPerSecond);
  Refill(per_s, most, now, purse.own);
  if (purse.own.tokens < 1) {
    return false;
  }
  purse.own.tokens -= 1;
  return true;
}

bool IsWorthWaiting(Millis wait) {
  return wait <= kShortWait;
}

bool IsIdle(Millis now, const QuotaPurse& purse) {
  return now - purse.rates_at > kIdleAfter;
}

}  // namespace almondlink::control
