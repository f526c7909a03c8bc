#ifndef ALMONDLINK_MESH_SRC_OBSERVED_CLOCK_H_
#define ALMONDLINK_MESH_SRC_OBSERVED_CLOCK_H_

#include <string>

#include "almondlink/base/event_log.h"
#include "almondlink/base/running_clock.h"

/// Readings of a running clock that log each stall.
namespace almondlink::mesh {

inline Millis NowOn(RunningClock& clock) {
  const Millis stalled = clock.stalled;
  const Millis now = ReadRunningClock(MonotonicNow(), clock);
  if (clock.stalled > stalled) {
    LogEvent(kEventLoopStalled,
             {{"ms", std::to_string((clock.stalled - stalled).count)}});
  }
  return now;
}

inline LatencyMs PreciseNowOn(RunningClock& clock) {
  NowOn(clock);
  return ReadRunningClock(PreciseNow(), clock);
}

}  // namespace almondlink::mesh

#endif  // ALMONDLINK_MESH_SRC_OBSERVED_CLOCK_H_
