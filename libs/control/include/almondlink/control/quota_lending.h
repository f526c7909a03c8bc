#ifndef ALMONDLINK_CONTROL_QUOTA_LENDING_H_
#define ALMONDLINK_CONTROL_QUOTA_LENDING_H_

#include <cstdint>

#include "almondlink/base/clock.h"
#include "almondlink/control/demand_meter.h"
#include "almondlink/control/token_bucket.h"

/// Enforces one limit of a client account over all nodes.
///
/// For each account one node, its *lender*, holds the only token bucket. All
/// nodes determine it alike from a hash of the account and the names of the
/// nodes that they reach. The other nodes, the *borrowers*, request tokens from
/// it: for requests that wait for one, and a tenth of a second in advance where
/// requests arrive often. The nodes together thus admit what a single bucket
/// allows, wherever the demand arises and whenever it moves, and every admitted
/// request has a token that was lent before.
///
/// The sum stays within the limit when nodes lose contact with each other,
/// because:
///
/// - A lender lends only the share of the limit that corresponds to the nodes
///   it reaches out of those it knows, so the two sides of a partition together
///   do not exceed the limit.
/// - The bucket of a new lender starts almost empty: what the previous lender
///   had left is lost rather than available twice. The same holds after a
///   restart of all nodes and for a host that was suspended.
/// - A borrower whose lender is silent continues at the rate at which it was
///   lent tokens, until the silence is resolved; in sum that stays within the
///   limit. If the account was well below its limit, the borrower continues at
///   the rate of its demand, plus one request, which the tokens left at the
///   silent lender cover.
///
/// docs/design/accounts.md compares this with two ways of sharing a limit
/// without a lender.
namespace almondlink::control {

/// Upper bound for an account in any window, as operators count it: (per_s *
/// window + burst) * (1 + over) + slack.
struct QuotaRules {
  Millis window{5000};
  double over = 0.1;
  double slack = 20;
};

/// A limit of one account: sustained rate and burst.
struct QuotaLimit {
  double per_s = 0;
  double burst = 0;
};

// ---- Lender ----

/// The bucket of one account at its lender. Plain data; one thread at a time.
struct QuotaBucket {
  TokenBucket bucket;
  /// Requests refused for lack of tokens, decaying over a second. They will be
  /// retried, so the next caller has to wait for them as well.
  double refused = 0;
  Millis refused_at;
};

/// The lender's reply to a request for tokens.
struct QuotaLoan {
  std::uint32_t granted = 0;
  /// Time until one more token may be available; 0 if all were granted.
  Millis next_request;
  /// Time until a token is available for a caller that is refused now, after
  /// the callers that were refused before.
  Millis wait;
  /// At least half of the burst is left.
  bool is_well_below_limit = false;
};

/// Initial tokens of a new lender's bucket: a quarter of the margin between the
/// bound and the limit, so that two changes of lender within a window stay
/// within the bound.
double InitialTokens(const QuotaRules& rules, const QuotaLimit& limit);

/// Creates the bucket of a node that has been the account's lender since
/// `since`, which must be in the past, and that lends for the first time now.
QuotaBucket StartBucket(const QuotaRules& rules,
                        const QuotaLimit& limit,
                        double share,
                        Millis since,
                        Millis now);

/// Lends up to `wanted` tokens. `share`: the share of the limit that may be
/// lent here, see LendableShare.
QuotaLoan Lend(const QuotaRules& rules,
               const QuotaLimit& limit,
               double share,
               Millis now,
               std::uint32_t wanted,
               QuotaBucket& bucket);

/// Share of a limit that a node may lend if it reaches `reached` of `known`
/// nodes, itself counted in both. It stays 1 while up to a fourteenth of the
/// nodes is missing: the missing nodes can lend no more than that fraction on
/// their side, and the bound leaves a margin of a tenth.
double LendableShare(std::uint32_t reached, std::uint32_t known);

// ---- Borrower ----

/// One account at a node that borrows tokens for it. Plain data; one thread at
/// a time.
struct QuotaBorrower {
  /// Borrowed tokens, and when one was last taken or added.
  double tokens = 0;
  Millis last_used;
  /// Requests per second at this node, and tokens per second lent to it.
  RateMeter demand;
  RateMeter lent;
  Millis rates_updated;
  /// Tokens asked for by the request to the lender that is not answered yet,
  /// and when that request was first sent; 0 tokens: none is pending.
  std::uint32_t requested = 0;
  Millis requested_at;
  /// When the request was last resent.
  Millis last_request;
  /// When the lender last replied.
  Millis last_reply;
  /// The lender has no tokens before `exhausted_until`; `wait` is the wait that
  /// its reply advised for refused callers.
  Millis exhausted_until;
  Millis wait;
  bool is_well_below_limit = false;
  /// Limits what the node admits on its own while the lender is silent.
  TokenBucket fallback;
};

/// The decision about one request.
enum class QuotaDecision : std::uint8_t {
  /// A token was taken.
  kTaken,
  /// The account exceeds its limit.
  kOverLimit,
  /// A token must be requested from the lender.
  kRequestTokens,
};

/// Decides about one request that has just arrived.
QuotaDecision TakeQuota(Millis now, QuotaBorrower& borrower);

/// Takes a borrowed token for a request that waited for one; the request was
/// counted when it arrived.
bool TakeBorrowed(Millis now, QuotaBorrower& borrower);

/// Returns an unused token: its request did not run.
void GiveBack(Millis now, QuotaBorrower& borrower);

/// Number of tokens to request from the lender now; 0: none. The caller sends
/// the request.
std::uint32_t TokensToRequest(Millis now,
                              std::uint32_t waiting,
                              QuotaBorrower& borrower);

/// Applies the lender's reply.
void ApplyLoan(Millis now, const QuotaLoan& loan, QuotaBorrower& borrower);

/// Whether the lender has not replied for longer than a round trip takes.
bool IsLenderSilent(Millis now, const QuotaBorrower& borrower);

/// Takes a token of the node's own allowance while the lender is silent.
bool TakeFallback(Millis now, QuotaBorrower& borrower);

/// Whether a token will be available so soon that the caller should wait for it
/// rather than be refused with the advice `wait`.
bool IsShortWait(Millis wait);

/// Whether the state has been unused for so long that it can be dropped.
bool IsIdle(Millis now, const QuotaBorrower& borrower);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_QUOTA_LENDING_H_
