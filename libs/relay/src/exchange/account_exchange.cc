#include "almondlink/relay/account_exchange.h"

#include <cmath>
#include <utility>

namespace almondlink::relay {

namespace {

/// Maximum number of accounts and classes that a node keeps for others: ten
/// times what 5,000 accounts with two classes take if one node is the home of
/// them all.
constexpr std::size_t kMaxHomeEntries = 100'000;

bool HasSums(const Peer& peer) {
  return peer.is_self || peer.protocol_version >= kVersionDecisionSums;
}

}  // namespace

AccountExchange::AccountExchange(PeerTable& peers_in,
                                 const QuotaExchange& quotas_in)
    : peers(peers_in), quotas(quotas_in) {}

void AccountExchange::SetTable(policy::RouteTablePointer table_in) {
  this->table = std::move(table_in);
  this->class_priorities.clear();
  for (const policy::Route& route : this->table->routes) {
    this->class_priorities.emplace(route.key.Value(), std::nullopt);
    for (const std::uint32_t priority : this->table->accounts.Priorities()) {
      this->class_priorities.emplace(
          policy::ClassKeyOf(route.key, priority).Value(), priority);
    }
  }
}

/// The rate that the policy grants. Accounts without one count as the mean of
/// those that have one, or all alike if none has.
double AccountExchange::WeightOf(const policy::ClientAccount& account) const {
  if (account.limit.per_s > 0) {
    return account.limit.per_s;
  }
  const double mean = this->table->accounts.MeanLimitPerSecond();
  return mean > 0 ? mean : 1;
}

void AccountExchange::CountRequest(Millis now,
                                   const control::AccountClass& account) {
  control::CountRequest(now, account, this->meter);
}

void AccountExchange::Tick(Millis now,
                           const control::ChainAdmission& admission,
                           const control::DecisionSums* totals,
                           Millis totals_age) {
  control::UpdateMeter(now, this->meter);
  this->Report(now, admission);
  control::UpdateHome(now, this->home);
  if (totals == nullptr || this->table == nullptr) {
    this->levels.clear();
    return;
  }
  this->UpdateLevels(now, admission, *totals, totals_age);
}

void AccountExchange::UpdateLevels(Millis now,
                                   const control::ChainAdmission& admission,
                                   const control::DecisionSums& totals,
                                   Millis totals_age) {
  std::map<std::uint32_t, ClassLevel> current;
  for (const auto& [route, level] : this->levels) {
    if (control::IsLevelKept(now, this->quotas.LenderSetSince(),
                             level.computed_at)) {
      current.emplace(route, level);
    }
  }
  for (const auto& [route, demand] : totals.account_demand) {
    const double share = control::ShareOf(route, admission);
    const double total = control::TotalDemand(demand);
    if (total <= 0 || current.count(route) > 0) {
      continue;
    }
    const auto last = this->levels.find(route);
    ClassLevel& entry = current[route];
    entry.since = last == this->levels.end() ? now : last->second.since;
    entry.level = control::AccountLevel(demand, share * total);
    entry.mean_ratio = control::MeanDemandRatio(demand);
    entry.above = this->CountAbove(now, route, entry.level);
    entry.demand_age = totals_age;
    entry.computed_at = now;
  }
  this->levels = std::move(current);
}

std::uint32_t AccountExchange::CountAbove(Millis now,
                                          std::uint32_t route,
                                          double level) const {
  std::uint32_t above = 0;
  for (const auto& [key, demand] : this->meter.accounts) {
    const policy::ClientAccount* account =
        key.route == route
            ? this->table->accounts.Find(policy::AccountKey(key.account))
            : nullptr;
    const std::optional<double> total =
        control::KnownTotal(now, key, this->meter);
    if (account != nullptr && total.has_value() &&
        control::AdmittedShare(level, this->WeightOf(*account), *total) < 1) {
      ++above;
    }
  }
  return above;
}

/// Sends the rates of accounts in classes that are short of capacity.
void AccountExchange::Report(Millis now,
                             const control::ChainAdmission& admission) {
  std::map<PeerPointer, AccountDemandFrame> due;
  this->short_classes.clear();
  for (auto& [key, demand] : this->meter.accounts) {
    if (control::ShareOf(key.route, admission) >= 1) {
      continue;
    }
    this->short_classes.insert(key.route);
    if (!control::IsReportDue(now, demand)) {
      continue;
    }
    demand.reported_at = now;
    const PeerPointer to = this->quotas.Lender(policy::AccountKey(key.account));
    AccountDemandFrame& frame = due[to];
    frame.rates.push_back({key, demand.offered.per_s});
    if (frame.rates.size() == kMaxDemandEntries) {
      this->SendReport(now, to, frame);
      frame.rates.clear();
    }
  }
  for (const auto& [to, frame] : due) {
    this->SendReport(now, to, frame);
  }
}

void AccountExchange::SendReport(Millis now,
                                 const PeerPointer& to,
                                 const AccountDemandFrame& frame) {
  if (frame.rates.empty() || !HasSums(*to)) {
    return;
  }
  if (!to->is_self) {
    Append(frame, to->link->OutputBuffer());
    to->link->ScheduleFlush();
    return;
  }
  for (const AccountRate& rate : frame.rates) {
    control::RecordReport(now, rate.account, to->node.name, rate.per_s,
                          this->IsSettled(now, rate.account.route), this->home);
  }
  for (const AccountRate& rate : this->TotalsFor(now, frame).rates) {
    control::RecordTotal(now, rate.account, rate.per_s, this->meter);
  }
}

/// Requests per second that accounts of this weight send; 0 if unknown.
double AccountExchange::ExpectedRate(
    std::uint32_t route,
    const policy::ClientAccount& account) const {
  const auto found = this->levels.find(route);
  return found == this->levels.end()
             ? 0
             : found->second.mean_ratio * this->WeightOf(account);
}

/// Whether the reports of all nodes for the class have arrived here.
bool AccountExchange::IsSettled(Millis now, std::uint32_t route) const {
  const auto found = this->levels.find(route);
  return found != this->levels.end() &&
         now - found->second.since >= control::kHomeSettleTime &&
         now - this->quotas.LenderSetSince() >= control::kHomeSettleTime;
}

std::optional<double> AccountExchange::DemandAtHome(
    Millis now,
    const control::AccountClass& key) const {
  const control::HomeDemand* demand = control::FindAtHome(key, this->home);
  const policy::ClientAccount* account =
      this->table == nullptr
          ? nullptr
          : this->table->accounts.Find(policy::AccountKey(key.account));
  const bool is_known = demand != nullptr || this->IsSettled(now, key.route);
  if (account == nullptr || !is_known) {
    return std::nullopt;
  }
  return control::EstimatedDemand(
      now, this->ExpectedRate(key.route, *account),
      demand == nullptr ? control::HomeDemand() : *demand);
}

AccountDemandTotalFrame AccountExchange::TotalsFor(
    Millis now,
    const AccountDemandFrame& demand) const {
  AccountDemandTotalFrame totals;
  for (const AccountRate& rate : demand.rates) {
    const std::optional<double> total = this->DemandAtHome(now, rate.account);
    if (total.has_value()) {
      totals.rates.push_back({rate.account, *total});
    }
  }
  return totals;
}

bool AccountExchange::OnDemand(const PeerLinkPointer& link,
                               std::string_view payload) {
  AccountDemandFrame frame;
  if (!Decode(payload, frame)) {
    return false;
  }
  const std::string name = this->peers.NodeOfAcceptedLink(link->Id());
  if (name.empty()) {
    return true;
  }
  const Millis now = BootTimeNow();
  for (const AccountRate& rate : frame.rates) {
    if (this->home.accounts.size() < kMaxHomeEntries ||
        this->home.accounts.count(rate.account) > 0) {
      control::RecordReport(now, rate.account, name, rate.per_s,
                            this->IsSettled(now, rate.account.route),
                            this->home);
    }
  }
  const AccountDemandTotalFrame totals = this->TotalsFor(now, frame);
  if (!totals.rates.empty()) {
    Append(totals, link->OutputBuffer());
    link->ScheduleFlush();
  }
  return true;
}

bool AccountExchange::OnTotal(std::string_view payload) {
  AccountDemandTotalFrame frame;
  if (!Decode(payload, frame)) {
    return false;
  }
  const Millis now = BootTimeNow();
  for (const AccountRate& rate : frame.rates) {
    const policy::AccountKey account(rate.account.account);
    if (this->table != nullptr &&
        this->table->accounts.Find(account) != nullptr) {
      control::RecordTotal(now, rate.account, rate.per_s, this->meter);
    }
  }
  return true;
}

void AccountExchange::SendTotals(const PeerLinkPointer& link,
                                 std::uint32_t account) {
  const policy::AccountKey key(account);
  const policy::ClientAccount* known =
      this->table == nullptr ? nullptr : this->table->accounts.Find(key);
  const PeerPointer peer =
      this->peers.FindPeer(this->peers.NodeOfAcceptedLink(link->Id()));
  if (this->levels.empty() || known == nullptr || peer == nullptr ||
      !HasSums(*peer) || !this->quotas.Lender(key)->is_self) {
    return;
  }
  const Millis now = BootTimeNow();
  AccountDemandTotalFrame totals;
  for (const auto& [route, level] : this->levels) {
    const auto priority = this->class_priorities.find(route);
    const bool is_own_class = priority != this->class_priorities.end() &&
                              priority->second == known->priority;
    const std::optional<double> total =
        is_own_class ? this->DemandAtHome(now, {account, route}) : std::nullopt;
    if (total.has_value() && totals.rates.size() < kMaxDemandEntries) {
      totals.rates.push_back({{account, route}, *total});
    }
  }
  if (!totals.rates.empty()) {
    Append(totals, link->OutputBuffer());
  }
}

std::optional<double> AccountExchange::ShareOf(
    Millis now,
    const policy::ClientAccount& account,
    std::uint32_t route) {
  const auto found = this->levels.find(route);
  if (found == this->levels.end()) {
    return std::nullopt;
  }
  const control::AccountClass key{account.key.Value(), route};
  std::optional<double> total = control::KnownTotal(now, key, this->meter);
  if (!total.has_value() && this->quotas.Lender(account.key)->is_self) {
    total = this->DemandAtHome(now, key);
  }
  if (!total.has_value()) {
    return std::nullopt;
  }
  return control::AdmittedShare(found->second.level, this->WeightOf(account),
                                *total);
}

void AccountExchange::AddDemand(Millis now, control::DecisionSums& sums) {
  if (this->table == nullptr) {
    return;
  }
  for (const std::uint32_t route : this->short_classes) {
    sums.account_demand[route];
  }
  for (const auto& [key, demand] : this->home.accounts) {
    const policy::AccountKey account(key.account);
    const policy::ClientAccount* known = this->table->accounts.Find(account);
    // After a change of homes, the former home still has reports that are not
    // yet expired. Only one of the two may count them.
    if (known == nullptr || !this->quotas.Lender(account)->is_self) {
      continue;
    }
    const double expected_per_s = this->ExpectedRate(key.route, *known);
    if (!control::IsActive(now, expected_per_s, demand)) {
      continue;
    }
    const auto last = this->levels.find(key.route);
    control::AddAccountDemand(
        control::EstimatedDemand(now, expected_per_s, demand),
        this->WeightOf(*known),
        last == this->levels.end() ? 0 : last->second.level,
        sums.account_demand[key.route]);
  }
}

}  // namespace almondlink::relay
