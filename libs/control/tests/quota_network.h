#ifndef ALMONDLINK_CONTROL_TESTS_QUOTA_NETWORK_H_
#define ALMONDLINK_CONTROL_TESTS_QUOTA_NETWORK_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <vector>

#include "almondlink/control/quota_lending.h"

/// Simulates nodes that enforce the quota of one account together, in virtual
/// time: every way of sharing a limit is driven by the same demand and the same
/// faults.
namespace almondlink::control {

/// Connectivity between the nodes.
struct QuotaWorld {
  std::size_t nodes = 30;
  QuotaRules rules;
  QuotaLimit limit;
  Millis now;
  /// By node: cut off from all others, suspended, or not running.
  std::vector<bool> is_cut;
  std::vector<bool> is_frozen;
  std::vector<bool> is_down;
  /// When `a` last received something from `b`, at index a * nodes + b; and
  /// when each node started.
  std::vector<Millis> last_heard;
  std::vector<Millis> started;

  bool IsAlive(std::size_t node) const {
    return !this->is_down[node] && !this->is_frozen[node];
  }
  bool CanTalk(std::size_t a, std::size_t b) const {
    return this->IsAlive(a) && this->IsAlive(b) &&
           (a == b || (!this->is_cut[a] && !this->is_cut[b]));
  }
  /// Whether `a` still considers `b` reachable.
  bool IsReachable(std::size_t a, std::size_t b) const {
    constexpr Millis kSuspect{800};
    return a == b ||
           this->now - this->last_heard[a * this->nodes + b] < kSuspect;
  }
};

/// A way of sharing a limit among nodes.
class QuotaScheme {
 public:
  virtual ~QuotaScheme() = default;
  /// A request arrives at a node. `answer` is called once with true if it is
  /// admitted before its wait ends.
  virtual void Request(std::size_t node, std::function<void(bool)> answer) = 0;
  virtual void Restart(std::size_t node) = 0;
  /// Called every millisecond.
  virtual void Step() = 0;
  /// Messages sent so far.
  std::uint64_t messages = 0;
};

/// Equal shares: each node has its share of the limit whatever its demand.
std::unique_ptr<QuotaScheme> MakeEqualShares(QuotaWorld& world);
/// Shares by demand: each node reports its demand every 300 ms, and all divide
/// the limit by the last reports. A node that is not heard from keeps its
/// share.
std::unique_ptr<QuotaScheme> MakeSharesByDemand(QuotaWorld& world);
/// One lender (quota_lending.h), as nodes use it.
std::unique_ptr<QuotaScheme> MakeLending(QuotaWorld& world, unsigned seed);

/// Result of a run.
struct QuotaOutcome {
  std::uint64_t asked = 0;
  std::uint64_t admitted = 0;
  /// The largest number admitted beyond the bound in any window; negative if
  /// within the bound.
  double max_excess = -1e9;
  std::uint64_t messages = 0;
};

/// Demand and faults as functions of time.
struct QuotaPlan {
  Millis length{30'000};
  /// Requests per second at a node.
  std::function<double(Millis, std::size_t)> demand;
  std::function<void(QuotaWorld&, QuotaScheme&)> inject_faults;
  /// The largest limit in force at a time; the bound is computed from it.
  std::function<QuotaLimit(Millis)> limit;
  /// Start of the counted period.
  Millis from{3000};
};

QuotaOutcome Drive(QuotaWorld& world,
                   QuotaScheme& scheme,
                   const QuotaPlan& plan,
                   unsigned seed);

/// A world of connected nodes.
QuotaWorld MakeWorld(std::size_t nodes, const QuotaLimit& limit);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_TESTS_QUOTA_NETWORK_H_
