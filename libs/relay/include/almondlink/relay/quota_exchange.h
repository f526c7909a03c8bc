#ifndef ALMONDLINK_RELAY_QUOTA_EXCHANGE_H_
#define ALMONDLINK_RELAY_QUOTA_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <unordered_map>

#include "almondlink/control/quota_lending.h"
#include "almondlink/policy/route_table.h"
#include "almondlink/relay/peer_table.h"
#include "almondlink/relay/relay_settings.h"

/// Distributed rate limits of client accounts. For each account one node, the
/// lender, holds the token bucket and lends tokens to the others. This class
/// requests tokens from the lenders and lends those of the accounts that this
/// node is the lender of. The rules are in almondlink/control/quota_lending.h.
namespace almondlink::relay {

/// Not thread safe: belongs to one loop.
class QuotaExchange {
 public:
  /// `on_tokens` is called when the lender of an account has answered; queued
  /// requests of the account should then be tried again. All arguments must
  /// outlive this object.
  QuotaExchange(const RelaySettings& settings,
                PeerTable& peers,
                std::function<void(policy::AccountKey)> on_tokens);
  QuotaExchange(const QuotaExchange&) = delete;
  QuotaExchange& operator=(const QuotaExchange&) = delete;

  /// Sets the policy whose limits are enforced from now on.
  void SetTable(policy::RouteTablePointer table);

  /// Takes a token for a new request of the account; call it once for each
  /// request. Always succeeds for accounts without a limit.
  control::QuotaDecision TakeToken(const policy::ClientAccount& account,
                                   Millis now);
  /// Takes a token for a queued request; false if none is available.
  bool TakeTokenForQueued(const policy::ClientAccount& account, Millis now);
  /// Returns the token of a request that did not run.
  void ReturnToken(const policy::ClientAccount& account, Millis now);
  /// Requests tokens from the lender if a request is due. `waiting`: number of
  /// queued requests of the account.
  void RequestTokens(const policy::ClientAccount& account,
                     std::uint32_t waiting,
                     Millis now);
  /// Whether the lender reported that no token will be free soon enough for
  /// queued requests.
  bool IsExhausted(const policy::ClientAccount& account, Millis now) const;
  /// Whether the lender does not answer, or was never asked.
  bool IsLenderSilent(const policy::ClientAccount& account, Millis now) const;
  /// Time until the account has a token for a refused caller, for its retry
  /// advice; 0 if unknown.
  Millis TimeUntilToken(const policy::ClientAccount& account) const;
  /// Whether this node started so recently that no node may be able to lend
  /// yet, since all may have started together.
  bool IsStartingUp(Millis now) const;
  /// Rate of the account's requests at this node, and of the tokens lent for
  /// them, per second.
  double DemandPerSecond(const policy::ClientAccount& account) const;
  double LentPerSecond(const policy::ClientAccount& account) const;
  /// The node that lends the quota of an account, which may be this one. Exists
  /// for accounts without a limit too.
  PeerPointer Lender(policy::AccountKey account) const;
  /// Since when the set of possible lenders has been the same.
  Millis LenderSetSince() const { return this->lender_set_since; }
  /// Name of the account's lender, for the log.
  std::string LenderOf(const policy::ClientAccount& account) const;

  /// Answers a request of another node on `link`.
  void OnQuotaRequest(const PeerLinkPointer& link,
                      const QuotaRequestFrame& request);
  void OnLoan(const QuotaLoanFrame& frame);

  /// Tracks changes of the set of lenders and drops unused state; call every
  /// 100 ms.
  void Tick(Millis now);

  std::size_t PurseCount() const { return this->borrowers.size(); }
  std::size_t BucketCount() const { return this->buckets.size(); }

 private:
  bool IsSettled(Millis now) const;
  void ResetAfterSuspension(Millis now);
  QuotaLoanFrame LendTo(policy::AccountKey account,
                        std::uint32_t wanted,
                        Millis now);

  const RelaySettings& settings;
  PeerTable& peers;
  std::function<void(policy::AccountKey)> on_tokens;
  policy::RouteTablePointer table;
  std::unordered_map<std::uint32_t, control::QuotaBorrower> borrowers;
  std::unordered_map<std::uint32_t, control::QuotaBucket> buckets;
  /// Hash of the set of possible lenders, and since when it is unchanged.
  std::uint64_t lender_set_hash = 0;
  Millis lender_set_since;
  /// When this node received its first policy.
  Millis first_policy_at;
  Millis last_tick;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_QUOTA_EXCHANGE_H_
