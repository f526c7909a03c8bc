#ifndef ALMONDLINK_RELAY_ACCOUNT_FRAMES_H_
#define ALMONDLINK_RELAY_ACCOUNT_FRAMES_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "almondlink/control/account_shares.h"

/// Frames between a node and the home of client accounts, see
/// almondlink/control/account_shares.h. Only nodes from kVersionDecisionSums on
/// understand them; older ones ignore them.
namespace almondlink::relay {

/// Maximum number of entries of a frame; a frame with more is invalid. An entry
/// takes at most 17 bytes, and its answer as much.
constexpr std::size_t kMaxDemandEntries = 64;

/// Requests per second of one account in one class, in steps of 0.001.
struct AccountRate {
  control::AccountClass account;
  double per_s = 0;
};

/// Rates at the sending node, for the home of these accounts.
struct AccountDemandFrame {
  std::vector<AccountRate> rates;
};

/// Rates over all nodes, from the home. Accounts whose total the home does not
/// know yet are left out.
struct AccountDemandTotalFrame {
  std::vector<AccountRate> rates;
};

/// Append an encoded frame, which must not exceed kMaxDemandEntries. Thread
/// safe.
void Append(const AccountDemandFrame& frame, std::string& out);
void Append(const AccountDemandTotalFrame& frame, std::string& out);

/// Decode a payload; they return false if it is invalid. Thread safe.
bool Decode(std::string_view payload, AccountDemandFrame& frame);
bool Decode(std::string_view payload, AccountDemandTotalFrame& frame);

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_ACCOUNT_FRAMES_H_
