#include "almondlink/control/error_rate.h"

#include <catch2/catch.hpp>
#include <random>
#include <vector>

#include "almondlink/control/placement.h"

namespace almondlink::control {
namespace {

TEST_CASE(
    "the error rate rises within a few answers and decays without answers") {
  ErrorRate errors;
  for (int i = 0; i < 20; ++i) {
    UpdateErrorRate(Millis{1000}, true, errors);
  }
  REQUIRE(CurrentErrorRate(Millis{1000}, errors) > 0.6);
  REQUIRE(CurrentErrorRate(Millis{2000}, errors) < 0.1);
  // One more error restores the rate; one success does not.
  ErrorRate sound = errors;
  UpdateErrorRate(Millis{2000}, true, errors);
  REQUIRE(CurrentErrorRate(Millis{2000}, errors) > 0.6);
  UpdateErrorRate(Millis{2000}, false, sound);
  REQUIRE(CurrentErrorRate(Millis{2000}, sound) < 0.1);
}

TEST_CASE(
    "ordinary errors, and those that all targets share, do not stand out") {
  REQUIRE(ExcessErrorRate(0.1, 0) == 0);
  REQUIRE(ExcessErrorRate(0.6, 0.5) == 0);
  REQUIRE(ExcessErrorRate(1, 0) == Approx(0.9));
  REQUIRE(ExcessErrorRate(1, 0.004) > 0.85);
}

/// Eight targets of which the first `failing` fail immediately. Returns the
/// share of the calls sent to these. Four of ten slots are busy.
double ShareSentToFailing(const PlacementRules& rules, std::size_t failing) {
  std::vector<PlacementTarget> views(8);
  for (std::size_t i = 0; i < views.size(); ++i) {
    views[i].is_own_zone = i % 3 == 0;
    views[i].is_open = true;
    views[i].slots = 50;
    const bool is_bad = i < failing;
    views[i].reported_load = is_bad ? 0 : 20;
    views[i].work_ms = is_bad ? 1 : 35;
    views[i].error_rate = is_bad ? 1 : 0.004;
  }
  std::mt19937 random(5);
  std::uniform_real_distribution<double> draw(0, 1);
  int sent = 0;
  constexpr int kCalls = 4000;
  for (int i = 0; i < kCalls; ++i) {
    const PlacementDraws draws{draw(random), draw(random), draw(random),
                               draw(random)};
    const std::optional<std::size_t> place =
        ChoosePlacementTarget(rules, views, Millis{1000}, draws);
    REQUIRE(place.has_value());
    sent += *place < failing ? 1 : 0;
  }
  return static_cast<double>(sent) / kCalls;
}

TEST_CASE("a target that fails immediately does not attract the load") {
  // One of eight targets answers every call with an error within a millisecond,
  // so it always has free slots. It may get less than a tenth of its eighth.
  PlacementRules rules;
  rules.acceptable_ms = 75;
  REQUIRE(ShareSentToFailing(rules, 1) > 0.125);
  rules.error_penalty_ms = 300;
  REQUIRE(ShareSentToFailing(rules, 1) < 0.0125);
}

TEST_CASE("where most targets fail, the others do not get all the load") {
  PlacementRules rules;
  rules.acceptable_ms = 75;
  rules.error_penalty_ms = 300;
  // Then no target stands out by much.
  REQUIRE(ShareSentToFailing(rules, 6) > 0.3);
}

}  // namespace
}  // namespace almondlink::control
