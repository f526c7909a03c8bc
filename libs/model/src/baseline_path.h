#ifndef ALMONDLINK_MODEL_SRC_BASELINE_PATH_H_
#define ALMONDLINK_MODEL_SRC_BASELINE_PATH_H_

#include <vector>

#include "simulation.h"

namespace almondlink::model {

/// Baselines without the daemon's decisions: each hop retries failed calls with
/// its own timeout, without propagating deadlines or cancellation. With a
/// concurrency limit, a target's node refuses calls once its slots and a queue
/// of the same size are full.
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
