#ifndef ALMONDLINK_MODEL_SCENARIO_H_
#define ALMONDLINK_MODEL_SCENARIO_H_

#include <cstdint>
#include <string>
#include <vector>

#include "almondlink/base/error.h"
#include "almondlink/model/relay_rules.h"
#include "almondlink/policy/bundle.h"

/// A trace: what is served, what comes in and what fails, and the outcomes that
/// are stated for it. JSON lines, described in docs/TRACES.md. Lines that a
/// node recorded (`"type":"call"`) may stand in it as arrivals.
namespace almondlink::model {

/// One service of the deployment.
struct ServiceModel {
  std::string name;
  int instances = 1;
  int slots = 16;
  /// Mean time of the service's own work.
  double work_ms = 10;
};

/// Calls that an operation makes, one after the other, after its own work.
struct ChainModel {
  std::string operation;
  std::vector<std::string> calls;
  /// Mean time of its own work; 0: as its service says.
  double work_ms = 0;
};

/// Random arrivals of an operation at a rate.
struct ArrivalModel {
  std::string operation;
  double from_ms = 0;
  double to_ms = 0;
  double per_second = 0;
};

/// One arrival, recorded by a node.
struct RecordedCall {
  double at_ms = 0;
  std::string operation;
};

enum class FaultKind {
  /// Work takes `factor` times as long.
  kSlow,
  /// Instances are gone: nothing answers.
  kLost,
  /// Instances were restarted: work takes `factor` times as long at first and
  /// normal time at the end.
  kCold,
  /// Instances answer every request at once with an error, though their health
  /// endpoint says that all is well.
  kFailingWhileHealthy,
  /// Connections open at the start carry nothing any more, new ones work.
  kSilentLinks,
  /// The platform's log does not answer.
  kLogDown,
  /// Instances refuse a part (`factor`) of their calls, unrun, while their
  /// health endpoint says that all is well.
  kShedding,
};

/// One fault.
struct FaultModel {
  FaultKind kind = FaultKind::kSlow;
  std::string service;
  /// Zone it is limited to; empty for all.
  std::string zone;
  /// Instance it is limited to; -1 for all.
  int instance = -1;
  double from_ms = 0;
  double to_ms = 0;
  double factor = 1;
};

/// How callers behave.
struct CallerModel {
  /// Tries of one request, the first included.
  int tries = 4;
  double pause_ms = 200;
  /// Callers ask a node for keys of at-most-once calls.
  bool has_minted_keys = false;
};

/// What stands between callers and targets in a replay.
enum class ControlKind {
  /// almondlink's decisions at its own interface.
  kAlmondlink,
  /// Its decisions as a relay.
  kRelay,
  /// No control: services repeat failed calls at each hop, nothing is refused.
  kNone,
  /// A fixed concurrency limit at each target, with the same repeats.
  kFixedLimit,
};

const char* ToString(ControlKind control);

/// A stated outcome of a replay.
struct Expectation {
  std::string figure;
  /// Class the figure is of; empty for all.
  std::string criticality;
  double min_value = 0;
  double max_value = 0;
  bool has_min = false;
  bool has_max = false;
  int line = 0;
};

/// A whole trace.
struct Scenario {
  std::string name;
  /// The control that the outcomes are stated for.
  ControlKind control = ControlKind::kAlmondlink;
  policy::Bundle bundle;
  std::uint64_t seed = 1;
  /// What a relay decides by.
  RelayRules relay_rules;
  double duration_ms = 60'000;
  /// One-way latency between zones, and to callers.
  double zone_latency_ms = 1;
  double client_latency_ms = 1;
  std::vector<std::string> zones;
  std::vector<ServiceModel> services;
  std::vector<ChainModel> chains;
  std::vector<ArrivalModel> arrivals;
  std::vector<RecordedCall> recorded_calls;
  std::vector<FaultModel> faults;
  CallerModel callers;
  /// Time of the cause; figures of recovery count from its end.
  double disturbance_from_ms = 0;
  double disturbance_to_ms = 0;
  std::vector<Expectation> expectations;
};

/// Parses a trace. `folder` is where the bundle's path starts. Errors:
/// kBadSettings with file and line, kIo, kBadBundle. Thread safe.
Result<Scenario> ParseScenario(const std::string& name,
                               const std::string& text,
                               const std::string& folder);

}  // namespace almondlink::model

#endif  // ALMONDLINK_MODEL_SCENARIO_H_
