#include "almondlink/control/usable_slots.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <functional>
#include <random>
#include <vector>

namespace almondlink::control {
namespace {

constexpr double kSlots = 100;
constexpr double kRunMs = 60;
constexpr double kPi = 3.14159265358979323846;

/// Run time of a target by its occupancy, in multiples of that when it is
/// empty.
using Slowdown = std::function<double(double occupancy)>;

struct LearnedShare {
  double last = 0;
  double highest = 0;
  int changes = 0;
  double smallest_step = 1;
  Millis shortest_interval{1000000};
};

/// Runs a target for two minutes of a load that swings between a half and 1.3
/// of its slots; calls beyond the limit wait elsewhere.
LearnedShare Learn(const Slowdown& slowdown) {
  struct Run {
    double left_ms;
    double age_ms;
    double occupancy_at_start;
  };
  std::mt19937 random(5);
  std::uniform_real_distribution<double> spread(0.7, 1.3);
  std::bernoulli_distribution is_long(0.03);
  UsableSlotsMeter meter;
  ResetUsableSlots(0.94, meter);
  LearnedShare learned;
  std::vector<Run> runs;
  Millis changed_at{0};
  for (std::int64_t ms = 0; ms < 120000; ms += 5) {
    const double wanted =
        kSlots *
        (0.9 + 0.4 * std::sin(2 * kPi * static_cast<double>(ms) / 15000));
    const double limit = std::floor(kSlots * meter.share);
    while (static_cast<double>(runs.size()) < std::min(wanted, limit)) {
      const double run_ms = kRunMs * spread(random) * (is_long(random) ? 7 : 1);
      runs.push_back({run_ms, 0, static_cast<double>(runs.size()) / kSlots});
    }
    const double occupancy = static_cast<double>(runs.size()) / kSlots;
    for (Run& run : runs) {
      run.age_ms += 5;
      run.left_ms -= 5 / slowdown(occupancy);
      if (run.left_ms <= 0) {
        RecordOccupiedRun(1, (run.occupancy_at_start + occupancy) / 2,
                          LatencyMs{run.age_ms}, meter);
      }
    }
    runs.erase(std::remove_if(runs.begin(), runs.end(),
                              [](const Run& run) { return run.left_ms <= 0; }),
               runs.end());
    const double before = meter.share;
    const Millis now{ms + 1};
    if (ms % 50 == 0 && UpdateUsableSlots(now, meter)) {
      ++learned.changes;
      learned.smallest_step =
          std::min(learned.smallest_step, std::abs(meter.share - before));
      learned.shortest_interval = Millis{
          std::min(learned.shortest_interval.count, (now - changed_at).count)};
      changed_at = now;
    }
    learned.highest = std::max(learned.highest, meter.share);
  }
  learned.last = meter.share;
  return learned;
}

TEST_CASE("a target that is not slower when full is used wholly") {
  const LearnedShare learned = Learn([](double) { return 1.0; });
  REQUIRE(learned.last >= 0.98);
  // Nothing above what is announced: those requests would be refused.
  REQUIRE(learned.highest <= 1);
}

TEST_CASE("a target that slows down early gets fewer calls") {
  // With a fixed limit of 0.94, the last 14 slots cost more than they serve.
  const LearnedShare learned =
      Learn([](double occupancy) { return occupancy > 0.8 ? 1.6 : 1.0; });
  INFO("share " << learned.last);
  REQUIRE(learned.last <= 0.84);
  REQUIRE(learned.last >= 0.7);
}

TEST_CASE("a target that slows down at 0.95 stays about where it began") {
  const LearnedShare learned =
      Learn([](double occupancy) { return occupancy > 0.95 ? 1.3 : 1.0; });
  INFO("share " << learned.last);
  REQUIRE(learned.last <= 0.98);
  REQUIRE(learned.last >= 0.88);
}

TEST_CASE("changes are few, since each is announced to all nodes") {
  const LearnedShare learned =
      Learn([](double occupancy) { return occupancy > 0.8 ? 1.6 : 1.0; });
  REQUIRE(learned.smallest_step >= 0.0199);
  REQUIRE(learned.shortest_interval >= Millis{1000});
  REQUIRE(learned.changes <= 30);
}

TEST_CASE("nothing is learned without runs to compare") {
  UsableSlotsMeter meter;
  ResetUsableSlots(0.94, meter);
  for (int i = 0; i < 1000; ++i) {
    RecordOccupiedRun(1, 0.94, LatencyMs{100}, meter);
    REQUIRE_FALSE(UpdateUsableSlots(Millis{i * 50 + 1}, meter));
  }
  REQUIRE(meter.share == 0.94);
}

TEST_CASE("another instance starts without what was learned") {
  UsableSlotsMeter meter;
  meter.share = 0.7;
  RecordOccupiedRun(1, 0.7, LatencyMs{100}, meter);
  ResetUsableSlots(0.94, meter);
  REQUIRE(meter.share == 0.94);
  REQUIRE(meter.seen.empty());
  REQUIRE(meter.full.empty());
}

}  // namespace
}  // namespace almondlink::control
