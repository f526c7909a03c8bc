#include <catch2/catch.hpp>
#include <vector>

#include "almondlink/control/chain_admission.h"

/// Capacity of a service by the measured speed of its targets.
namespace almondlink::control {
namespace {

constexpr std::uint32_t kRoute = 11;
constexpr double kWorkMs = 40;

TargetCapacity Target(double work_ms, double speed) {
  TargetCapacity target;
  target.slots = 20;
  target.work_ms = work_ms;
  target.speed = speed;
  // Together the targets are asked for 1,000 calls of 40 ms, or 40 slots.
  target.demand = {{kRoute, 500, kWorkMs}};
  return target;
}

double ShareOf(const std::vector<TargetCapacity>& targets) {
  ChainAdmission admission;
  admission.routes[kRoute];
  std::map<std::uint32_t, RootTotals> roots;
  roots[kRoute].offered_per_s = 1000;
  roots[kRoute].admitted_per_s = 1000;
  for (int i = 0; i < 50; ++i) {
    UpdateShares(ChainRules(), {ServiceCapacity{"short", targets}}, roots,
                 admission);
  }
  return admission.routes[kRoute].share;
}

TEST_CASE("slots count by the measured speed of their target") {
  const double whole = ShareOf({Target(kWorkMs, 1), Target(kWorkMs, 1)});
  REQUIRE(whole > 0.95);
  // The mean time of completed runs still shows nothing while a target hangs.
  const double halved = ShareOf({Target(kWorkMs, 1), Target(kWorkMs, 0.25)});
  REQUIRE(halved == Approx(0.625).margin(0.03));
}

TEST_CASE("slots keep their worth while all targets slow down alike") {
  // Their runs wait for a service further down that is overloaded. Counted as
  // slow targets, they would look short too, and requests that do not need the
  // overloaded service would be refused.
  const double share = ShareOf({Target(kWorkMs, 0.25), Target(kWorkMs, 0.3)});
  REQUIRE(share > 0.85);
}

TEST_CASE("a speed is not counted on top of the mean times that show it") {
  const double by_times =
      ShareOf({Target(kWorkMs * 1.5, 0), Target(kWorkMs * 0.75, 0)});
  const double by_speeds = ShareOf(
      {Target(kWorkMs * 1.5, 1 / 1.5), Target(kWorkMs * 0.75, 1 / 0.75)});
  REQUIRE(by_speeds == Approx(by_times).margin(0.001));
}

}  // namespace
}  // namespace almondlink::control
