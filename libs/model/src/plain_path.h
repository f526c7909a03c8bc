#ifndef ALMONDLINK_MODEL_SRC_PLAIN_PATH_H_
#define ALMONDLINK_MODEL_SRC_PLAIN_PATH_H_

#include <vector>

#include "world.h"

namespace almondlink::model {

/// The baselines: each hop repeats failed calls by itself with its own timeout,
/// deadlines and cancellation do not travel; with a fixed limit a target's node
/// refuses what is above the slots and as many waiting.
class PlainPath : public CallPath {
 public:
  PlainPath(World& world, bool has_limit);
  CallHandlePointer Call(const CallSpec& spec, CallDone done) override;

 private:
  struct Pending;
  void Attempt(const std::shared_ptr<Pending>& pending);
  void Arrive(const std::shared_ptr<Pending>& pending, std::size_t target);
  void Fail(const std::shared_ptr<Pending>& pending, int attempt);

  World& world;
  const bool has_limit;
  std::vector<std::size_t> next;
  std::vector<int> taken;
};

}  // namespace almondlink::model

#endif  // ALMONDLINK_MODEL_SRC_PLAIN_PATH_H_
