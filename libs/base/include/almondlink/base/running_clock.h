#ifndef ALMONDLINK_BASE_RUNNING_CLOCK_H_
#define ALMONDLINK_BASE_RUNNING_CLOCK_H_

#include "almondlink/base/clock.h"

/// Monotonic time without the spans in which a loop stood still: its process
/// was suspended or got no processor time.
///
/// A timeout on a peer that expires during such a stall says nothing of the
/// peer. Its answer may lie unread in this process, or the peer stood still as
/// well, since it runs on the same host. A timeout that is measured on this
/// clock leaves the peer the time that it had left when the stall began, and
/// is never longer than it was once the loop runs again.
namespace almondlink {

/// How often a loop reads its clock while it waits for a peer.
constexpr Millis kRunningClockInterval{50};
/// A reading this long after the previous one shows a stall. Twice the
/// interval, since timers of a loaded loop are some milliseconds late.
constexpr Millis kShortestStall{100};

/// State of the clock of one loop. Plain data; one thread at a time.
struct RunningClock {
  /// Monotonic time of the last reading.
  Millis last_reading;
  /// Length of all stalls so far.
  Millis stalled;
};

/// Starts the clock, or starts it again after a time without readings, which is
/// then not taken for a stall. `now` is monotonic time.
void StartRunningClock(Millis now, RunningClock& clock);

/// The running time at `now`, which is monotonic time and not before the last
/// reading. Between two readings of a loop that runs there is
/// kRunningClockInterval at most.
Millis ReadRunningClock(Millis now, RunningClock& clock);

/// The same with fractions, for latency samples.
LatencyMs ReadRunningClock(LatencyMs now, RunningClock& clock);

}  // namespace almondlink

#endif  // ALMONDLINK_BASE_RUNNING_CLOCK_H_
