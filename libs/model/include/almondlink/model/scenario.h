#ifndef ALMONDLINK_MODEL_SCENARIO_H_
#define ALMONDLINK_MODEL_SCENARIO_H_

#include <cstdint>
#include <string>
#include <vector>

#include "almondlink/base/error.h"
#include "almondlink/model/relay_rules.h"
#include "almondlink/policy/bundle.h"

/// Scenarios of replays, parsed from trace files: the services of a deployment,
/// arriving requests, faults, and the expected outcome. A trace file holds JSON
/// lines, described in docs/TRACES.md. Calls that a node recorded
/// (`"type":"call"`) can be used as arrivals.
namespace almondlink::model {

/// One service of the deployment.
struct ServiceModel {
  std::string name;
  int instances = 1;
  /// Requests that one instance runs at the same time.
  int slots = 16;
  /// Mean run time of a request, without the calls that it makes.
  double work_ms = 10;
};

/// Calls that an operation makes in sequence after its own work.
struct ChainModel {
  std::string operation;
  std::vector<std::string> calls;
  /// Mean time of its own work; 0 means the value of its service.
  double work_ms = 0;
};

/// Poisson arrivals of an operation at a mean rate.
struct ArrivalModel {
  std::string operation;
  double from_ms = 0;
  double to_ms = 0;
  double per_second = 0;
};

/// One arrival that a node recorded.
struct RecordedCall {
  double at_ms = 0;
  std::string operation;
};

enum class FaultKind {
  /// Work takes `factor` times as long as usual.
  kSlow,
  /// The hosts of the instances are lost: nothing answers.
  kLost,
  /// Instances warm up after a restart: work takes `factor` times as long at
  /// the start of the fault, falling linearly to the usual time at its end.
  kCold,
  /// Instances answer every request with an immediate error while their health
  /// endpoint reports success.
  kFailingWhileHealthy,
  /// Connections that are open at the start of the fault silently lose all
  /// data; new ones work.
  kSilentLinks,
  /// The log of the platform does not answer.
  kLogDown,
  /// Instances refuse a share (`factor`) of their calls without running them
  /// while their health endpoint reports success.
  kShedding,
};

/// One fault and the instances that it affects.
struct FaultModel {
  FaultKind kind = FaultKind::kSlow;
  /// Affected service; empty for all.
  std::string service;
  /// Affected zone; empty for all.
  std::string zone;
  /// Index of the affected instance of each service; -1 for all.
  int instance = -1;
  double from_ms = 0;
  double to_ms = 0;
  /// Meaning by FaultKind.
  double factor = 1;
};

/// Retry behaviour of callers.
struct CallerModel {
  /// Maximum tries of one request, including the first.
  int tries = 4;
  /// Mean pause before the next try.
  double pause_ms = 200;
  /// Idempotency keys of at-most-once calls are issued by a node, so that the
  /// target's node need not claim them in the log.
  bool has_minted_keys = false;
};

/// Request control between callers and targets in a replay.
enum class ControlKind {
  /// Decisions of an almondlink node at its own interface.
  kAlmondlink,
  /// Decisions of an almondlink node as a relay.
  kRelay,
  /// No control: each hop retries failed calls, nothing is refused.
  kNone,
  /// A fixed concurrency limit at each target, with the same retries.
  kFixedLimit,
};

/// Returns the name for result tables.
const char* ToString(ControlKind control);

/// Bounds of one figure that the outcome of a replay must meet.
struct Expectation {
  std::string figure;
  /// Criticality class that the figure covers; empty for all.
  std::string criticality;
  double min_value = 0;
  double max_value = 0;
  bool has_min = false;
  bool has_max = false;
  /// Line of the trace file.
  int line = 0;
};

/// A parsed trace file.
struct Scenario {
  std::string name;
  /// The control that the expectations apply to.
  ControlKind control = ControlKind::kAlmondlink;
  policy::Bundle bundle;
  std::uint64_t seed = 1;
  /// Rules of the relay; not part of the trace file.
  RelayRules relay_rules;
  double duration_ms = 60'000;
  /// One-way latency between zones, and between callers and nodes.
  double zone_latency_ms = 1;
  double client_latency_ms = 1;
  std::vector<std::string> zones;
  std::vector<ServiceModel> services;
  std::vector<ChainModel> chains;
  std::vector<ArrivalModel> arrivals;
  std::vector<RecordedCall> recorded_calls;
  std::vector<FaultModel> faults;
  CallerModel callers;
  /// Period of the disturbance, a fault or a load surge (the `cause` line).
  /// Recovery is timed from its end.
  double disturbance_from_ms = 0;
  double disturbance_to_ms = 0;
  std::vector<Expectation> expectations;
};

/// Parses a trace file. `name` is used in errors; `folder` is the prefix of the
/// bundle's path. Errors: kBadSettings with file and line, kIo, kBadBundle.
/// Thread safe.
Result<Scenario> ParseScenario(const std::string& name,
                               const std::string& text,
                               const std::string& folder);

}  // namespace almondlink::model

#endif  // ALMONDLINK_MODEL_SCENARIO_H_
