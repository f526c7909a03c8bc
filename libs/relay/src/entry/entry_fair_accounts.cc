#include "almondlink/relay/entry_calls.h"
#include "entry_call.h"

/// Shares of client accounts at a service that is short. The rules are in
/// almondlink/control/account_shares.h.
namespace almondlink::relay {

double EntryCalls::AccountShare(const Call& call, double share) {
  if (!this->settings.decisions.has_fair_accounts || call.account == nullptr) {
    return share;
  }
  const std::uint32_t route = call.info.root_route;
  this->accounts.CountRequest(call.arrived, {call.account->key.Value(), route});
  if (share >= 1) {
    return share;
  }
  return this->accounts.ShareOf(BootTimeNow(), *call.account, route)
      .value_or(share);
}

// Homes serve nodes whose settings differ from theirs, so the exchange does not
// depend on the setting of this node. Without requests counted by
// AccountShare() a node reports nothing.
void EntryCalls::UpdateAccountLevels(Millis now) {
  this->accounts.Tick(now, this->admission, this->decisions.Totals(now),
                      this->decisions.TotalsAge(now));
}

void EntryCalls::AddAccountDemand(Millis now, control::DecisionSums& sums) {
  this->accounts.AddDemand(now, sums);
}

}  // namespace almondlink::relay
