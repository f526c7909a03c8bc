#include "almondlink/base/event_log.h"
#include "almondlink/relay/entry_calls.h"
#include "entry_call.h"

/// Shares of client accounts at a service that is short. The rules are in
/// almondlink/control/account_shares.h.
namespace almondlink::relay {

namespace {

/// Minimum time between log lines about the level of a class.
constexpr Millis kLevelLogInterval{10'000};

}  // namespace

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
  this->LogAccountLevels(now);
}

void EntryCalls::LogAccountLevels(Millis now) {
  for (const auto& [route, level] : this->accounts.Levels()) {
    const auto bound = this->admission.routes.find(route);
    if (level.above == 0 || bound == this->admission.routes.end() ||
        bound->second.share >= 1) {
      continue;
    }
    const auto [logged, is_first] = this->logged_levels.emplace(route, now);
    if (!is_first && now - logged->second < kLevelLogInterval) {
      continue;
    }
    logged->second = now;
    LogEvent(kEventAccountLevel,
             {{"route", this->RouteName(route)},
              {"service", bound->second.limiting_service},
              {"level", std::to_string(level.level)},
              {"above", std::to_string(level.above)},
              {"age_ms", std::to_string(level.demand_age.count)}});
  }
}

void EntryCalls::CountAccountDecision(const Call& call,
                                      double class_share,
                                      double account_share,
                                      bool is_admitted) {
  if (!this->settings.decisions.has_fair_accounts || call.account == nullptr ||
      class_share >= 1) {
    return;
  }
  const AccountDecision refusal = account_share < class_share
                                      ? AccountDecision::kRefusedForShare
                                      : AccountDecision::kRefused;
  CountDecision(*call.account,
                is_admitted ? AccountDecision::kAdmitted : refusal,
                this->account_counts);
}

void EntryCalls::AddAccountDemand(Millis now, control::DecisionSums& sums) {
  this->accounts.AddDemand(now, sums);
}

}  // namespace almondlink::relay
