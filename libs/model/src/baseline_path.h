#ifndef ALMONDLINK_MODEL_SRC_BASELINE_PATH_H_
#define ALMONDLINK_MODEL_SRC_BASELINE_PATH_H_

#include <vector>

#include "simulation.h"

namespace almondlink::model {

/// The baselines: each hop repeats failed calls by itself with its own timeout,
/// deadlines and cancellation do not travel; with a fixed limit a target's node
/// refuses what is above the slots and as many waiting.
class BaselinePath : public CallPath {
 public:
  BaselinePath(Simulation& simulation, bool has_concurrency_limit);
  CallHandlePointer Call(const CallSpec& spec, CallDone done) override;

 private:
  struct PendingCall;
  void Attempt(const std::shared_ptr<PendingCall>& pending);
  void OnArrival(const std::shared_ptr<PendingCall>& pending,
                 std::size_t target);
  void OnAttemptFailed(const std::shared_ptr<PendingCall>& pending,
                       int attempt);

  Simulation& simulation;
  const bool has_concurrency_limit;
  std::vector<std::size_t> next_target;
  std::vector<int> in_flight;
};

}  // namespace almondlink::model

#endif  // ALMONDLINK_MODEL_SRC_BASELINE_PATH_H_
