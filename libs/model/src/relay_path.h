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

/// Calls as relay nodes make them (libs/relay): roots are let in by the room of
/// their whole chain, targets run no more than their slots, what is let in goes
/// first, repeats are bounded for each service. The same functions of `control`
/// in the daemon's order, without bytes.
///
/// Simpler than the daemon: all nodes share one admission, and told loads are
/// as old as the last answer or the last round of states.
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

  /// How an attempt ended at the node beside the target.
  enum class AttemptResult {
    kCompleted,
    /// The target ran it and failed.
    kFailed,
    /// The target said that it did not run it.
    kRefusedByTarget,
    /// It waited too long for a slot.
    kNoSlot,
    /// Nothing came back.
    kLost,
  };

  // The entry node's side.
  bool AdmitRoot(const OutgoingCallPointer& call);
  void Attempt(const OutgoingCallPointer& call);
  void OnAttemptResult(const OutgoingCallPointer& call,
                       int attempt,
                       AttemptResult result);
  bool ConsumeRepeat(const OutgoingCallPointer& call);
  void Finish(const OutgoingCallPointer& call, const CallResult& result);
  void Cancel(const OutgoingCallPointer& call);
  void TimeOut(const OutgoingCallPointer& call);

  // The node beside the target.
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
  /// Repeats of each service, of all nodes together.
  std::vector<control::RepeatAllowance> allowances;
  std::uint64_t arrivals = 0;
};

}  // namespace almondlink::model

#endif  // ALMONDLINK_MODEL_SRC_RELAY_PATH_H_
