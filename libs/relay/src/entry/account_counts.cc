#include "almondlink/relay/account_counts.h"

#include <algorithm>
#include <vector>

namespace almondlink::relay {

void CountDecision(const policy::ClientAccount& account,
                   AccountDecision decision,
                   AccountCounts& counts) {
  const bool is_full = counts.accounts.size() >= kMaxCountedAccounts &&
                       counts.accounts.count(account.key) == 0;
  if (is_full) {
    counts.accounts.erase(
        std::min_element(counts.accounts.begin(), counts.accounts.end(),
                         [](const auto& a, const auto& b) {
                           return a.second.Refused() < b.second.Refused();
                         }));
  }
  AccountCount& count = counts.accounts[account.key];
  count.name = account.name;
  ++count.offered;
  count.admitted += decision == AccountDecision::kAdmitted ? 1 : 0;
  count.refused_for_share +=
      decision == AccountDecision::kRefusedForShare ? 1 : 0;
}

void WriteAccountCounts(const AccountCounts& counts, MetricText& out) {
  std::vector<const AccountCount*> shown;
  for (const auto& [key, count] : counts.accounts) {
    if (count.Refused() > 0) {
      shown.push_back(&count);
    }
  }
  std::sort(shown.begin(), shown.end(),
            [](const AccountCount* a, const AccountCount* b) {
              return a->Refused() != b->Refused() ? a->Refused() > b->Refused()
                                                  : a->name < b->name;
            });
  if (shown.size() > kMaxShownAccounts) {
    shown.resize(kMaxShownAccounts);
  }
  const auto write = [&](const char* name, const char* help,
                         std::uint64_t AccountCount::*value) {
    out.Begin(name, "counter", help);
    for (const AccountCount* count : shown) {
      out.Add(MetricLabel("account", count->name),
              static_cast<double>(count->*value));
    }
  };
  write("account_short_offered_total",
        "Root requests of the accounts with the most refusals, while their "
        "class was short of capacity.",
        &AccountCount::offered);
  write("account_short_admitted_total", "Those of them that were admitted.",
        &AccountCount::admitted);
  write("account_share_refused_total",
        "Those of them that were refused while the account was above its part.",
        &AccountCount::refused_for_share);
}

}  // namespace almondlink::relay
