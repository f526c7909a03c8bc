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

/// Nodes and the targets of one service in virtual time, with requests that end
/// targets, and ends that no request is to blame for. News between nodes takes
/// its time; nodes decide as entry nodes do.
namespace almondlink::control::test {

struct FleetSpec {
  int nodes = 14;
  /// The first so many nodes have a target of the service.
  int targets = 4;
  /// Time from node to node.
  Millis latency{2};
  /// A run takes this long; a deadly one ends its target after as much.
  Millis run_time{90};
  /// A target that ended is back after this.
  Millis restart_time{3000};
  /// Targets that one attempt of a caller may be sent to.
  int attempts = 2;
  /// A request waits so long for a trial.
  Millis trial_wait{600};
  std::uint32_t seed = 1;
};

/// What became of the requests that callers sent.
struct FleetCounts {
  int sent = 0;
  int completed = 0;
  /// Not sent on because targets ended under the same request.
  int refused = 0;
  int lost = 0;
  /// No target was there.
  int without_target = 0;
};

class QuarantineFleet {
 public:
  explicit QuarantineFleet(const FleetSpec& spec);

  /// A caller sends a request at a node, at a time. Contents below
  /// kFirstInnocent end the targets that run them.
  void Send(Millis at, int node, std::uint64_t content);
  static constexpr std::uint64_t kFirstHarmless = 1'000'000;

  /// A target ends by itself.
  void CrashTarget(Millis at, int target);
  /// The node's links are down for a time: it hears and tells nothing, and its
  /// callers reach its own target only.
  void CutOff(Millis at, int node, Millis span);
  /// The node starts anew and knows nothing; those that hold requests tell it.
  void Restart(Millis at, int node);

  void RunUntil(Millis end);

  const FleetCounts& Harmless() const { return this->harmless; }
  const FleetCounts& Deadly() const { return this->deadly; }
  /// Times at which targets began to run each deadly request, in order.
  const std::vector<Millis>& RunsOf(std::uint64_t content) {
    return this->runs[content];
  }
  /// Of these, how many were more than `after` later than the third end.
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
