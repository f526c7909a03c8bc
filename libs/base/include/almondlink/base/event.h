#ifndef ALMONDLINK_BASE_EVENT_H_
#define ALMONDLINK_BASE_EVENT_H_

#include <cstdint>

namespace almondlink {

enum class Level : std::uint32_t { kDebug, kInfo, kWarning, kError };

/// Kinds of events whose rate of lines is bounded together.
enum class Volume : std::uint32_t {
  /// Life of the process and changes of what it believes.
  kRare,
  /// Requests that were refused, failed or were tried again.
  kFailure,
  /// Requests that went well.
  kRoutine,
  /// Requests whose outcome is not known: the last lines to go.
  kLost,
  /// Words of others that cannot be read.
  kRefused,
  /// Requests that targets ended under.
  kBlame,
};

constexpr std::uint32_t kVolumeCount = 6;

/// One kind of log line. Numbers are never given to another event.
struct Event {
  std::uint32_t number;
  Level level;
  const char* name;
  Volume volume;
};

}  // namespace almondlink

#endif  // ALMONDLINK_BASE_EVENT_H_
