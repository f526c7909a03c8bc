#include "almondlink/base/clock.h"

#include <chrono>
#include <ctime>
#include <thread>

namespace almondlink {

namespace {

template <typename Source>
Millis Now() {
  return Millis{std::chrono::duration_cast<std::chrono::milliseconds>(
                    Source::now().time_since_epoch())
                    .count()};
}

}  // namespace

Millis MonotonicNow() {
  return Now<std::chrono::steady_clock>();
}

Millis BootTimeNow() {
  constexpr std::int64_t kMillisPerSecond = 1000;
  constexpr std::int64_t kNanosPerMilli = 1'000'000;
  timespec time{};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return Millis{time.tv_sec * kMillisPerSecond + time.tv_nsec / kNanosPerMilli};
}

Millis WallNow() {
  return Now<std::chrono::system_clock>();
}

LatencyMs PreciseNow() {
  return LatencyMs{std::chrono::duration<double, std::milli>(
                       std::chrono::steady_clock::now().time_since_epoch())
                       .count()};
}

void SleepFor(Millis time) {
  std::this_thread::sleep_for(std::chrono::milliseconds(time.count));
}

}  // namespace almondlink
