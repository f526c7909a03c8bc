#ifndef ALMONDLINK_RELAY_QUOTA_EXCHANGE_H_
#define ALMONDLINK_RELAY_QUOTA_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <unordered_map>

#include "almondlink/control/quota_lending.h"
#include "almondlink/policy/route_table.h"
#include "almondlink/relay/peer_table.h"
#include "almondlink/relay/relay_settings.h"

/// Quotas of client accounts between nodes: asks the lender of each account for
/// tokens, and lends those of the accounts that this node is the lender of. The
/// rules are in almondlink/control/quota_lending.h.
namespace almondlink::relay {

/// Not thread safe: belongs to one loop.
class QuotaExchange {
 public:
  /// `on_tokens`: the lender of an account has answered, or stays silent; what
  /// waits for its tokens should be looked at. All must outlive it.
  QuotaExchange(const RelaySettings& settings,
                PeerTable& peers,
                std::function<void(policy::AccountKey)> on_tokens);
  QuotaExchange(const QuotaExchange&) = delete;
  QuotaExchange& operator=(const QuotaExchange&) = delete;

  /// The policy in force, whose limits are kept from now on.
  void SetTable(policy::RouteTablePointer table);

  /// Decides a request of the account; call once for each. Accounts without a
  /// limit always have one.
  control::QuotaAnswer TakeToken(const policy::ClientAccount& account,
                                 Millis now);
  /// Whether there is a token now for a request that was to wait for one.
  bool TakeTokenForQueued(const policy::ClientAccount& account, Millis now);
  /// The request did not run: its token can be used again.
  void ReturnToken(const policy::ClientAccount& account, Millis now);
  /// Asks the lender, if it is time to, for so many requests that wait.
  void RequestTokens(const policy::ClientAccount& account,
                     std::uint32_t waiting,
                     Millis now);
  /// Whether the lender has said that there is nothing for those who wait.
  bool IsExhausted(const policy::ClientAccount& account, Millis now) const;
  /// Whether the lender does not answer.
  bool IsLenderSilent(const policy::ClientAccount& account, Millis now) const;
  /// Until the account has a token for a caller that is turned away.
  Millis TimeUntilToken(const policy::ClientAccount& account) const;
  /// Whether this node, and with it perhaps all others, has started so lately
  /// that nobody may lend yet.
  bool IsStartingUp(Millis now) const;
  /// Requests here per second, and tokens that were lent for them.
  double DemandPerSecond(const policy::ClientAccount& account) const;
  double LentPerSecond(const policy::ClientAccount& account) const;
  /// Name of the node that lends the account's tokens, for the log.
  std::string LenderOf(const policy::ClientAccount& account) const;

  /// An ask of another node; the answer goes to `link`.
  void OnQuotaRequest(const PeerLinkPointer& link,
                      const QuotaRequestFrame& ask);
  void OnLoan(const QuotaLoanFrame& frame);

  /// Notices nodes that came or went, and silent lenders; call every 100 ms.
  void Tick(Millis now);

  std::size_t PurseCount() const { return this->purses.size(); }
  std::size_t BucketCount() const { return this->buckets.size(); }

 private:
  PeerPointer Lender(policy::AccountKey account) const;
  bool IsSettled(Millis now) const;
  void ResetAfterSuspension(Millis now);
  QuotaLoanFrame LendTo(policy::AccountKey account,
                        std::uint32_t wanted,
                        Millis now);

  const RelaySettings& settings;
  PeerTable& peers;
  std::function<void(policy::AccountKey)> on_tokens;
  policy::RouteTablePointer table;
  std::unordered_map<std::uint32_t, control::QuotaPurse> purses;
  std::unordered_map<std::uint32_t, control::QuotaBucket> buckets;
  /// Hash of the nodes that may be lenders, and since when it is the same.
  std::uint64_t lender_set_hash = 0;
  Millis lender_set_since;
  /// When this node first had a policy.
  Millis first_policy_at;
  Millis last_tick;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_QUOTA_EXCHANGE_H_
