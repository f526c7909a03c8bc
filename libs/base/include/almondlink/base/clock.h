#ifndef ALMONDLINK_BASE_CLOCK_H_
#define ALMONDLINK_BASE_CLOCK_H_

#include <cstdint>

/// The one clock type of almondlink. All times and durations are whole
/// milliseconds; only latency samples are fractions (`LatencyMs`).
namespace almondlink {

/// A duration, or a point in time as the duration since an epoch.
struct Millis {
  std::int64_t count = 0;

  friend constexpr bool operator==(Millis a, Millis b) {
    return a.count == b.count;
  }
  friend constexpr bool operator!=(Millis a, Millis b) {
    return a.count != b.count;
  }
  friend constexpr bool operator<(Millis a, Millis b) {
    return a.count < b.count;
  }
  friend constexpr bool operator<=(Millis a, Millis b) {
    return a.count <= b.count;
  }
  friend constexpr bool operator>(Millis a, Millis b) {
    return a.count > b.count;
  }
  friend constexpr bool operator>=(Millis a, Millis b) {
    return a.count >= b.count;
  }
  friend constexpr Millis operator+(Millis a, Millis b) {
    return Millis{a.count + b.count};
  }
  friend constexpr Millis operator-(Millis a, Millis b) {
    return Millis{a.count - b.count};
  }
  friend constexpr Millis operator*(Millis a, std::int64_t factor) {
    return Millis{a.count * factor};
  }
};

/// A measured latency in milliseconds, with fractions.
struct LatencyMs {
  double count = 0;
};

/// Milliseconds of the monotonic clock. Thread safe.
Millis MonotonicNow();

/// Milliseconds of the monotonic clock that also counts the time for which the
/// host was suspended; for ages, leases and deadlines of others. Thread safe.
Millis BootTimeNow();

/// Milliseconds since 1970 of the wall clock; used only where records of
/// several hosts are compared. Thread safe.
Millis WallNow();

/// Monotonic time in milliseconds with fractions, for latency samples. Thread
/// safe.
LatencyMs PreciseNow();

/// Blocks the calling thread; for threads and tools without a loop.
void SleepFor(Millis time);

}  // namespace almondlink

#endif  // ALMONDLINK_BASE_CLOCK_H_
