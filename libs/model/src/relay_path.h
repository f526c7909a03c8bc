#ifndef ALMONDLINK_MODEL_SRC_RELAY_PATH_H_
#define ALMONDLINK_MODEL_SRC_RELAY_PATH_H_

#include <map>
#include <memory>
#include <string>
#include <tuple>
#include <vector>

#include "almondlink/control/chain_admission.h"
#include "almondlink/control/placement.h"
#include "almondlink/control/repeat_allowance.h"
#include "simulation.h"

namespace almondlink::model {

/// Simulates calls through relay nodes (libs/relay): root requests are admitted
/// by the capacity of their whole call chain, targets run no more calls than
/// they have slots, calls of admitted roots are queued by priority, and repeats
/// are limited for each service. Uses the same functions of `control` in the
/// daemon's order, without a transport.
///
/// Simplified against the daemon: all nodes share one admission state, and
/// reported loads date from the last answer or the last exchange of states.
class RelayPath : public CallPath {
 public:
  explicit RelayPath(Simulation& simulation);
  ~RelayPath() override;
  CallHandlePointer Call(const CallSpec& spec, CallDone done) override;

 private:
  struct OutgoingCall;
  using OutgoingCallPointer = std::shared_ptr<OutgoingCall>;
  struct Node;
  struct Handle;

  /// Result of an attempt at the node beside the target.
  enum class AttemptResult {
    kCompleted,
    /// The target ran the call without success.
    kFailed,
    /// The target refused the call without running it.
    kRefusedByTarget,
    /// The call waited too long for a free slot.
    kNoSlot,
    /// No answer arrived.
    kLost,
  };

  // Entry node.
  bool AdmitRoot(const OutgoingCallPointer& call);
  void Attempt(const OutgoingCallPointer& call);
  void OnAttemptResult(const OutgoingCallPointer& call,
                       int attempt,
                       AttemptResult result);
  bool ConsumeRepeat(const OutgoingCallPointer& call);
  void Finish(const OutgoingCallPointer& call, const CallResult& result);
  void Cancel(const OutgoingCallPointer& call);
  void TimeOut(const OutgoingCallPointer& call);

  // Node beside the target.
  void OnArrival(const OutgoingCallPointer& call, std::size_t target);
  void DispatchQueued(std::size_t target);
  void Dispatch(std::size_t target, const OutgoingCallPointer& call);
  void Reply(const OutgoingCallPointer& call,
             int attempt,
             AttemptResult result);

  void Tick();
  std::uint32_t RouteKey(const RootRequest& root) const;
  control::RepeatRules EffectiveRepeatRules() const;
  std::uint32_t SlotsOf(std::size_t target) const;

  Simulation& simulation;
  std::vector<std::unique_ptr<Node>> nodes;
  control::ChainAdmission admission;
  /// Repeat allowance of each service, shared by all nodes.
  std::vector<control::RepeatAllowance> allowances;
  std::uint64_t arrivals = 0;
};

}  // namespace almondlink::model

#endif  // ALMONDLINK_MODEL_SRC_RELAY_PATH_H_
