#include "almondlink/control/account_shares.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <limits>
#include <random>
#include <vector>

namespace almondlink::control {
namespace {

struct Account {
  double per_s = 0;
  double weight = 1;
};

DemandHistogram HistogramOf(const std::vector<Account>& accounts,
                            double level) {
  DemandHistogram demand;
  for (const Account& account : accounts) {
    AddAccountDemand(account.per_s, account.weight, level, demand);
  }
  return demand;
}

double Admitted(const std::vector<Account>& accounts, double level) {
  double sum = 0;
  for (const Account& account : accounts) {
    sum += std::min(account.per_s, level * account.weight);
  }
  return sum;
}

double ExactLevel(const std::vector<Account>& accounts, double admitted) {
  double low = 0;
  double high = 1e6;
  for (int round = 0; round < 200; ++round) {
    const double middle = (low + high) / 2;
    (Admitted(accounts, middle) > admitted ? high : low) = middle;
  }
  return low;
}

std::vector<Account> RandomAccounts(std::size_t count, std::uint32_t seed) {
  std::mt19937 random(seed);
  std::uniform_real_distribution<double> exponent(-3, 3);
  std::vector<Account> accounts(count);
  for (Account& account : accounts) {
    account.weight = std::pow(2, exponent(random));
    account.per_s = account.weight * std::pow(2, exponent(random));
  }
  return accounts;
}

double SumOf(const std::vector<Account>& accounts) {
  return Admitted(accounts, std::numeric_limits<double>::infinity());
}

// Guards against an account that takes capacity from those below their part.
TEST_CASE(
    "accounts below their part lose nothing to one at six times its rate") {
  for (const std::size_t count : {76U, 5000U}) {
    std::vector<Account> accounts(count, Account{0.8, 1});
    accounts.back().per_s *= 6;
    const double capacity = 0.8 * static_cast<double>(count) + 0.5;
    const DemandHistogram demand = HistogramOf(accounts, 0);
    const double level = AccountLevel(demand, capacity);
    REQUIRE(AdmittedShare(level, 1, 0.8) == 1);
    REQUIRE(AdmittedShare(level, 1, 4.8) == Approx(1.3 / 4.8));
  }
}

TEST_CASE("what an account does not use goes to the others") {
  const std::vector<Account> accounts = {{1, 10}, {30, 10}, {30, 10}};
  const double level = AccountLevel(HistogramOf(accounts, 0), 41);
  REQUIRE(Admitted(accounts, level) == Approx(41));
  REQUIRE(AdmittedShare(level, 10, 30) == Approx(20.0 / 30));
}

TEST_CASE("nothing is reserved for an account without requests") {
  const std::vector<Account> accounts = {{0, 100}, {30, 10}};
  const double level = AccountLevel(HistogramOf(accounts, 0), 20);
  REQUIRE(AdmittedShare(level, 10, 30) == Approx(20.0 / 30));
}

TEST_CASE("accounts above their part are admitted by weight") {
  const std::vector<Account> accounts = {{100, 1}, {100, 3}};
  const double level = AccountLevel(HistogramOf(accounts, 0), 40);
  REQUIRE(100 * AdmittedShare(level, 1, 100) == Approx(10));
  REQUIRE(100 * AdmittedShare(level, 3, 100) == Approx(30));
}

TEST_CASE("everything is admitted where the capacity suffices") {
  const std::vector<Account> accounts = {{100, 1}, {100, 3}};
  const double level = AccountLevel(HistogramOf(accounts, 0), 200);
  REQUIRE(std::isinf(level));
  REQUIRE(AdmittedShare(level, 1, 100) == 1);
  REQUIRE(std::isinf(AccountLevel(DemandHistogram(), 0)));
  REQUIRE(AccountLevel(HistogramOf(accounts, 0), 0) == 0);
}

TEST_CASE("ratios outside the range belong to the outer buckets") {
  REQUIRE(DemandBucketOf(0, 0) == 0);
  REQUIRE(DemandBucketOf(1e-9, 0) == 0);
  REQUIRE(DemandBucketOf(1e9, 0) == kDemandBuckets - 1);
  REQUIRE(DemandBucketOf(1e9, 1e12) == kDemandBuckets - 2);
  REQUIRE(DemandBucketOf(1, 0) == 16);
  REQUIRE(DemandBucketOf(std::numeric_limits<double>::infinity(), 0) ==
          kDemandBuckets - 1);
}

// Guards against a level whose error grows with the number of accounts.
TEST_CASE("the error of the buckets is bounded") {
  const double q = std::pow(2, 0.25);
  const double q_moved = std::pow(2, 0.375);
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    for (const std::size_t count : {3U, 76U, 5000U}) {
      const std::vector<Account> accounts = RandomAccounts(count, seed);
      for (const double share : {0.1, 0.4, 0.8, 0.95}) {
        const double admitted = share * SumOf(accounts);
        const double exact = ExactLevel(accounts, admitted);
        // The last level: none, and one that is out of date.
        for (const double last : {0.0, exact * 1.9, exact * 0.7}) {
          const DemandHistogram demand = HistogramOf(accounts, last);
          const double level = AccountLevel(demand, admitted);
          const std::size_t bucket = DemandBucketOf(level, last);
          const double factor = last > 0 ? q_moved : q;
          REQUIRE(level <= exact * (1 + 1e-9));
          REQUIRE(level * factor * factor >= exact);
          REQUIRE(admitted - Admitted(accounts, level) <=
                  (factor - 1) / (factor + 1) * demand.buckets[bucket].per_s +
                      1e-6 * admitted);
        }
      }
    }
  }
}

// Guards against capacity that stays unused as long as the load is steady.
TEST_CASE("the error of the buckets disappears while the load is steady") {
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    const std::vector<Account> accounts = RandomAccounts(76, seed);
    const double admitted = 0.6 * SumOf(accounts);
    const double exact = ExactLevel(accounts, admitted);
    double level = 0;
    for (int interval = 0; interval < 6; ++interval) {
      const double next = AccountLevel(HistogramOf(accounts, level), admitted);
      REQUIRE(next >= level * (1 - 1e-9));
      level = next;
    }
    REQUIRE(level == Approx(exact).epsilon(1e-6));
  }
}

constexpr AccountClass kAccount{1, 7};
constexpr Millis kStart{100'000};

void RunHome(Millis from, Millis until, AccountHome& home) {
  for (Millis now = from; now <= until; now = now + Millis{100}) {
    UpdateHome(now, home);
  }
}

/// Demand as the home knows it without knowing that of other accounts.
std::optional<double> DemandAtHome(const AccountHome& home) {
  const HomeDemand* demand = FindAtHome(kAccount, home);
  return demand == nullptr ? std::nullopt
                           : std::optional<double>(demand->steady_per_s);
}

// Guards against a home that takes the reports of some nodes for all demand.
TEST_CASE("a new home waits for the reports of all nodes") {
  AccountHome home;
  UpdateHome(kStart, home);
  RecordReport(kStart, kAccount, "a", 5, false, home);
  RunHome(kStart, kStart + Millis{500}, home);
  REQUIRE_FALSE(DemandAtHome(home).has_value());
  RecordReport(kStart + Millis{499}, kAccount, "b", 7, false, home);
  RunHome(kStart, kStart + kHomeSettleTime, home);
  REQUIRE(DemandAtHome(home) == 12);
}

TEST_CASE("reports of a node that is gone expire") {
  AccountHome home;
  Millis now = kStart;
  RecordReport(now, kAccount, "a", 50, false, home);
  for (int tick = 0; tick < 50; ++tick, now = now + Millis{100}) {
    RecordReport(now, kAccount, "b", 50, false, home);
    UpdateHome(now, home);
  }
  REQUIRE(DemandAtHome(home) == Approx(50));
  RunHome(now, now + kMaxDecisionAge + Millis{200}, home);
  REQUIRE(DemandAtHome(home) == 0);
  REQUIRE_FALSE(IsActive(now + kMaxDecisionAge + Millis{200}, 0,
                         home.accounts.at(kAccount)));
  RunHome(now + kMaxDecisionAge, now + kSteadyLifetime + kMaxDecisionAge, home);
  REQUIRE(home.accounts.empty());
}

// Guards against a small account that is refused because two of its requests
// happened to arrive within a second.
TEST_CASE("random arrivals of a small account do not count as more demand") {
  AccountHome home;
  AccountMeter meter;
  Millis now = kStart;
  std::mt19937 random(3);
  std::bernoulli_distribution arrives(0.1);
  double sum = 0;
  int samples = 0;
  double highest = 0;
  for (int tick = 0; tick < 6000; ++tick, now = now + Millis{100}) {
    if (arrives(random)) {
      CountRequest(now, kAccount, meter);
    }
    UpdateMeter(now, meter);
    if (tick % 5 == 0) {
      const auto local = meter.accounts.find(kAccount);
      if (local != meter.accounts.end()) {
        RecordReport(now, kAccount, "a", local->second.offered.per_s, true,
                     home);
      }
    }
    UpdateHome(now, home);
    const double demand = DemandAtHome(home).value_or(0);
    if (tick > 300) {
      sum += demand;
      ++samples;
      highest = std::max(highest, demand);
    }
  }
  REQUIRE(sum / samples == Approx(1).margin(0.1));
  REQUIRE(highest < 4);
}

TEST_CASE("six times the usual rate is recognized within two seconds") {
  AccountHome home;
  AccountMeter meter;
  Millis now = kStart;
  const auto run = [&](int ticks, int period) {
    for (int tick = 0; tick < ticks; ++tick, now = now + Millis{100}) {
      if (tick % period == 0) {
        CountRequest(now, kAccount, meter);
      }
      UpdateMeter(now, meter);
      RecordReport(now, kAccount, "a",
                   meter.accounts.at(kAccount).offered.per_s, true, home);
      UpdateHome(now, home);
    }
  };
  run(300, 6);
  REQUIRE(DemandAtHome(home) == Approx(10.0 / 6).margin(0.3));
  run(20, 1);
  REQUIRE(DemandAtHome(home) > 8);
}

TEST_CASE("a node reports active accounts twice a second and idle ones less") {
  AccountMeter meter;
  UpdateMeter(kStart, meter);
  CountRequest(kStart, kAccount, meter);
  UpdateMeter(kStart + Millis{100}, meter);
  LocalDemand& demand = meter.accounts.at(kAccount);
  REQUIRE(IsReportDue(kStart, demand));
  demand.reported_at = kStart;
  REQUIRE_FALSE(IsReportDue(kStart + Millis{400}, demand));
  REQUIRE(IsReportDue(kStart + Millis{500}, demand));
  Millis now = kStart;
  for (; now < kStart + Millis{8000}; now = now + Millis{100}) {
    UpdateMeter(now, meter);
  }
  REQUIRE(demand.offered.per_s == 0);
  demand.reported_at = now;
  REQUIRE_FALSE(IsReportDue(now + Millis{1900}, demand));
  REQUIRE(IsReportDue(now + Millis{2000}, demand));
  UpdateMeter(kStart + kIdleReportTime + Millis{200}, meter);
  REQUIRE(meter.accounts.empty());
}

// Guards against a level from sums that lack the accounts of a lost home: all
// accounts were limited to a part of the demand of one of them.
TEST_CASE("only a level from before the homes changed is kept") {
  const Millis changed = kStart;
  const Millis before = changed - Millis{100};
  REQUIRE(IsLevelKept(changed, changed, before));
  REQUIRE(IsLevelKept(before + kMaxDecisionAge, changed, before));
  REQUIRE_FALSE(
      IsLevelKept(before + kMaxDecisionAge + Millis{1}, changed, before));
  REQUIRE_FALSE(IsLevelKept(changed + Millis{100}, changed, changed));
  REQUIRE_FALSE(
      IsLevelKept(changed + Millis{300}, changed, changed + Millis{200}));
  // Homes that have not changed for long.
  REQUIRE_FALSE(
      IsLevelKept(kStart + Millis{9000}, kStart, kStart + Millis{8900}));
}

// Guards against a total that is used after the home has gone silent.
TEST_CASE("a total expires") {
  AccountMeter meter;
  REQUIRE_FALSE(KnownTotal(kStart, kAccount, meter).has_value());
  RecordTotal(kStart, kAccount, 12, meter);
  REQUIRE(KnownTotal(kStart + kMaxDecisionAge, kAccount, meter) == 12);
  REQUIRE_FALSE(
      KnownTotal(kStart + kMaxDecisionAge + Millis{1}, kAccount, meter)
          .has_value());
}

}  // namespace
}  // namespace almondlink::control
