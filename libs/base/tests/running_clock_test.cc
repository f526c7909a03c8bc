#include "almondlink/base/running_clock.h"

#include <catch2/catch.hpp>

/// Guards against a clock that counts a stall of its own loop as time that a
/// peer let pass, and against one that stretches timeouts without a stall.
namespace almondlink {
namespace {

constexpr Millis kStart{1'000'000};

TEST_CASE("without a stall running time is monotonic time") {
  RunningClock clock;
  StartRunningClock(kStart, clock);
  Millis now = kStart;
  // Timers of a loaded loop are late, up to another interval.
  for (const int late : {0, 1, 7, 30, 50}) {
    now = now + kRunningClockInterval + Millis{late};
    REQUIRE(ReadRunningClock(now, clock) == now);
  }
  REQUIRE(clock.stalled == Millis{0});
}

TEST_CASE("a stall does not count, wherever it falls between two readings") {
  for (const std::int64_t before : {0, 10, 49}) {
    for (const std::int64_t stall : {101, 800, 3'600'000}) {
      RunningClock clock;
      StartRunningClock(kStart, clock);
      const Millis end = kStart + Millis{before} + Millis{stall};
      const Millis running = ReadRunningClock(end, clock) - kStart;
      REQUIRE(running >= Millis{0});
      REQUIRE(running <= kRunningClockInterval);
      // Time goes on as before, and the stall is counted once.
      REQUIRE(ReadRunningClock(end, clock) - kStart == running);
      REQUIRE(ReadRunningClock(end + Millis{40}, clock) - kStart ==
              running + Millis{40});
    }
  }
}

TEST_CASE("running time never goes back") {
  RunningClock clock;
  StartRunningClock(kStart, clock);
  Millis now = kStart;
  Millis last = kStart;
  for (const int pause : {50, 100, 101, 102, 150, 5000, 0, 50, 101}) {
    now = now + Millis{pause};
    const Millis running = ReadRunningClock(now, clock);
    REQUIRE(running >= last);
    last = running;
  }
}

TEST_CASE("a time without readings is no stall once the clock starts again") {
  RunningClock clock;
  StartRunningClock(kStart, clock);
  const Millis later = kStart + Millis{60'000};
  StartRunningClock(later, clock);
  REQUIRE(ReadRunningClock(later + Millis{20}, clock) == later + Millis{20});
  REQUIRE(clock.stalled == Millis{0});
}

}  // namespace
}  // namespace almondlink
