#include <catch2/catch.hpp>
#include <cmath>

#include "libs/control/tests/account_fleet.h"

/// Fair shares in whole fleets, in virtual time. The shares of requests are
/// averaged, not draws, so the results contain no sampling error of the draws.
namespace almondlink::control {
namespace {

constexpr std::uint64_t kSeed = 11;
/// Goal of docs/design/lasting-load.md.
constexpr double kMaxLoss = 0.02;

/// A fleet whose accounts demand 0.8 of their granted rates, but the first. The
/// rates of accounts differ by a factor of four.
AccountFleet MakeFleet(std::size_t nodes,
                       std::size_t accounts,
                       double per_node,
                       double first_factor) {
  const double total = per_node * static_cast<double>(nodes);
  AccountFleet fleet(nodes, total * 1.1, kSeed);
  fleet.accounts.resize(accounts);
  double sum = 0;
  for (std::size_t i = 0; i < accounts; ++i) {
    fleet.accounts[i].per_s = std::pow(4, static_cast<double>(i % 10) / 9);
    sum += i > 0 ? fleet.accounts[i].per_s : 0;
  }
  // The first account usually makes a tenth of the requests.
  fleet.accounts[0].per_s = sum / 9;
  for (FleetAccount& account : fleet.accounts) {
    account.per_s *= total / (sum * 10 / 9);
    account.weight = account.per_s / 0.8;
  }
  fleet.accounts[0].per_s *= first_factor;
  return fleet;
}

/// Served share of all accounts but the first.
double ServedOfOthers(const AccountFleet& fleet) {
  double requests = 0;
  double admitted = 0;
  for (std::size_t i = 1; i < fleet.accounts.size(); ++i) {
    requests += fleet.accounts[i].requests;
    admitted += fleet.accounts[i].admitted;
  }
  return admitted / requests;
}

double AdmittedPerSecond(const AccountFleet& fleet) {
  double admitted = 0;
  for (const FleetAccount& account : fleet.accounts) {
    admitted += account.admitted;
  }
  return admitted / fleet.counted_s;
}

/// Served share of the others with and without the first account's surplus.
struct Comparison {
  double usual = 0;
  double loaded = 0;
  /// Admitted requests of the loaded fleet, relative to its capacity.
  double use = 0;
};

template <typename Disturb>
Comparison Compare(std::size_t nodes,
                   std::size_t accounts,
                   double warm_up_s,
                   const Disturb& disturb) {
  constexpr double kSeconds = 20;
  Comparison result;
  for (const double factor : {1.0, 6.0}) {
    AccountFleet fleet = MakeFleet(nodes, accounts, 1.5, factor);
    fleet.Run(warm_up_s);
    fleet.ResetCounts();
    disturb(fleet);
    fleet.Run(kSeconds);
    (factor > 1 ? result.loaded : result.usual) = ServedOfOthers(fleet);
    result.use = AdmittedPerSecond(fleet) / fleet.capacity;
  }
  return result;
}

void CheckFair(const Comparison& result) {
  CAPTURE(result.usual, result.loaded, result.use);
  CHECK(result.loaded >= result.usual - kMaxLoss);
  CHECK(result.use < 1.05);
  CHECK(result.use > 0.95);
}

// Guards against the loss that a random draw within the class causes: without
// fair shares the others are served 0.73.
TEST_CASE("one account at six times its usual rate does not affect others") {
  const auto leave = [](AccountFleet& /*fleet*/) {};
  // A node sees each account once or twice a minute.
  CheckFair(Compare(69, 76, 15, leave));
  // A node sees most accounts never, and the home each one in two seconds.
  CheckFair(Compare(2000, 5000, 10, leave));
}

// Guards against a loss while the demand of accounts is unknown at a new home.
TEST_CASE("accounts below their part lose nothing when homes die") {
  CheckFair(Compare(69, 76, 15, [](AccountFleet& fleet) {
    fleet.Kill(fleet.HomeOf(0, 0));
    fleet.Run(5);
    fleet.Kill(fleet.HomeOf(0, 0));
    fleet.Kill(fleet.HomeOf(1, 0));
    fleet.Run(5);
  }));
}

TEST_CASE("accounts below their part lose nothing to a home that is new") {
  CheckFair(Compare(69, 76, 15, [](AccountFleet& fleet) {
    const std::size_t home = fleet.HomeOf(0, 0);
    fleet.Kill(home);
    fleet.Run(10);
    fleet.Start(home);
    fleet.Run(5);
  }));
}

TEST_CASE("accounts below their part lose nothing when their home is cut off") {
  CheckFair(Compare(69, 76, 15, [](AccountFleet& fleet) {
    fleet.CutOff(fleet.HomeOf(0, 0));
    fleet.Run(5);
  }));
}

// Guards against an exchange that grows with the square of the nodes.
TEST_CASE("a node of a large fleet sends no more reports than one of a small") {
  const auto reports_of = [](std::size_t nodes) {
    AccountFleet fleet = MakeFleet(nodes, 5000, 1.5, 6);
    fleet.Run(40);
    fleet.reports = 0;
    fleet.Run(5);
    return static_cast<double>(fleet.reports) /
           (5 * static_cast<double>(nodes));
  };
  const double small = reports_of(69);
  const double large = reports_of(1000);
  CAPTURE(small, large);
  CHECK(large < 1.1 * small);
  // Arithmetic: 1.5 requests per second make 1.5 * 5.3 s active entries that
  // are sent twice a second and 1.5 * 24.7 s idle ones that are sent every two
  // seconds.
  CHECK(large < 1.1 * (1.5 * 5.3 * 2 + 1.5 * 24.7 / 2));
}

}  // namespace
}  // namespace almondlink::control
