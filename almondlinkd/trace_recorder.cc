#include "almondlinkd/trace_recorder.h"

#include <nlohmann/json.hpp>

namespace almondlink::daemon {

Result<void> TraceRecorder::Start(const std::string& path) {
  const std::lock_guard<std::mutex> guard(this->mutex);
  this->out = std::ofstream(path, std::ios::trunc);
  if (!this->out) {
    return Fail(ErrorKind::kIo, path + ": cannot be written");
  }
  this->started = MonotonicNow();
  this->is_on = true;
  return {};
}

void TraceRecorder::Stop() {
  const std::lock_guard<std::mutex> guard(this->mutex);
  this->is_on = false;
  this->out.close();
}

void TraceRecorder::Record(const TraceCall& call) {
  if (!this->IsOn()) {
    return;
  }
  const std::lock_guard<std::mutex> guard(this->mutex);
  const nlohmann::json line = {{"type", "call"},
                               {"at_ms", (call.arrived - this->started).count},
                               {"took_ms", call.took.count},
                               {"root", call.root},
                               {"operation", call.operation},
                               {"team", call.team},
                               {"criticality", call.criticality},
                               {"depth", call.depth},
                               {"outcome", AnswerFor(call.outcome).name},
                               {"status", call.status},
                               {"attempts", call.attempts}};
  this->out << line.dump() << '\n';
}

}  // namespace almondlink::daemon
