#ifndef ALMONDLINK_LIBS_CONTROL_TESTS_BLAME_FLEET_H_
#define ALMONDLINK_LIBS_CONTROL_TESTS_BLAME_FLEET_H_

#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <vector>

#include "almondlink/control/blame.h"
#include "almondlink/control/trial_book.h"

/// Nodes and the targets of one service in virtual time, with requests that end
/// targets, and ends that no request is to blame for. News between nodes takes
/// its time; nodes decide as entry nodes do.
namespace almondlink::control::test {

struct FleetSpec {
  int nodes = 14;
  /// The first so many nodes have a target of the service.
  int targets = 4;
  /// Time from node to node.
  Millis hop{2};
  /// A run takes this long; a deadly one ends its target after as much.
  Millis work{90};
  /// A target that ended is back after this.
  Millis back{3000};
  /// Targets that one attempt of a caller may be sent to.
  int attempts = 2;
  /// A request waits so long for a trial.
  Millis patience{600};
  std::uint32_t seed = 1;
};

/// What became of the requests that callers sent.
struct FleetCounts {
  int sent = 0;
  int whole = 0;
  /// Not sent on because targets ended under the same request.
  int refused = 0;
  int lost = 0;
  /// No target was there.
  int turned_away = 0;
};

class BlameFleet {
 public:
  explicit BlameFleet(const FleetSpec& spec);

  /// A caller sends a request at a node, at a time. Contents below
  /// kFirstInnocent end the targets that run them.
  void Send(Millis at, int node, std::uint64_t content);
  static constexpr std::uint64_t kFirstInnocent = 1'000'000;

  /// A target ends by itself.
  void EndTarget(Millis at, int target);
  /// The node's links are down for a time: it hears and tells nothing, and its
  /// callers reach its own target only.
  void CutOff(Millis at, int node, Millis span);
  /// The node starts anew and knows nothing; those that hold requests tell it.
  void Restart(Millis at, int node);

  void RunUntil(Millis end);

  const FleetCounts& Innocent() const { return this->innocent; }
  const FleetCounts& Deadly() const { return this->deadly; }
  /// Times at which targets began to run each deadly request, in order.
  const std::vector<Millis>& RunsOf(std::uint64_t content) {
    return this->runs[content];
  }
  /// Of these, how many were more than `after` later than the third end.
  int LateRuns(std::uint64_t content, Millis after);
  int Ends() const { return this->ends; }

 private:
  struct Node {
    BlameTable table;
    TrialBook book;
    bool is_cut = false;
    int start = 0;
  };
  struct Target {
    bool is_up = true;
    std::uint64_t start = 0;
    std::set<int> jobs;
  };
  struct Job {
    std::uint64_t content = 0;
    int node = 0;
    int target = -1;
    int attempts = 0;
    bool is_on_trial = false;
    Millis held_until;
  };

  void At(Millis at, std::function<void()> what);
  void Between(int from, int to, const std::function<void()>& what);
  void Attempt(int id);
  void Ask(int id);
  void Dispatch(int id, int target);
  void EndNow(int target);
  void OnWhole(int id);
  void OnTargetEnd(int id, std::uint64_t start);
  void EndTrial(Job& job);
  void Tell(int node, std::uint64_t content);
  int Keeper(int node) const;
  int ChooseTarget(int node, int except);
  FleetCounts& CountsOf(std::uint64_t content);
  RequestDigest DigestOf(std::uint64_t content) const {
    return {content, content, content};
  }

  FleetSpec spec;
  BlameRules rules;
  Millis now;
  std::mt19937 random;
  std::multimap<std::int64_t, std::function<void()>> events;
  std::vector<Node> nodes;
  std::vector<Target> targets;
  std::map<int, Job> jobs;
  int last_job = 0;
  std::uint64_t last_start = 0;
  int ends = 0;
  FleetCounts innocent;
  FleetCounts deadly;
  std::map<std::uint64_t, std::vector<Millis>> runs;
};

}  // namespace almondlink::control::test

#endif  // ALMONDLINK_LIBS_CONTROL_TESTS_BLAME_FLEET_H_
