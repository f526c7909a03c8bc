#include "almondlink/control/route_exchange.h"

#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "almondlink/control/chain_admission.h"

namespace almondlink::control {
namespace {

constexpr std::uint32_t kView = 21;
constexpr std::uint32_t kOrder = 22;
constexpr std::uint32_t kUpload = 23;
constexpr std::uint32_t kRecord = 24;

/// A class of root requests, with the calls of one request at the service.
struct Load {
  std::uint32_t route = 0;
  std::uint32_t route_priority = 0;
  double per_s = 0;
  double calls = 1;
  double work_ms = 0;
  std::optional<std::uint32_t> account_priority;
};

/// The first workload of docs/design/lasting-load.md: a service of 4 x 169
/// slots; slot-seconds per view, order and record: 0.39, 0.20, 0.16.
std::vector<Load> FirstWorkload(double orders_per_s) {
  return {{kView, 1, 1421, 8, 49, std::nullopt},
          {kOrder, 2, orders_per_s, 4, 50, std::nullopt},
          {kUpload, 1, 20, 1, 50, std::nullopt},
          {kRecord, 0, 170, 1, 160, std::nullopt}};
}

std::uint32_t PriorityOf(const Load& load) {
  return load.account_priority.value_or(0) * 4 + load.route_priority;
}

/// The loads of one service, updated until the shares settle.
class Service {
 public:
  explicit Service(const ChainRules& rules_in) : rules(rules_in) {
    this->admission.most_urgent_route = 0;
  }

  void Settle(const std::vector<Load>& loads, std::uint32_t slots) {
    for (int i = 0; i < 20; ++i) {
      this->UpdateOnce(loads, slots);
    }
  }

  void UpdateOnce(const std::vector<Load>& loads, std::uint32_t slots) {
    TargetCapacity target;
    target.slots = slots;
    std::map<std::uint32_t, RootTotals> roots;
    double calls = 0;
    double work = 0;
    for (const Load& load : loads) {
      RootRequest request;
      request.route = load.route;
      request.priority = PriorityOf(load);
      request.route_priority = load.route_priority;
      request.account_priority = load.account_priority;
      TryAdmitRoot(request, 0, this->admission);
      const double calls_per_s = load.per_s * load.calls;
      target.demand.push_back({load.route, calls_per_s, load.work_ms});
      calls += calls_per_s;
      work += calls_per_s * load.work_ms;
      roots[load.route].offered_per_s = load.per_s;
      roots[load.route].admitted_per_s = load.per_s;
    }
    target.work_ms = work / calls;
    UpdateShares(this->rules, {{"store", {target}}}, roots, this->admission);
  }

  double Share(std::uint32_t route) const {
    return ShareOf(route, this->admission);
  }

  /// Slots that the admitted requests use.
  double UsedSlots(const std::vector<Load>& loads) const {
    double used = 0;
    for (const Load& load : loads) {
      used += this->Share(load.route) * load.per_s * load.calls * load.work_ms /
              1000;
    }
    return used;
  }

  ChainAdmission admission;

 private:
  ChainRules rules;
};

ChainRules RulesWith(double exchange_ratio, double floor) {
  ChainRules rules;
  rules.exchange_ratio = exchange_ratio;
  rules.min_relative_share = floor;
  rules.has_ordered_floors = floor > 0;
  return rules;
}

// Guards against an exchange, or a floor of an exchanging class, that is paid
// by the most urgent route: with larger floors for orders alone, records fell
// from 0.980 to 0.956 in a trial.
TEST_CASE("the most urgent route pays nothing for an exchange") {
  for (const double floor : {0.0, 0.15, 0.6}) {
    for (const std::uint32_t slots : {40U, 100U, 300U, 500U, 676U}) {
      for (const double orders : {466.0, 1025.0}) {
        std::vector<Load> loads = FirstWorkload(orders);
        // A most urgent route that takes a good part of the service.
        loads[3].per_s = 1200;
        Service without(RulesWith(0, floor));
        without.Settle(loads, slots);
        Service plain(RulesWith(0, 0));
        plain.Settle(loads, slots);
        Service with(RulesWith(1.5, floor));
        with.Settle(loads, slots);
        INFO("floor " << floor << ", slots " << slots << ", orders " << orders);
        REQUIRE(with.Share(kRecord) >= without.Share(kRecord) - 1e-6);
        REQUIRE(with.Share(kRecord) >= plain.Share(kRecord) - 1e-6);
        REQUIRE(with.UsedSlots(loads) <= slots * 1.001);
      }
    }
  }
}

// Guards against refusing one view where two orders could be served for it:
// division by priority alone serves 0.18 of the orders.
TEST_CASE("orders of the first workload are admitted as often as views") {
  for (const double orders : {466.0, 700.0, 1025.0}) {
    const std::vector<Load> loads = FirstWorkload(orders);
    Service without(RulesWith(0, 0.15));
    without.Settle(loads, 4 * 169);
    Service with(RulesWith(1.5, 0.15));
    with.Settle(loads, 4 * 169);
    INFO("orders " << orders << ", views " << with.Share(kView) << ", orders "
                   << with.Share(kOrder) << " before "
                   << without.Share(kOrder));
    REQUIRE(with.Share(kRecord) == 1);
    REQUIRE(with.Share(kOrder) <= with.Share(kView) + 1e-3);
    REQUIRE(with.Share(kOrder) >= with.Share(kView) - 0.01);
    REQUIRE(with.Share(kOrder) >= without.Share(kOrder) - 1e-6);
    REQUIRE(with.Share(kOrder) > 0.8);
    // No slot is left unused and none is granted twice. Shares of at least
    // 0.995 are set to 1.
    double wanted = 0;
    for (const Load& load : loads) {
      wanted += load.per_s * load.calls * load.work_ms / 1000;
    }
    REQUIRE(with.UsedSlots(loads) <= 676 / 0.995);
    REQUIRE(with.UsedSlots(loads) >= std::min(676.0, wanted) * 0.99);
  }
}

// Guards against an exchange that overshoots, and against a small class that
// the evenly divided slots serve in full before a more urgent one.
TEST_CASE("no class has a larger share than a more urgent one") {
  for (const std::uint32_t slots : {5U, 20U, 60U, 200U, 400U, 676U}) {
    for (const double orders : {5.0, 100.0, 1025.0, 4000.0}) {
      std::vector<Load> loads = FirstWorkload(orders);
      constexpr std::uint32_t kListing = 25;
      loads.push_back({kListing, 3, 300, 1, 80, std::nullopt});
      Service service(RulesWith(1.5, 0.15));
      service.Settle(loads, slots);
      INFO("slots " << slots << ", orders " << orders << ": record "
                    << service.Share(kRecord) << ", upload "
                    << service.Share(kUpload) << ", view "
                    << service.Share(kView) << ", order "
                    << service.Share(kOrder) << ", listing "
                    << service.Share(kListing));
      for (const Load& first : loads) {
        for (const Load& second : loads) {
          if (first.route_priority < second.route_priority) {
            REQUIRE(service.Share(first.route) >=
                    service.Share(second.route) - 1e-3);
          }
        }
      }
    }
  }
}

// Guards against an exchange where refusing an urgent request frees no room for
// several others.
TEST_CASE("nothing changes where the more urgent routes are the cheaper ones") {
  const std::vector<Load> loads = {{kView, 2, 800, 8, 49, std::nullopt},
                                   {kOrder, 1, 900, 4, 50, std::nullopt},
                                   {kRecord, 0, 170, 1, 160, std::nullopt}};
  for (const std::uint32_t slots : {30U, 150U, 300U}) {
    Service without(RulesWith(0, 0.15));
    without.Settle(loads, slots);
    Service with(RulesWith(1.5, 0.15));
    with.Settle(loads, slots);
    for (const Load& load : loads) {
      REQUIRE(with.Share(load.route) == without.Share(load.route));
    }
  }
}

// Guards against an exchange that noise in the measured costs begins and ends
// again and again.
TEST_CASE("an exchange that has begun ends only below 0.8 of the ratio") {
  Service service(RulesWith(1.5, 0.15));
  std::vector<Load> loads = FirstWorkload(1025);
  const auto with_ratio = [&](double ratio) {
    loads[0].work_ms = ratio * 4 * 50 / 8;
    service.Settle(loads, 300);
    return service.Share(kOrder) / service.Share(kView);
  };
  REQUIRE(with_ratio(1.45) < 0.5);
  REQUIRE(with_ratio(1.55) > 0.95);
  REQUIRE(with_ratio(1.25) > 0.95);
  REQUIRE(with_ratio(1.15) < 0.5);
  REQUIRE(with_ratio(1.45) < 0.5);
}

// Guards against an exchange that serves accounts of lower priority at the
// expense of those of a higher one.
TEST_CASE("slots move only among classes of one account priority") {
  constexpr std::uint32_t kOtherView = 31;
  constexpr std::uint32_t kOtherOrder = 32;
  const std::vector<Load> loads = {{kView, 1, 700, 8, 49, 0},
                                   {kOrder, 2, 500, 4, 50, 0},
                                   {kOtherView, 1, 700, 8, 49, 1},
                                   {kOtherOrder, 2, 500, 4, 50, 1},
                                   {kRecord, 0, 170, 1, 160, 0}};
  Service without(RulesWith(0, 0.15));
  without.Settle(loads, 420);
  Service with(RulesWith(1.5, 0.15));
  with.Settle(loads, 420);
  const auto used = [](const Service& service, std::uint32_t view,
                       std::uint32_t order) {
    return service.Share(view) * 700 * 0.392 + service.Share(order) * 500 * 0.2;
  };
  REQUIRE(used(with, kView, kOrder) ==
          Approx(used(without, kView, kOrder)).epsilon(0.01));
  REQUIRE(used(with, kOtherView, kOtherOrder) ==
          Approx(used(without, kOtherView, kOtherOrder)).epsilon(0.01));
  REQUIRE(with.Share(kOrder) > 0.95 * with.Share(kView));
  REQUIRE(with.Share(kOtherOrder) > 0.95 * with.Share(kOtherView));
  REQUIRE(with.admission.routes.at(kView).given.size() <= 1);
  REQUIRE(with.admission.routes.at(kView).given.count(kOtherOrder) == 0);
}

// Guards against figures of a lost target that keep an exchange going.
TEST_CASE("shares follow when a target is lost and when it returns") {
  const std::vector<Load> loads = FirstWorkload(466);
  Service service(RulesWith(1.5, 0.15));
  service.Settle(loads, 4 * 169 + 100);
  REQUIRE(service.Share(kView) == 1);
  REQUIRE(service.Share(kOrder) == 1);
  service.Settle(loads, 3 * 169);
  REQUIRE(service.Share(kOrder) == Approx(service.Share(kView)).margin(0.01));
  REQUIRE(service.Share(kView) < 0.8);
  REQUIRE_FALSE(service.admission.routes.at(kView).given.empty());
  // A service that is no longer short limits nobody from the next update on.
  service.UpdateOnce(loads, 4 * 169 + 100);
  REQUIRE(service.Share(kView) == 1);
  REQUIRE(service.Share(kOrder) == 1);
  REQUIRE(service.admission.routes.at(kView).given.empty());
}

// Guards against several receivers of one giver that overtake each other.
TEST_CASE("the receiver with the smallest share gets slots first") {
  std::vector<ExchangeClass> classes(3);
  classes[0] = {1, 1, std::nullopt, 0.4, 100, 100, 100};
  classes[1] = {2, 2, std::nullopt, 0.2, 100, 100, 30};
  classes[2] = {3, 3, std::nullopt, 0.1, 100, 100, 0};
  const std::set<ExchangePair> pairs = AllowedExchanges({1.5, 0}, classes, {});
  REQUIRE(pairs.size() == 3);
  ExchangeSlots(pairs, classes);
  for (const ExchangeClass& entry : classes) {
    REQUIRE(entry.granted_slots == Approx(130.0 / 3).margin(1));
  }
  REQUIRE(classes[0].granted_slots >= classes[1].granted_slots - 1e-6);
  REQUIRE(classes[1].granted_slots >= classes[2].granted_slots - 1e-6);
}

// Guards against a switch that still changes decisions when it is off.
TEST_CASE("without the ratio or without a policy no slots are exchanged") {
  const std::vector<Load> loads = FirstWorkload(1025);
  Service off(RulesWith(0, 0.15));
  off.Settle(loads, 500);
  Service unknown(RulesWith(1.5, 0.15));
  unknown.admission.most_urgent_route.reset();
  unknown.Settle(loads, 500);
  REQUIRE(off.admission.exchanges.empty());
  for (const Load& load : loads) {
    REQUIRE(off.Share(load.route) == unknown.Share(load.route));
  }
}

}  // namespace
}  // namespace almondlink::control
