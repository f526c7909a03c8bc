#include "almondlink/base/running_clock.h"

namespace almondlink {

void StartRunningClock(Millis now, RunningClock& clock) {
  clock.last_reading = now;
}

Millis ReadRunningClock(Millis now, RunningClock& clock) {
  const Millis pause = now - clock.last_reading;
  if (pause > kShortestStall) {
    clock.stalled = clock.stalled + (pause - kRunningClockInterval);
  }
  clock.last_reading = now;
  return now - clock.stalled;
}

LatencyMs ReadRunningClock(LatencyMs now, RunningClock& clock) {
  ReadRunningClock(Millis{static_cast<std::int64_t>(now.count)}, clock);
  return LatencyMs{now.count - static_cast<double>(clock.stalled.count)};
}

}  // namespace almondlink
