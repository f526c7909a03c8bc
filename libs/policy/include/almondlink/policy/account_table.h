#ifndef ALMONDLINK_POLICY_ACCOUNT_TABLE_H_
#define ALMONDLINK_POLICY_ACCOUNT_TABLE_H_

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "almondlink/base/error.h"
#include "almondlink/base/ids.h"

/// The client accounts of a policy: who holds which API key, how much each may
/// ask for, and how urgent its requests are.
namespace almondlink::policy {

/// Stable number of an account's name, the same on all nodes; 0 means none.
using AccountKey = Strong<struct AccountKeyTag, std::uint32_t>;

/// How much an account may ask for, over all nodes together.
struct AccountLimit {
  /// Requests per second; 0: no limit.
  double per_s = 0;
  /// Requests that may come at once besides.
  double burst = 0;
};

struct ClientAccount {
  std::string name;
  AccountKey key;
  /// Takes precedence over the priority of a route; 0 is the most valued.
  std::optional<std::uint32_t> priority;
  AccountLimit limit;
};

/// Number of an account's name.
AccountKey AccountKeyOf(std::string_view name);

/// Built once with its policy, then read by everyone. A look-up takes the same
/// time however many accounts there are.
class AccountTable {
 public:
  /// Adds an account that holds `api_keys`; its `key` is filled in. Errors:
  /// kBadMessage if the name is there already, or another account holds one of
  /// the keys; the table is then of no use. The message names accounts, never a
  /// key.
  Result<void> Add(ClientAccount account,
                   const std::vector<std::string>& api_keys);

  /// The account that holds the key, or null. Thread safe.
  const ClientAccount* FindByApiKey(const std::string& api_key) const;

  /// The account of that number, or null. Thread safe.
  const ClientAccount* Find(AccountKey key) const;

  std::size_t Size() const { return this->accounts.size(); }
  /// Mean rate of the accounts that have a limit; 0 if none has. Thread safe.
  double MeanLimitPerSecond() const {
    return this->limited > 0
               ? this->limits_per_s / static_cast<double>(this->limited)
               : 0;
  }
  /// All priorities that accounts have. Thread safe.
  const std::set<std::uint32_t>& Priorities() const { return this->priorities; }

 private:
  /// Grows without moving those that are there, as routes do.
  std::deque<ClientAccount> accounts;
  std::unordered_map<std::string, std::uint32_t> by_api_key;
  std::unordered_map<std::uint32_t, std::uint32_t> by_key;
  std::set<std::uint32_t> priorities;
  /// Accounts that have a limit, and the sum of their rates.
  std::size_t limited = 0;
  double limits_per_s = 0;
};

/// Short form of a secret by which it can be told apart in a log: eight
/// hexadecimal digits of a hash, from which it cannot be found. Thread safe.
std::string KeyFingerprint(std::string_view api_key);

}  // namespace almondlink::policy

#endif  // ALMONDLINK_POLICY_ACCOUNT_TABLE_H_
