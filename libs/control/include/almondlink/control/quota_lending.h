#ifndef ALMONDLINK_CONTROL_QUOTA_LENDING_H_
#define ALMONDLINK_CONTROL_QUOTA_LENDING_H_

#include <cstdint>

#include "almondlink/base/clock.h"
#include "almondlink/control/demand_meter.h"
#include "almondlink/control/token_bucket.h"

/// One limit of a client account, kept over all nodes together.
///
/// For each account one node, its *lender*, holds the one token bucket; all
/// nodes agree on who it is by a hash of the account and the names of the nodes
/// that they reach. Other nodes, the *borrowers*, ask it for tokens: for
/// requests that wait for one, and a tenth of a second ahead where requests
/// come often. So what all nodes let in follows one bucket, however demand is
/// spread and whenever it moves, and nothing is let in that was not lent
/// before.
///
/// What keeps the sum within the limit when nodes do not see each other:
///
/// - A lender lends only the part of the limit that the nodes it reaches have
///   of those that it knows of, so two sides of a cut together lend no more
///   than the whole.
/// - The bucket of a node that becomes lender starts next to empty: what the
///   one before had left is lost, never there twice. The same holds after a
///   restart of all nodes and for a host that stood still.
/// - A borrower whose lender is silent goes on by what it was lent per second
///   until the silence is decided: in sum that is no more than the limit. Where
///   the account was well below its limit, by what it was asked for, and one
///   request besides: what the silent lender had left covers it.
///
/// Compared with two ways in which nodes share a limit without a lender
/// (quota_parts.h): see docs/design/accounts.md.
namespace almondlink::control {

/// Bound on an account in any window, as operators count it:
/// (per_s * window + burst) * (1 + over) + slack.
struct QuotaRules {
  Millis window{5000};
  double over = 0.1;
  double slack = 20;
};

struct QuotaLimit {
  double per_s = 0;
  double burst = 0;
};

// ---- the lender's side ----

/// The bucket of one account at its lender. Plain data; one thread at a time.
struct QuotaBucket {
  TokenBucket bucket;
  /// Requests turned away for want of tokens, faded out over a second: they
  /// come back, so the next caller has to wait for them as well.
  double refused = 0;
  Millis refused_at;
};

struct QuotaLoan {
  std::uint32_t granted = 0;
  /// Until there may be a token for one more; 0 if all were granted.
  Millis next_request;
  /// Until there is one for a caller that is turned away now: those turned away
  /// before come back as well.
  Millis wait;
  /// Half of the burst or more is left: the account is well below its limit.
  bool is_well_below_limit = false;
};

/// Tokens that a bucket may hold beyond what was earned when its lender has
/// just become it: a quarter of what the bound leaves besides the limit itself,
/// so that two changes of lender within a window stay within it.
double InitialTokens(const QuotaRules& rules, const QuotaLimit& limit);

/// The bucket of a node that has been the account's lender since `since`, and
/// lends for the first time now. `since` lies in the past.
QuotaBucket StartBucket(const QuotaRules& rules,
                        const QuotaLimit& limit,
                        double share,
                        Millis since,
                        Millis now);

/// Lends up to `wanted` tokens. `part`: of the limit that may be lent here, see
/// LentPart.
QuotaLoan Lend(const QuotaRules& rules,
               const QuotaLimit& limit,
               double share,
               Millis now,
               std::uint32_t wanted,
               QuotaBucket& bucket);

/// Part of a limit that may be lent by a node that reaches `reached` of `known`
/// nodes, itself counted in both. Up to a fourteenth of the nodes may be
/// missing before it falls: those can lend no more than that on their side, and
/// the bound leaves a tenth.
double LendableShare(std::uint32_t reached, std::uint32_t known);

// ---- the borrower's side ----

/// What one node may let in for an account. Plain data; one thread at a time.
struct QuotaBorrower {
  /// Tokens in stock, and when one was taken or came last.
  double tokens = 0;
  Millis last_used;
  /// Requests here per second, and tokens lent to this node per second.
  RateMeter demand;
  RateMeter lent;
  Millis rates_updated;
  /// An ask is out since then, for so many; 0: none is.
  std::uint32_t requested = 0;
  Millis requested_at;
  /// When the ask was sent again last.
  Millis last_request;
  /// When the lender last said anything.
  Millis last_reply;
  /// The lender has none left before that, and what it said of the wait.
  Millis exhausted_until;
  Millis wait;
  bool is_well_below_limit = false;
  /// What the node lets in by itself while the lender is silent.
  TokenBucket fallback;
};

enum class QuotaDecision : std::uint8_t {
  /// A token was taken.
  kTaken,
  /// The account is over its limit.
  kOverLimit,
  /// To be asked for.
  kRequestTokens,
};

/// Decides one request that has just come.
QuotaDecision TakeQuota(Millis now, QuotaBorrower& borrower);

/// Takes a token for a request that waited for one; it was counted before.
bool TakeBorrowed(Millis now, QuotaBorrower& borrower);

/// Puts a token back that was not used: its request did not run.
void GiveBack(Millis now, QuotaBorrower& borrower);

/// Tokens to ask the lender for now; 0: nothing. The caller sends the ask.
std::uint32_t TokensToRequest(Millis now,
                              std::uint32_t waiting,
                              QuotaBorrower& borrower);

/// Takes the lender's answer.
void ApplyLoan(Millis now, const QuotaLoan& loan, QuotaBorrower& borrower);

/// Whether the lender has not answered for longer than a round trip takes.
bool IsLenderSilent(Millis now, const QuotaBorrower& borrower);

/// Takes a token of the node's own while the lender is silent.
bool TakeFallback(Millis now, QuotaBorrower& borrower);

/// Whether a caller waits for a token, which will be there at once, rather than
/// be turned away with `wait`.
bool IsShortWait(Millis wait);

/// Whether the purse has been of no use for so long that it can be dropped.
bool IsIdle(Millis now, const QuotaBorrower& borrower);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_QUOTA_LENDING_H_
