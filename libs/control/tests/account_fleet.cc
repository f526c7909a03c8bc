#include "libs/control/tests/account_fleet.h"

#include <algorithm>
#include <cmath>

namespace almondlink::control {

namespace {

constexpr std::uint32_t kClass = 7;
constexpr Millis kTick{100};
constexpr double kTicksPerSecond = 10;
constexpr std::uint64_t kTicksPerInterval = 5;
constexpr double kOfferedTimeConstantMs = 400;

AccountClass KeyOf(std::size_t account) {
  return {static_cast<std::uint32_t>(account) + 1, kClass};
}

std::uint64_t Mix(std::uint64_t value) {
  value ^= value >> 33U;
  value *= 0xff51afd7ed558ccdULL;
  value ^= value >> 33U;
  value *= 0xc4ceb9fe1a85ec53ULL;
  return value ^ (value >> 33U);
}

}  // namespace

AccountFleet::AccountFleet(std::size_t node_count,
                           double capacity_in,
                           std::uint64_t seed)
    : nodes(node_count), capacity(capacity_in), random(seed) {}

bool AccountFleet::CanReach(std::size_t from, std::size_t to) const {
  return from == to ||
         (this->nodes[to].is_alive && !this->nodes[to].is_cut_off &&
          !this->nodes[from].is_cut_off);
}

std::size_t AccountFleet::HomeOf(std::size_t account, std::size_t from) const {
  // Probes from a hash instead of ranking all nodes, which would take most of
  // the time at 2,000 nodes. The home changes only with the node itself.
  std::uint64_t probe = Mix(account + 1);
  for (;; probe = Mix(probe + 1)) {
    const std::size_t candidate = probe % this->nodes.size();
    if (this->CanReach(from, candidate)) {
      return candidate;
    }
  }
}

void AccountFleet::Kill(std::size_t node) {
  this->nodes[node].is_alive = false;
  this->nodes_since = this->now;
}

void AccountFleet::CutOff(std::size_t node) {
  this->nodes[node].is_cut_off = true;
  this->nodes_since = this->now;
}

void AccountFleet::Start(std::size_t node) {
  this->nodes[node] = FleetNode();
  this->nodes_since = this->now;
}

bool AccountFleet::IsSettled() const {
  return this->short_since != Millis{0} &&
         this->now - this->short_since >= kHomeSettleTime &&
         this->now - this->nodes_since >= kHomeSettleTime;
}

double AccountFleet::ExpectedRate(std::size_t account,
                                  const FleetNode& at) const {
  return at.mean_ratio * this->accounts[account].weight;
}

std::optional<double> AccountFleet::DemandAtHome(std::size_t account,
                                                 std::size_t from) const {
  const FleetNode& node = this->nodes[this->HomeOf(account, from)];
  const HomeDemand* demand = FindAtHome(KeyOf(account), node.home);
  if (demand == nullptr && !this->IsSettled()) {
    return std::nullopt;
  }
  return EstimatedDemand(this->now, this->ExpectedRate(account, node),
                         demand == nullptr ? HomeDemand() : *demand);
}

void AccountFleet::Report(std::size_t from) {
  FleetNode& node = this->nodes[from];
  for (auto& [key, demand] : node.meter.accounts) {
    if (!IsReportDue(this->now, demand)) {
      continue;
    }
    demand.reported_at = this->now;
    ++this->reports;
    AccountHome& home = this->nodes[this->HomeOf(key.account - 1, from)].home;
    RecordReport(this->now, key, std::to_string(from), demand.offered.per_s,
                 this->IsSettled(), home);
    const std::optional<double> total =
        this->DemandAtHome(key.account - 1, from);
    if (total.has_value()) {
      RecordTotal(this->now, key, *total, node.meter);
    }
  }
}

/// Sums the histograms of the homes. The nodes use the sums of the interval
/// before.
void AccountFleet::ExchangeSums() {
  DemandHistogram sum;
  for (std::size_t i = 0; i < this->nodes.size(); ++i) {
    FleetNode& node = this->nodes[i];
    DemandHistogram own;
    for (const auto& [key, demand] : node.home.accounts) {
      const double expected = this->ExpectedRate(key.account - 1, node);
      if (IsActive(this->now, expected, demand) &&
          this->HomeOf(key.account - 1, i) == i) {
        AddAccountDemand(EstimatedDemand(this->now, expected, demand),
                         this->accounts[key.account - 1].weight, node.level,
                         own);
      }
    }
    if (node.is_cut_off) {
      node.demand = own;
      continue;
    }
    for (std::size_t k = 0; k < kDemandBuckets && node.is_alive; ++k) {
      sum.buckets[k].per_s += own.buckets[k].per_s;
      sum.buckets[k].weight += own.buckets[k].weight;
    }
  }
  for (FleetNode& node : this->nodes) {
    if (!node.is_cut_off) {
      node.demand = this->under_way;
    }
  }
  this->under_way = sum;
  const bool is_short = TotalDemand(sum) > 0;
  if (is_short != (this->short_since != Millis{0})) {
    this->short_since = is_short ? this->now : Millis{0};
  }
}

double AccountFleet::ShareAt(std::size_t account, std::size_t node_index) {
  FleetNode& node = this->nodes[node_index];
  const AccountClass key = KeyOf(account);
  const double total = TotalDemand(node.demand);
  if (!this->is_fair || node.class_share >= 1 || total <= 0) {
    return node.class_share;
  }
  std::optional<double> demand = KnownTotal(this->now, key, node.meter);
  const bool is_asked = this->accounts[account].has_quota;
  if (!demand.has_value() && is_asked) {
    demand = this->DemandAtHome(account, node_index);
  }
  return demand.has_value()
             ? AdmittedShare(node.level, this->accounts[account].weight,
                             *demand)
             : node.class_share;
}

void AccountFleet::Arrive(std::size_t account) {
  std::size_t node = 0;
  do {
    node = this->random() % this->nodes.size();
  } while (!this->nodes[node].is_alive);
  ++this->arrivals;
  this->accounts[account].requests += 1;
  this->accounts[account].admitted += this->ShareAt(account, node);
  CountRequest(this->now, KeyOf(account), this->nodes[node].meter);
}

void AccountFleet::ResetCounts() {
  for (FleetAccount& account : this->accounts) {
    account.requests = 0;
    account.admitted = 0;
  }
  this->counted_s = 0;
}

/// Nodes with the same sums have the same level.
void AccountFleet::UpdateLevels(double share) {
  const FleetNode* computed = nullptr;
  for (FleetNode& node : this->nodes) {
    if (!node.is_alive) {
      continue;
    }
    node.class_share = share;
    if (computed != nullptr && !node.is_cut_off) {
      node.mean_ratio = computed->mean_ratio;
      node.level = computed->level;
      continue;
    }
    node.mean_ratio = MeanDemandRatio(node.demand);
    node.level = AccountLevel(node.demand, share * TotalDemand(node.demand));
    computed = node.is_cut_off ? computed : &node;
  }
}

void AccountFleet::Run(double seconds) {
  const auto ticks =
      static_cast<std::uint64_t>(std::llround(seconds * kTicksPerSecond));
  for (std::uint64_t tick = 0; tick < ticks; ++tick) {
    this->now = this->now + kTick;
    this->counted_s += 1 / kTicksPerSecond;
    const std::uint64_t phase =
        static_cast<std::uint64_t>(this->now.count / kTick.count) %
        kTicksPerInterval;
    for (std::size_t i = 0; i < this->accounts.size(); ++i) {
      std::poisson_distribution<int> draw(this->accounts[i].per_s /
                                          kTicksPerSecond);
      for (int count = draw(this->random); count > 0; --count) {
        this->Arrive(i);
      }
    }
    const double keep =
        std::exp(-static_cast<double>(kTick.count) / kOfferedTimeConstantMs);
    this->offered_per_s =
        keep * this->offered_per_s +
        (1 - keep) * kTicksPerSecond * static_cast<double>(this->arrivals);
    this->arrivals = 0;
    const double share =
        std::min(1.0, this->capacity / std::max(1.0, this->offered_per_s));
    for (std::size_t i = 0; i < this->nodes.size(); ++i) {
      FleetNode& node = this->nodes[i];
      if (!node.is_alive) {
        continue;
      }
      // Each node reports in a tick of its own.
      if (i % kTicksPerInterval == phase) {
        UpdateMeter(this->now, node.meter);
        this->Report(i);
        UpdateHome(this->now, node.home);
      }
    }
    this->UpdateLevels(share);
    if (phase == 0) {
      this->ExchangeSums();
    }
  }
}

}  // namespace almondlink::control
