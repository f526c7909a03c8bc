#include <catch2/catch.hpp>

#include "almondlink/control/decision_sums.h"

namespace almondlink::control {
namespace {

DecisionSums PartOf(double sent, double slots) {
  DecisionSums part;
  part.nodes = 1;
  part.refusals[3] = {sent, sent / 2};
  part.returns[7] = {4, 1};
  part.account_demand[7].buckets[16] = {2, 1};
  part.run_times[9].runs[5] = 10;
  part.zones[{1, 3}] = {slots, 5, 6, 2};
  return part;
}

// Guards against a part that is lost or counted twice on its way to the total.
TEST_CASE("decision sums are the same however the nodes are grouped") {
  DecisionAggregator first;
  first.members["a"] = {Millis{1000}, PartOf(10, 20)};
  first.members["b"] = {Millis{1000}, PartOf(30, 40)};
  DecisionAggregator second;
  second.members["c"] = {Millis{1000}, PartOf(50, 60)};
  const DecisionSums of_second = GroupDecisions(second);
  first.groups["c"] = {Millis{1000}, of_second};
  const DecisionSums total = TotalDecisions(GroupDecisions(first), first);
  REQUIRE(total.nodes == 3);
  REQUIRE(total.refusals.at(3).sent_per_s == 90);
  REQUIRE(total.refusals.at(3).refused_per_s == 45);
  REQUIRE(total.returns.at(7).invited_per_s == 12);
  REQUIRE(total.account_demand.at(7).buckets[16].weight == 3);
  REQUIRE(total.run_times.at(9).runs[5] == 30);
  REQUIRE(total.zones.at({1, 3}).slots == 120);
  REQUIRE(total.zones.at({1, 3}).outstanding == 18);
  REQUIRE(total.zones.at({1, 3}).waiting == 6);
}

// Guards against decisions by the figures of a node that is gone.
TEST_CASE("parts of silent nodes expire") {
  DecisionAggregator aggregator;
  aggregator.members["a"] = {Millis{1000}, PartOf(10, 20)};
  aggregator.groups["b"] = {Millis{2000}, PartOf(10, 20)};
  ExpireDecisions(Millis{1000} + kMaxDecisionAge, aggregator);
  REQUIRE(aggregator.members.size() == 1);
  ExpireDecisions(Millis{1001} + kMaxDecisionAge, aggregator);
  REQUIRE(aggregator.members.empty());
  REQUIRE(aggregator.groups.size() == 1);
}

}  // namespace
}  // namespace almondlink::control
