#ifndef ALMONDLINK_LIBS_CONTROL_TESTS_QUARANTINE_FLEET_H_
#define ALMONDLINK_LIBS_CONTROL_TESTS_QUARANTINE_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "almondlink/control/quarantine.h"
#include "almondlink/control/trial_registry.h"

/// Simulates nodes and the targets of one service in virtual time, with
/// requests that crash targets and crashes that no request causes. Messages
/// between nodes take time; nodes decide as entry nodes do.
namespace almondlink::control::test {

struct FleetSpec {
  int nodes = 14;
  /// The first nodes, up to this number, have a target of the service.
  int targets = 4;
  /// Latency of a message between nodes.
  Millis latency{2};
  /// Duration of a run; a deadly request crashes its target at the end of it.
  Millis run_time{90};
  /// Time until a crashed target is up again.
  Millis restart_time{3000};
  /// Targets that one attempt of a caller may be sent to.
  int attempts = 2;
  /// Time for which a request waits for a trial.
  Millis trial_wait{600};
  std::uint32_t seed = 1;
};

/// Outcomes of the requests that callers sent.
struct FleetCounts {
  int sent = 0;
  int completed = 0;
  /// Refused because targets crashed under the same request.
  int refused = 0;
  int lost = 0;
  /// No target was available.
  int without_target = 0;
};

class QuarantineFleet {
 public:
  explicit QuarantineFleet(const FleetSpec& spec);

  /// A caller sends a request to a node at a given time. Contents below
  /// kFirstHarmless crash the targets that run them.
  void Send(Millis at, int node, std::uint64_t content);
  static constexpr std::uint64_t kFirstHarmless = 1'000'000;

  /// A target crashes for a reason of its own.
  void CrashTarget(Millis at, int target);
  /// The node's links are down for a time: it receives and reports nothing, and
  /// its callers reach only its own target.
  void CutOff(Millis at, int node, Millis span);
  /// The node restarts without its records; peers with quarantined requests
  /// report them to it.
  void Restart(Millis at, int node);

  void RunUntil(Millis end);

  const FleetCounts& Harmless() const { return this->harmless; }
  const FleetCounts& Deadly() const { return this->deadly; }
  /// Times at which targets started to run each deadly request, in order.
  const std::vector<Millis>& RunsOf(std::uint64_t content) {
    return this->runs[content];
  }
  /// Number of these runs that started more than `after` after the third crash.
  int LateRuns(std::uint64_t content, Millis after);
  int Crashes() const { return this->crashes; }

 private:
  struct Node {
    QuarantineTable table;
    TrialRegistry registry;
    bool is_cut_off = false;
    int incarnation = 0;
  };
  struct Target {
    bool is_up = true;
    std::uint64_t incarnation = 0;
    std::set<int> jobs;
  };
  struct Job {
    std::uint64_t content = 0;
    int node = 0;
    int target = -1;
    int attempts = 0;
    bool is_on_trial = false;
    Millis wait_until;
  };

  void Schedule(Millis at, std::function<void()> action);
  void Deliver(int from, int to, const std::function<void()>& action);
  void Attempt(int id);
  void RequestTrial(int id);
  void Dispatch(int id, int target);
  void Crash(int target);
  void OnCompleted(int id);
  void OnTargetCrash(int id, std::uint64_t incarnation);
  void EndTrial(Job& job);
  void Report(int node, std::uint64_t content);
  int TrialGranter(int node) const;
  int ChooseTarget(int node, int except);
  FleetCounts& CountsOf(std::uint64_t content);
  RequestDigest DigestOf(std::uint64_t content) const {
    return {content, content, content};
  }

  FleetSpec spec;
  QuarantineRules rules;
  Millis now;
  std::mt19937 random;
  std::multimap<std::int64_t, std::function<void()>> events;
  std::vector<Node> nodes;
  std::vector<Target> targets;
  std::map<int, Job> jobs;
  int last_job = 0;
  std::uint64_t last_incarnation = 0;
  int crashes = 0;
  FleetCounts harmless;
  FleetCounts deadly;
  std::map<std::uint64_t, std::vector<Millis>> runs;
};

}  // namespace almondlink::control::test

#endif  // ALMONDLINK_LIBS_CONTROL_TESTS_QUARANTINE_FLEET_H_
