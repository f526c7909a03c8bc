#include "almondlink/control/target_speed.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <random>
#include <vector>

namespace almondlink::control {
namespace {

constexpr std::uint32_t kRoute = 5;
constexpr std::int64_t kTickMs = 50;
constexpr double kStepMs = 5;

/// A target that runs calls of one class: runs of the mean time with a spread
/// of a fifth, of which 3% take seven times as long.
struct SimulatedTarget {
  struct Run {
    double left_ms = 0;
    double age_ms = 0;
    MeasuredRun measured;
  };

  explicit SimulatedTarget(double mean_ms_in) : mean_ms(mean_ms_in) {
    SetServiceMeans(Millis{0}, {{kRoute, this->mean_ms}}, this->meter);
  }

  void Start() {
    std::uniform_real_distribution<double> spread(0.8, 1.2);
    std::bernoulli_distribution is_long(0.03);
    Run run;
    run.left_ms = this->mean_ms / 1.18 * spread(this->random) *
                  (is_long(this->random) ? 7 : 1);
    run.measured = BeginRun(kRoute, this->meter);
    this->runs.push_back(run);
  }

  /// Runs for a tick at a speed while new calls arrive at `running` / mean.
  void Tick(double running, double speed) {
    for (double ms = 0; ms < kTickMs; ms += kStepMs) {
      std::poisson_distribution<int> arrivals(running * kStepMs /
                                              this->mean_ms);
      for (int i = arrivals(this->random); i > 0; --i) {
        this->Start();
      }
      for (Run& run : this->runs) {
        run.age_ms += kStepMs;
        run.left_ms -= kStepMs * speed;
        if (run.left_ms <= 0) {
          CompleteRun(LatencyMs{run.age_ms}, run.measured, this->meter);
        }
      }
      this->runs.erase(
          std::remove_if(this->runs.begin(), this->runs.end(),
                         [](const Run& run) { return run.left_ms <= 0; }),
          this->runs.end());
    }
    for (Run& run : this->runs) {
      AdvanceRun(LatencyMs{run.age_ms}, run.measured, this->meter);
    }
    this->now = this->now + Millis{kTickMs};
    CloseSpeedInterval(this->now, this->meter);
  }

  /// Runs for a time and returns the lowest and highest speed seen.
  std::pair<double, double> RunFor(Millis time, double running, double speed) {
    std::pair<double, double> bounds{100, 0};
    for (std::int64_t ms = 0; ms < time.count; ms += kTickMs) {
      this->Tick(running, speed);
      const double seen = CurrentSpeed(false, this->meter);
      bounds = {std::min(bounds.first, seen), std::max(bounds.second, seen)};
    }
    return bounds;
  }

  double mean_ms;
  std::mt19937 random{3};
  std::vector<Run> runs;
  SpeedMeter meter;
  Millis now{0};
};

TEST_CASE("a slow phase shows within 0.3 s") {
  // Slowness was seen in the mean time of completed runs, which is when it is
  // over.
  for (const double mean_ms : {49.0, 260.0}) {
    SimulatedTarget target(mean_ms);
    target.RunFor(Millis{20000}, 20, 1);
    const double before = CurrentSpeed(false, target.meter);
    target.RunFor(Millis{300}, 20, 0.4);
    const double during = CurrentSpeed(false, target.meter);
    INFO("mean " << mean_ms << ": " << before << " then " << during);
    REQUIRE(before == Approx(1).margin(0.25));
    REQUIRE(during < 0.7);
    target.RunFor(Millis{300}, 20, 0.4);
    target.RunFor(Millis{1500}, 20, 1);
    REQUIRE(CurrentSpeed(false, target.meter) > 0.75);
  }
}

TEST_CASE("a target that hangs is noticed before its runs end") {
  SimulatedTarget target(100);
  target.RunFor(Millis{20000}, 20, 1);
  target.RunFor(Millis{500}, 20, 0);
  REQUIRE(CurrentSpeed(false, target.meter) < 0.4);
}

TEST_CASE("the speed of a few runs is not taken for a change") {
  // Two runs in progress: six end in a window on average, and in one window of
  // sixty at most one does. Beside the weight of ten runs, that is a speed just
  // below 0.7.
  SimulatedTarget target(100);
  target.RunFor(Millis{20000}, 2, 1);
  int strayed = 0;
  constexpr int kTicks = 1200;
  for (int i = 0; i < kTicks; ++i) {
    target.Tick(2, 1);
    const double seen = CurrentSpeed(false, target.meter);
    strayed += seen < 0.7 || seen > 1.4 ? 1 : 0;
  }
  REQUIRE(strayed <= 0.05 * kTicks);
}

TEST_CASE("a rise of the load does not look like slowness") {
  // The runs of a new load have not ended yet.
  SimulatedTarget target(260);
  target.RunFor(Millis{20000}, 10, 1);
  const std::pair<double, double> seen = target.RunFor(Millis{1000}, 60, 1);
  INFO(seen.first << " to " << seen.second);
  REQUIRE(seen.first > 0.75);
}

TEST_CASE("a lasting difference in speed is measured") {
  SimulatedTarget slow(50);
  slow.RunFor(Millis{30000}, 20, 0.55);
  REQUIRE(CurrentSpeed(false, slow.meter) == Approx(0.55).margin(0.12));
  SimulatedTarget fast(50);
  fast.RunFor(Millis{30000}, 20, 1.5);
  REQUIRE(CurrentSpeed(false, fast.meter) == Approx(1.5).margin(0.3));
}

TEST_CASE("a target that warms up is slow until its runs show otherwise") {
  SimulatedTarget target(50);
  REQUIRE(CurrentSpeed(true, target.meter) == Approx(0.5));
  for (int i = 0; i < 100; ++i) {
    MeasuredRun run = BeginRun(kRoute, target.meter);
    CompleteRun(LatencyMs{50}, run, target.meter);
  }
  REQUIRE(CurrentSpeed(true, target.meter) > 0.85);
  ResetSpeed(target.meter);
  REQUIRE(CurrentSpeed(true, target.meter) == Approx(0.5));
  REQUIRE(CurrentSpeed(false, target.meter) == Approx(1));
}

TEST_CASE("without mean times of the service the speed is unknown") {
  SpeedMeter meter;
  MeasuredRun run = BeginRun(kRoute, meter);
  CompleteRun(LatencyMs{500}, run, meter);
  CloseSpeedInterval(Millis{50}, meter);
  REQUIRE(CurrentSpeed(false, meter) == 0);
  // It announced that it is slow, though not beside what.
  REQUIRE(CurrentSpeed(true, meter) == Approx(0.5));
}

TEST_CASE("mean times outlast a pause of the calls, but not for long") {
  SpeedMeter meter;
  SetServiceMeans(Millis{1000}, {{kRoute, 50}}, meter);
  SetServiceMeans(Millis{50000}, {}, meter);
  REQUIRE(CurrentSpeed(false, meter) == Approx(1));
  SetServiceMeans(Millis{62000}, {}, meter);
  REQUIRE(CurrentSpeed(false, meter) == 0);
}

}  // namespace
}  // namespace almondlink::control
