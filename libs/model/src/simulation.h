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

/// The parts of a replay that do not depend on the request control.
namespace almondlink::model {

/// An operation with its call chain resolved to indices.
struct OperationInfo {
  const policy::OperationSpec* spec = nullptr;
  /// Index in Scenario::services.
  std::size_t service = 0;
  /// Indices in Simulation::operations of the calls that it makes, in order.
  std::vector<std::size_t> calls;
  /// Mean time of its own work.
  double work_ms = 0;
  /// Number of calls in the whole chain, including this one.
  int chain_size = 1;
};

/// One request of a caller, across all its tries.
struct RootRequest {
  std::size_t operation = 0;
  RootId root_id;
  std::uint64_t hash = 0;
  Criticality criticality = Criticality::kNormal;
  double arrived_ms = 0;
  double deadline_ms = 0;
  int tries = 0;
  bool is_done = false;
  /// Calls made for the request, by callers, services and retrying nodes.
  std::uint64_t calls = 0;
  /// Runs of the current try by service key; keys start at 1.
  control::CallCounts runs_by_service;
  /// Retries by nodes in the current try.
  std::uint32_t retries_in_try = 0;
  /// Runs of at-most-once operations for the request.
  int at_most_once_runs = 0;
};
using RootPointer = std::shared_ptr<RootRequest>;

/// Result of a call.
struct CallResult {
  bool is_completed = false;
  ErrorKind kind = ErrorKind::kNone;
  /// Highest pressure level reported by the target or further downstream.
  std::uint32_t downstream_level = 0;
  Millis retry_after{-1};
};
using CallDone = std::function<void(const CallResult&)>;

/// Cancels a call; its `done` is not called afterwards.
class CallHandle {
 public:
  virtual ~CallHandle() = default;
  virtual void Cancel() = 0;
};
using CallHandlePointer = std::shared_ptr<CallHandle>;

/// One call as a target runs it.
struct Work {
  RootPointer root;
  std::size_t operation = 0;
  std::size_t instance = 0;
  int depth = 0;
  double deadline_ms = 0;
  control::RetryGrant grant;
  std::uint32_t downstream_level = 0;
  /// One of the calls that the work makes has failed.
  bool has_failed_call = false;
  bool is_running = false;
  bool is_over = false;
  /// The target refused the call without running it.
  bool is_refused = false;
  std::size_t next_call = 0;
  /// The call that the work waits for, if any.
  CallHandlePointer open_call;
  std::function<void(bool is_completed)> done;
};
using WorkPointer = std::shared_ptr<Work>;

/// Parameters of a call.
struct CallSpec {
  RootPointer root;
  std::size_t operation = 0;
  /// Instance whose node receives the call from the caller or service.
  std::size_t entry = 0;
  int depth = 0;
  double deadline_ms = 0;
  /// Work that makes the call; null for a root request.
  WorkPointer parent;
};

/// One target: an instance of a service with its slots and its queue.
struct Instance {
  std::size_t service = 0;
  std::size_t index = 0;
  std::string zone;
  int running = 0;
  std::deque<WorkPointer> queue;
};

/// Sends calls from callers and services to targets under some request control.
class CallPath {
 public:
  virtual ~CallPath() = default;
  virtual CallHandlePointer Call(const CallSpec& spec, CallDone done) = 0;
};

/// State of one replay: clock, random numbers, targets and outcome.
class Simulation {
 public:
  explicit Simulation(const Scenario& scenario);

  const Scenario& scenario;
  VirtualClock clock;
  std::mt19937_64 random;
  std::vector<OperationInfo> operations;
  std::vector<Instance> instances;
  /// Indices in `instances` by service.
  std::vector<std::vector<std::size_t>> instances_by_service;
  Outcome outcome;
  CallPath* path = nullptr;

  /// Returns a random number, uniform in [0, 1).
  double DrawUniform();
  /// One-way latency between the hosts of two instances.
  double Latency(std::size_t from, std::size_t to) const;
  /// Whether a fault of that kind currently affects an instance.
  bool HasFault(FaultKind kind, std::size_t instance) const;
  /// Start of the fault that currently affects an instance; negative if none.
  double FaultStart(FaultKind kind, std::size_t instance) const;
  bool IsLogDown() const;

  /// Hands work to its target. `done` is called when it ends, unless it is
  /// cancelled or its instance is lost.
  void Submit(const WorkPointer& work);
  /// Cancels queued or running work and its open call.
  void CancelWork(const WorkPointer& work);

 private:
  void StartWork(const WorkPointer& work);
  void OnOwnWorkDone(const WorkPointer& work);
  void MakeNextCall(const WorkPointer& work);
  void FinishWork(const WorkPointer& work, bool is_completed);
  void FreeSlot(Instance& instance);
  double DrawWorkTime(const WorkPointer& work);
  /// Draws whether an instance that sheds load refuses an arriving call.
  bool DrawRefusal(std::size_t instance);
  bool IsAffectedBy(const FaultModel& fault, std::size_t instance) const;
};

}  // namespace almondlink::model

#endif  // ALMONDLINK_MODEL_SRC_SIMULATION_H_
