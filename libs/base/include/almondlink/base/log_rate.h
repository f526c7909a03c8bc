#ifndef ALMONDLINK_BASE_LOG_RATE_H_
#define ALMONDLINK_BASE_LOG_RATE_H_

#include <array>
#include <cstdint>

#include "almondlink/base/clock.h"
#include "almondlink/base/event.h"

namespace almondlink {

/// Lines a second of each kind, and how many more may come at once. 325 lines a
/// second of at most 600 bytes are 195 KB/s; at 5 us a line that is 0.17 % of a
/// core.
constexpr std::array<double, kVolumeCount> kLinesPerSecond = {100, 60, 20,
                                                              100, 5,  40};
constexpr std::array<double, kVolumeCount> kLinesAtOnce = {400, 120, 20,
                                                           400, 20,  400};

/// A token bucket for each kind. Plain data; one thread at a time.
struct LogRate {
  std::array<double, kVolumeCount> tokens = kLinesAtOnce;
  std::array<std::uint64_t, kVolumeCount> left_out{};
  Millis refilled;
};

/// Takes the place of one line; false, and counted, if there is none.
bool TakeLine(Millis now, Volume volume, LogRate& rate);

/// Whether there is a place; counts a line as left out if not.
bool HasLine(Millis now, Volume volume, LogRate& rate);

}  // namespace almondlink

#endif  // ALMONDLINK_BASE_LOG_RATE_H_
