#include "almondlink/model/experiment.h"

#include <catch2/catch.hpp>

#include "almondlink/config/ini_reader.h"

/// Variants of settings on one scenario with the same seeds.
namespace almondlink::model {
namespace {

Scenario Trace() {
  const std::string path = "test/replay/relay-kowhai-1-surge.jsonl";
  return HandleFailure(
      [&]() -> Result<Scenario> {
        BOOST_LEAF_AUTO(text, config::ReadFile(path));
        return ParseScenario(path, text, "");
      },
      [](const Failure& failure) -> Scenario {
        FAIL(failure.detail);
        return Scenario();
      });
}

std::vector<VariantOutcomes> Run(const std::vector<Variant>& variants,
                                 std::uint64_t seeds,
                                 unsigned jobs) {
  return HandleFailure(
      [&]() { return RunExperiment({Trace()}, variants, seeds, jobs); },
      [](const Failure& failure) -> std::vector<VariantOutcomes> {
        FAIL(failure.detail);
        return {};
      });
}

/// Returns the error for a list of variants; empty if it is valid.
std::string ValidationError(const std::string& text) {
  return HandleFailure(
      [&]() -> Result<std::string> {
        BOOST_LEAF_AUTO(variants, ParseVariants(text));
        RelayRules rules;
        for (const Variant& variant : variants) {
          BOOST_LEAF_CHECK(SetRule(variant.setting, variant.value, rules));
        }
        return std::string();
      },
      [](const Failure& failure) { return failure.detail; });
}

TEST_CASE("variants are parsed, invalid ones are refused with the reason") {
  REQUIRE(ValidationError("by_cost=0,0.5,1").empty());
  REQUIRE(ValidationError("no_fewer=off").empty());
  REQUIRE(ValidationError("by_cost").find("SETTING=") != std::string::npos);
  REQUIRE(ValidationError("by_cost=").find("SETTING=") != std::string::npos);
  REQUIRE(ValidationError("=1").find("SETTING=") != std::string::npos);
  REQUIRE(ValidationError("by_cost=2").find("not between") !=
          std::string::npos);
  REQUIRE(ValidationError("by_cost=nan").find("not between") !=
          std::string::npos);
  REQUIRE(ValidationError("by_cost=1,,0").find("not a number") !=
          std::string::npos);
  REQUIRE(ValidationError("by_cost=1x").find("not a number") !=
          std::string::npos);
  REQUIRE(ValidationError("no_such=1").find("planned_share") !=
          std::string::npos);
}

TEST_CASE("the result does not depend on the number of jobs") {
  const std::vector<Variant> variants = {{}, {"by_cost", "0"}};
  const std::vector<VariantOutcomes> one = Run(variants, 2, 1);
  const std::vector<VariantOutcomes> four = Run(variants, 2, 4);
  REQUIRE(one.size() == 2);
  REQUIRE(four.size() == 2);
  for (std::size_t i = 0; i < one.size(); ++i) {
    REQUIRE(one[i].variant_index == i);
    for (std::size_t seed = 0; seed < 2; ++seed) {
      REQUIRE(one[i].outcomes[seed].weighted_completed ==
              four[i].outcomes[seed].weighted_completed);
    }
  }
}

TEST_CASE(
    "paired statistics show the effect of a setting, and 0 for the default") {
  const std::vector<VariantOutcomes> series =
      Run({{}, {"by_cost", "0"}, {"by_cost", "1"}}, 3, 4);
  const FigureStatistics other =
      ComputeStatistics(series[1], series[0], "weighted_share_in_cause", "");
  REQUIRE(other.mean_change != 0);
  // The value of the default, set explicitly.
  const FigureStatistics same =
      ComputeStatistics(series[2], series[0], "weighted_share_in_cause", "");
  REQUIRE(same.mean_change == 0);
  REQUIRE(same.change_deviation == 0);
  REQUIRE(same.deviation > 0);
  REQUIRE(same.mean > 0.5);
}

TEST_CASE("shares over time refer to the requests that arrived then") {
  const std::vector<VariantOutcomes> series = Run({{}}, 2, 2);
  const std::vector<double> all = CompletedShareOverTime(series[0], "");
  const std::vector<double> critical =
      CompletedShareOverTime(series[0], "critical");
  REQUIRE(all.size() == critical.size());
  REQUIRE(all.front() > 0.8);
  for (const double share : critical) {
    REQUIRE(share <= 1);
  }
  REQUIRE(CompletedShareOverTime(series[0], "no-such-class").empty());
}

}  // namespace
}  // namespace almondlink::model
