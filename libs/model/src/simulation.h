#ifndef ALMONDLINK_MODEL_SRC_SIMULATION_H_
#define ALMONDLINK_MODEL_SRC_SIMULATION_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "almondlink/control/chain_counts.h"
#include "almondlink/control/retry_grant.h"
#include "almondlink/model/outcome.h"
#include "almondlink/model/scenario.h"
#include "virtual_clock.h"

/// What a replay consists of, whatever control stands in it.
namespace almondlink::model {

/// An operation with its chain, found once.
struct OperationInfo {
  const policy::OperationSpec* spec = nullptr;
  std::size_t service = 0;
  std::vector<std::size_t> calls;
  /// Mean time of its own work.
  double work_ms = 0;
  /// Calls of the whole chain, this one included.
  int chain_size = 1;
};

/// One request of a caller, over all its tries.
struct RootRequest {
  std::size_t operation = 0;
  RootId root_id;
  std::uint64_t hash = 0;
  Criticality criticality = Criticality::kNormal;
  double arrived_ms = 0;
  double deadline_ms = 0;
  int tries = 0;
  bool is_done = false;
  /// Calls made, and retries that nodes spent in the current try.
  std::uint64_t calls = 0;
  /// Runs of the current try by service, from 1 on.
  control::CallCounts runs_by_service;
  std::uint32_t retries_in_try = 0;
  /// How often an at-most-once operation ran for it.
  int at_most_once_runs = 0;
};
using RootPointer = std::shared_ptr<RootRequest>;

/// How a call ended.
struct CallResult {
  bool is_completed = false;
  ErrorKind kind = ErrorKind::kNone;
  /// Pressure level met, here or deeper.
  std::uint32_t downstream_level = 0;
  Millis retry_after{-1};
};
using CallDone = std::function<void(const CallResult&)>;

/// A call that can be given up; its `done` is not called afterwards.
class CallHandle {
 public:
  virtual ~CallHandle() = default;
  virtual void Cancel() = 0;
};
using CallHandlePointer = std::shared_ptr<CallHandle>;

/// Work of a target for one call.
struct Work {
  RootPointer root;
  std::size_t operation = 0;
  std::size_t instance = 0;
  int depth = 0;
  double deadline_ms = 0;
  control::RetryGrant grant;
  std::uint32_t downstream_level = 0;
  /// A call that the work made failed.
  bool has_failed_call = false;
  bool is_running = false;
  bool is_over = false;
  /// The target said that it did not run it.
  bool is_refused = false;
  std::size_t next_call = 0;
  CallHandlePointer open_call;
  std::function<void(bool is_completed)> done;
};
using WorkPointer = std::shared_ptr<Work>;

/// A call to be made.
struct CallSpec {
  RootPointer root;
  std::size_t operation = 0;
  /// Instance whose node it enters at.
  std::size_t entry = 0;
  int depth = 0;
  double deadline_ms = 0;
  /// Work that makes the call; null for a caller's.
  WorkPointer parent;
};

/// One target with its own queue.
struct Instance {
  std::size_t service = 0;
  std::size_t index = 0;
  std::string zone;
  int running = 0;
  std::deque<WorkPointer> queue;
};

/// How calls get from callers and services to targets.
class CallPath {
 public:
  virtual ~CallPath() = default;
  virtual CallHandlePointer Call(const CallSpec& spec, CallDone done) = 0;
};

/// Scenario, time, randomness, targets and figures.
class Simulation {
 public:
  explicit Simulation(const Scenario& scenario);

  const Scenario& scenario;
  VirtualClock clock;
  std::mt19937_64 random;
  std::vector<OperationInfo> operations;
  std::vector<Instance> instances;
  /// Instances by service.
  std::vector<std::vector<std::size_t>> instances_by_service;
  Outcome outcome;
  CallPath* path = nullptr;

  /// Uniform in [0, 1).
  double DrawUniform();
  /// One-way latency between the hosts of two instances.
  double Latency(std::size_t from, std::size_t to) const;
  /// Whether a fault of that kind holds an instance now.
  bool HasFault(FaultKind kind, std::size_t instance) const;
  /// When the fault began; negative if there is none now.
  double FaultStart(FaultKind kind, std::size_t instance) const;
  bool IsLogDown() const;

  /// Puts work into a target. `done` is called at its end unless the work is
  /// cancelled or its instance is lost.
  void Submit(const WorkPointer& work);
  /// Cancels work, waiting or running, and its calls.
  void CancelWork(const WorkPointer& work);

 private:
  void StartWork(const WorkPointer& work);
  void OnOwnWorkDone(const WorkPointer& work);
  void MakeNextCall(const WorkPointer& work);
  void FinishWork(const WorkPointer& work, bool is_completed);
  void FreeSlot(Instance& instance);
  double DrawWorkTime(const WorkPointer& work);
  /// Whether the instance refuses the call that has just reached it.
  bool DrawRefusal(std::size_t instance);
  bool IsAffectedBy(const FaultModel& fault, std::size_t instance) const;
};

}  // namespace almondlink::model

#endif  // ALMONDLINK_MODEL_SRC_SIMULATION_H_
