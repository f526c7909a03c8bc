#include "almondlink/base/clock.h"

#include <chrono>

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

Millis WallNow() {
  return Now<std::chrono::system_clock>();
}

LatencyMs PreciseNow() {
  return LatencyMs{std::chrono::duration<double, std::milli>(
                       std::chrono::steady_clock::now().time_since_epoch())
                       .count()};
}

}  // namespace almondlink
