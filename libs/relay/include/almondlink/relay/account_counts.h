#ifndef ALMONDLINK_RELAY_ACCOUNT_COUNTS_H_
#define ALMONDLINK_RELAY_ACCOUNT_COUNTS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "almondlink/base/metrics.h"
#include "almondlink/policy/account_table.h"

/// Counts of the root requests that client accounts made while their class was
/// short of capacity.
namespace almondlink::relay {

/// Decision about one root request.
enum class AccountDecision : std::uint8_t {
  kAdmitted,
  /// Refused although the account is within its part.
  kRefused,
  /// Refused while the account is above its part, and its share is below that
  /// of the class.
  kRefusedForShare,
};

struct AccountCount {
  std::string name;
  std::uint64_t offered = 0;
  std::uint64_t admitted = 0;
  std::uint64_t refused_for_share = 0;

  std::uint64_t Refused() const { return this->offered - this->admitted; }
};

/// Number of accounts that are counted, and of those in the metrics.
constexpr std::size_t kMaxCountedAccounts = 1024;
constexpr std::size_t kMaxShownAccounts = 20;

/// Counters of one event loop. An account beyond kMaxCountedAccounts replaces
/// the one with the fewest refusals. Not thread safe.
struct AccountCounts {
  std::map<policy::AccountKey, AccountCount> accounts;
};

/// Counts a request. Not thread safe.
void CountDecision(const policy::ClientAccount& account,
                   AccountDecision decision,
                   AccountCounts& counts);

/// Appends the series of the kMaxShownAccounts accounts with the most refusals
/// in the Prometheus text format. Thread safe.
void WriteAccountCounts(const AccountCounts& counts, MetricText& out);

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_ACCOUNT_COUNTS_H_
