#ifndef ALMONDLINKD_TRACE_RECORDER_H_
#define ALMONDLINKD_TRACE_RECORDER_H_

#include <atomic>
#include <cstdint>
#include <fstream>
#include <mutex>
#include <string>

#include "almondlink/base/clock.h"
#include "almondlink/base/error.h"

namespace almondlink::daemon {

/// One finished call, as a trace keeps it.
struct TraceCall {
  Millis arrived;
  LatencyMs took;
  std::string root;
  std::string operation;
  std::string team;
  std::uint32_t criticality = 0;
  std::uint32_t depth = 0;
  ErrorKind outcome = ErrorKind::kNone;
  std::uint32_t status = 0;
  std::uint32_t attempts = 0;
};

/// Records finished calls as JSON lines while it is on (docs/TRACES.md). Off,
/// it costs one relaxed load per call. Thread safe.
class TraceRecorder {
 public:
  /// Starts a new file. Errors: kIo.
  Result<void> Start(const std::string& path);
  void Stop();
  bool IsOn() const { return this->is_on.load(std::memory_order_relaxed); }
  /// Does nothing while off.
  void Record(const TraceCall& call);

 private:
  std::atomic<bool> is_on{false};
  std::mutex mutex;
  std::ofstream out;
  Millis started;
};

}  // namespace almondlink::daemon

#endif  // ALMONDLINKD_TRACE_RECORDER_H_
