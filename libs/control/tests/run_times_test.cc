#include "almondlink/control/run_times.h"

#include <catch2/catch.hpp>
#include <random>

namespace almondlink::control {
namespace {

RunTimeHistogram TailedRuns(double mean_ms, double speed, int runs) {
  std::mt19937 random(7);
  std::uniform_real_distribution<double> spread(0.8, 1.2);
  std::bernoulli_distribution is_long(0.03);
  RunTimeHistogram histogram;
  for (int i = 0; i < runs; ++i) {
    const double ms = mean_ms * spread(random) * (is_long(random) ? 7 : 1);
    RecordRunTime(LatencyMs{ms / speed}, speed, histogram);
  }
  return histogram;
}

TEST_CASE("the chance to be late follows the speed of a target") {
  // Without the scaling, a call would look as safe at a slow target as at the
  // fast ones that most of its runs were seen at.
  const RunTimeHistogram histogram = TailedRuns(260, 1.2, 4000);
  const LatencyMs left{1500};
  REQUIRE(ChanceToBeLate(histogram, left, 0.6) ==
          Approx(0.03).margin(kMinRunTimes / 4000));
  REQUIRE(ChanceToBeLate(histogram, left, 1.5) < 0.005);
  REQUIRE(ChanceToBeLate(histogram, LatencyMs{200}, 1.0) > 0.9);
  REQUIRE(ChanceToBeLate(histogram, LatencyMs{0}, 1.0) == Approx(1));
}

TEST_CASE("a distribution of few runs is unknown") {
  RunTimeHistogram histogram = TailedRuns(260, 1, 19);
  REQUIRE(ChanceToBeLate(histogram, LatencyMs{1}, 1) == 0);
  REQUIRE(MeanRunTimeMs(histogram) == 0);
  RecordRunTime(LatencyMs{260}, 1, histogram);
  REQUIRE(ChanceToBeLate(histogram, LatencyMs{1}, 1) == Approx(1));
}

TEST_CASE("the mean run time is that at a target of speed 1") {
  REQUIRE(MeanRunTimeMs(TailedRuns(260, 0.6, 4000)) ==
          Approx(260 * 1.18).epsilon(0.06));
}

TEST_CASE("runs that were cut off keep their part of the tail") {
  // All long runs are cut off at the timeout. Without them, the distribution
  // would have no tail and a call would seem safe at every target.
  RunTimeHistogram histogram;
  for (int i = 0; i < 1000; ++i) {
    if (i % 25 == 0) {
      RecordCutRun(LatencyMs{1500}, 1, histogram);
    } else {
      RecordRunTime(LatencyMs{260}, 1, histogram);
    }
  }
  REQUIRE(CountRunTimes(histogram) == Approx(1000));
  REQUIRE(ChanceToBeLate(histogram, LatencyMs{1400}, 1) ==
          Approx(0.04).margin(0.002));
}

TEST_CASE("a cut run is distributed over the longer runs") {
  RunTimeHistogram histogram;
  for (int i = 0; i < 40; ++i) {
    RecordRunTime(LatencyMs{i % 2 == 0 ? 100.0 : 1000.0}, 1, histogram);
  }
  // A run cut off after 500 ms says nothing about those of 100 ms.
  for (int i = 0; i < 10; ++i) {
    RecordCutRun(LatencyMs{500}, 1, histogram);
  }
  REQUIRE(ChanceToBeLate(histogram, LatencyMs{400}, 1) == Approx(0.6));
}

TEST_CASE("runs lose half of their weight in thirty seconds") {
  RunTimeTable table;
  DecayRunTimes(Millis{1000}, table);
  for (int i = 0; i < 80; ++i) {
    RecordRunTime(LatencyMs{50}, 1, table.routes[3]);
  }
  DecayRunTimes(Millis{16000}, table);
  DecayRunTimes(Millis{31000}, table);
  REQUIRE(CountRunTimes(table.routes[3]) == Approx(40));
  DecayRunTimes(Millis{1031000}, table);
  REQUIRE(table.routes.empty());
}

}  // namespace
}  // namespace almondlink::control
