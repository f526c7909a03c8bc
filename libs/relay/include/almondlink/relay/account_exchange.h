#ifndef ALMONDLINK_RELAY_ACCOUNT_EXCHANGE_H_
#define ALMONDLINK_RELAY_ACCOUNT_EXCHANGE_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <unordered_map>

#include "almondlink/control/account_shares.h"
#include "almondlink/control/chain_admission.h"
#include "almondlink/control/decision_sums.h"
#include "almondlink/policy/route_table.h"
#include "almondlink/relay/account_frames.h"
#include "almondlink/relay/peer_table.h"
#include "almondlink/relay/quota_exchange.h"

/// Demand of client accounts over all nodes, and the shares that follow from
/// it. The rules are in almondlink/control/account_shares.h.
///
/// Each account has a home: the node that lends its quota. While a class of
/// root requests is short of capacity, a node reports the rates of its accounts
/// in that class to their homes every kDecisionInterval, and a home answers
/// each report with the totals. A request that waits for quota needs no earlier
/// report: the home sends the totals of its account before the loan. After a
/// home is lost, the next one knows the demand after
/// control::kHomeSettleTime, and until then the last total is used, and the
/// last level too, since the sums lack the accounts of the lost home. A node
/// that is cut off is the home of all accounts.
namespace almondlink::relay {

/// Level of one class of root requests.
struct ClassLevel {
  /// Infinity if no account is limited.
  double level = 0;
  /// Since when the sums have contained the class, and when the level was
  /// computed.
  Millis since;
  Millis computed_at;
  /// Mean ratio of demand and weight.
  double mean_ratio = 0;
  /// Accounts of this node that demand more than their part.
  std::uint32_t above = 0;
  /// Age of the sums that the level was computed from.
  Millis demand_age;
};

/// Not thread safe: belongs to one loop.
class AccountExchange {
 public:
  /// All arguments must outlive the object.
  AccountExchange(PeerTable& peers, const QuotaExchange& quotas);
  AccountExchange(const AccountExchange&) = delete;
  AccountExchange& operator=(const AccountExchange&) = delete;

  /// Sets the policy that the weights are taken from.
  void SetTable(policy::RouteTablePointer table);

  /// Counts a root request.
  void CountRequest(Millis now, const control::AccountClass& account);

  /// Computes the levels and sends what is due. `totals` are the sums over all
  /// nodes and `totals_age` their age; null if there are none, and there are no
  /// levels then. Call every 100 ms, after the shares of the classes have been
  /// updated.
  void Tick(Millis now,
            const control::ChainAdmission& admission,
            const control::DecisionSums* totals,
            Millis totals_age);

  /// Share of the account's requests that is admitted; nothing if the class has
  /// no level or the demand of the account is not known.
  std::optional<double> ShareOf(Millis now,
                                const policy::ClientAccount& account,
                                std::uint32_t route);

  /// Adds the accounts that this node is the home of to the histograms, and an
  /// empty histogram for each class in which this node reports accounts: a node
  /// receives the sums only if it contributes to them.
  void AddDemand(Millis now, control::DecisionSums& sums);

  /// Handle frames; they return false if the payload cannot be decoded.
  bool OnDemand(const PeerLinkPointer& link, std::string_view payload);
  bool OnTotal(std::string_view payload);
  /// Sends the totals of an account on `link`, before the answer to a request
  /// for quota.
  void SendTotals(const PeerLinkPointer& link, std::uint32_t account);

  /// Levels of the classes in which any node is short of capacity.
  const std::map<std::uint32_t, ClassLevel>& Levels() const {
    return this->levels;
  }

 private:
  double WeightOf(const policy::ClientAccount& account) const;
  void UpdateLevels(Millis now,
                    const control::ChainAdmission& admission,
                    const control::DecisionSums& totals,
                    Millis totals_age);
  std::uint32_t CountAbove(Millis now, std::uint32_t route, double level) const;
  void Report(Millis now, const control::ChainAdmission& admission);
  void SendReport(Millis now,
                  const PeerPointer& home,
                  const AccountDemandFrame& frame);
  double ExpectedRate(std::uint32_t route,
                      const policy::ClientAccount& account) const;
  std::optional<double> DemandAtHome(Millis now,
                                     const control::AccountClass& key) const;
  bool IsSettled(Millis now, std::uint32_t route) const;
  AccountDemandTotalFrame TotalsFor(Millis now,
                                    const AccountDemandFrame& demand) const;

  PeerTable& peers;
  const QuotaExchange& quotas;
  policy::RouteTablePointer table;
  control::AccountMeter meter;
  control::AccountHome home;
  std::map<std::uint32_t, ClassLevel> levels;
  /// Classes that are short of capacity and have requests of accounts here.
  std::set<std::uint32_t> short_classes;
  /// Account priority of each class of the policy in force.
  std::map<std::uint32_t, std::optional<std::uint32_t>> class_priorities;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_ACCOUNT_EXCHANGE_H_
