#include "almondlink/control/load_sums.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <random>
#include <string>
#include <vector>

namespace almondlink::control {
namespace {

constexpr std::uint32_t kRoute = 7;
constexpr std::uint32_t kService = 11;
const std::string kServiceName = "stock";

/// A node that offers root requests and has a target beside it.
NodeLoad MakeLoad(double offered_per_s, double work_ms) {
  NodeLoad load;
  load.service = kService;
  load.target.slots = 10;
  load.target.work_ms = work_ms;
  load.target.demand = {{kRoute, offered_per_s, work_ms}};
  RootRate rate;
  rate.route = kRoute;
  rate.offered_per_s = offered_per_s;
  rate.admitted_per_s = offered_per_s;
  rate.calls = {{kService, 1.0}};
  load.roots = {rate};
  return load;
}

/// The share of kRoute after some updates.
double ShareWith(const std::vector<TargetCapacity>& targets,
                 const std::map<std::uint32_t, RootTotals>& roots) {
  ChainAdmission admission;
  TryAdmitRoot(kRoute, 1, 0.5, admission);
  ServiceCapacity service;
  service.service = kServiceName;
  service.key = kService;
  service.targets = targets;
  for (int i = 1; i <= 40; ++i) {
    UpdateRootRates(Millis{i * 100}, admission);
    TryAdmitRoot(kRoute, 1, 0.5, admission);
    UpdateShares(ChainRules(), {service}, roots, admission);
  }
  return ShareOf(kRoute, admission);
}

std::vector<const NodeLoad*> PointersTo(const std::vector<NodeLoad>& loads) {
  std::vector<const NodeLoad*> pointers;
  pointers.reserve(loads.size());
  for (const NodeLoad& load : loads) {
    pointers.push_back(&load);
  }
  return pointers;
}

TEST_CASE("groups stay within their size as a zone grows") {
  REQUIRE(GroupCount(1) == 1);
  REQUIRE(GroupCount(kMaxGroupSize) == 1);
  REQUIRE(GroupCount(kMaxGroupSize + 1) == 2);
  for (const std::uint32_t nodes : {100U, 197U, 400U, 2000U}) {
    const std::uint32_t groups = GroupCount(nodes);
    REQUIRE(groups * kMaxGroupSize >= nodes);
    REQUIRE(groups * kMaxGroupSize < 2 * nodes + kMaxGroupSize);
    std::vector<std::uint32_t> sizes(groups);
    for (std::uint32_t i = 0; i < nodes; ++i) {
      ++sizes[GroupOf("host-" + std::to_string(i), groups)];
    }
    // Groups by hash vary; none takes the load of two.
    REQUIRE(*std::max_element(sizes.begin(), sizes.end()) < 2 * kMaxGroupSize);
  }
}

TEST_CASE("each group has an aggregator of its own") {
  constexpr std::uint32_t kGroups = 8;
  std::vector<std::string> chosen;
  for (std::uint32_t group = 0; group < kGroups; ++group) {
    std::string best;
    for (int i = 0; i < 400; ++i) {
      const std::string name = "host-" + std::to_string(i);
      if (best.empty() ||
          AggregatorRank(name, group) > AggregatorRank(best, group)) {
        best = name;
      }
    }
    chosen.push_back(best);
  }
  std::sort(chosen.begin(), chosen.end());
  REQUIRE(std::unique(chosen.begin(), chosen.end()) == chosen.end());
}

TEST_CASE("a fleet near the limit does not alternate between sums and loads") {
  REQUIRE_FALSE(UsesSums(128, 128, false));
  REQUIRE(UsesSums(129, 128, false));
  REQUIRE(UsesSums(100, 128, true));
  REQUIRE_FALSE(UsesSums(96, 128, true));
}

TEST_CASE("sums of groups give the shares of the loads themselves") {
  // Twice the demand that 120 targets of different speed have slots for.
  std::mt19937 random(3);
  std::uniform_real_distribution<double> work_ms(60, 160);
  std::vector<NodeLoad> loads;
  std::vector<TargetCapacity> targets;
  std::map<std::uint32_t, RootTotals> roots;
  for (int i = 0; i < 120; ++i) {
    loads.push_back(MakeLoad(200, work_ms(random)));
    targets.push_back(loads.back().target);
    AddRootRate(loads.back().roots[0], roots);
  }
  const double direct = ShareWith(targets, roots);
  REQUIRE(direct < 0.7);
  LoadSums total;
  for (std::size_t first = 0; first < loads.size(); first += 40) {
    const std::vector<NodeLoad> group(
        loads.begin() + static_cast<std::ptrdiff_t>(first),
        loads.begin() + static_cast<std::ptrdiff_t>(first + 40));
    AddSums(SumLoads(PointersTo(group)), total);
  }
  REQUIRE(total.nodes == 120);
  const double summed =
      ShareWith({CombinedTarget(total.services[kService])}, total.roots);
  REQUIRE(std::abs(summed - direct) < 0.02);
}

TEST_CASE("targets that fail by themselves count for fewer slots in a sum") {
  std::vector<NodeLoad> loads(10, MakeLoad(10, 100));
  loads[0].target.error_rate = 0.9;
  const LoadSums sums = SumLoads(PointersTo(loads));
  const double slots = sums.services.at(kService).slots;
  REQUIRE(slots < 95);
  REQUIRE(slots >= 90);
  // A failure that all share lies elsewhere.
  for (NodeLoad& load : loads) {
    load.target.error_rate = 0.9;
  }
  REQUIRE(SumLoads(PointersTo(loads)).services.at(kService).slots == 100);
}

TEST_CASE("repeats are summed by service") {
  std::vector<NodeLoad> loads(3);
  loads[0].repeats[kService] = {10, 9, 8, 2};
  loads[2].repeats[kService] = {20, 19, 18, 3};
  const LoadSums sums = SumLoads(PointersTo(loads));
  REQUIRE(sums.repeats.at(kService).requests == 30);
  REQUIRE(sums.repeats.at(kService).requests_previous == 26);
  REQUIRE(sums.repeats.at(kService).repeats == 5);
}

TEST_CASE("an aggregator forgets members and groups that say nothing") {
  LoadAggregator aggregator;
  aggregator.members["a"] = {Millis{1000}, true, MakeLoad(1, 1)};
  aggregator.members["b"] = {Millis{3000}, true, MakeLoad(1, 1)};
  aggregator.members["c"] = {Millis{3000}, false, MakeLoad(1, 1)};
  LoadSums other;
  other.nodes = 5;
  aggregator.groups["x"] = {Millis{2500}, other};
  const Millis overdue{1300};
  REQUIRE(ExpireLoads(Millis{3000}, overdue, aggregator) ==
          std::vector<std::string>{"a"});
  LoadSums own = GroupSums(aggregator);
  // A node that is not counted only receives totals.
  REQUIRE(own.nodes == 2);
  REQUIRE(TotalSums(own, aggregator).nodes == 7);
  ExpireLoads(Millis{3700}, overdue, aggregator);
  own = GroupSums(aggregator);
  REQUIRE(own.nodes == 1);
  REQUIRE(TotalSums(own, aggregator).nodes == 1);
}

TEST_CASE("limited targets leave a service the requests that they accept") {
  // 60 nodes offer 20 requests a second each, 1,200 in all; each target could
  // run 500 a second, and names a limit of 5.
  std::vector<NodeLoad> loads;
  std::vector<TargetCapacity> targets;
  std::map<std::uint32_t, RootTotals> roots;
  for (int i = 0; i < 60; ++i) {
    loads.push_back(MakeLoad(20, 20));
    loads.back().target.limit_per_s = 5;
    targets.push_back(loads.back().target);
    AddRootRate(loads.back().roots.front(), roots);
  }
  const double direct = ShareWith(targets, roots);
  REQUIRE(direct * 1200 >= 60 * 5);
  REQUIRE(direct * 1200 <= 1.2 * 60 * 5);
  const LoadSums sums = SumLoads(PointersTo(loads));
  const double summed =
      ShareWith({CombinedTarget(sums.services.at(kService))}, sums.roots);
  REQUIRE(summed * 1200 >= 60 * 5);
  REQUIRE(summed * 1200 <= 1.2 * 60 * 5);
  // A limit far above what the slots can run changes nothing.
  for (TargetCapacity& target : targets) {
    target.limit_per_s = 1e6;
  }
  REQUIRE(ShareWith(targets, roots) == 1);
}

}  // namespace
}  // namespace almondlink::control
