#ifndef ALMONDLINK_CONTROL_TESTS_QUOTA_NETWORK_H_
#define ALMONDLINK_CONTROL_TESTS_QUOTA_NETWORK_H_

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <vector>

#include "almondlink/control/quota_lending.h"

/// Nodes that keep the quota of one account together, in virtual time, for
/// tests: each way of sharing a limit is driven by the same demand and the same
/// troubles.
namespace almondlink::control {

/// What nodes see of each other.
struct QuotaWorld {
  std::size_t nodes = 30;
  QuotaRules rules;
  QuotaLimit limit;
  Millis now;
  /// By node: cut off from all others, standing still, or not running.
  std::vector<bool> is_cut;
  std::vector<bool> is_frozen;
  std::vector<bool> is_down;
  /// When `a` heard of `b` last, index a * nodes + b; and when each started.
  std::vector<Millis> last_heard;
  std::vector<Millis> started;

  bool IsAlive(std::size_t node) const {
    return !this->is_down[node] && !this->is_frozen[node];
  }
  bool CanTalk(std::size_t a, std::size_t b) const {
    return this->IsAlive(a) && this->IsAlive(b) &&
           (a == b || (!this->is_cut[a] && !this->is_cut[b]));
  }
  /// Whether `a` still takes `b` for reachable.
  bool IsReachable(std::size_t a, std::size_t b) const {
    constexpr Millis kSuspect{800};
    return a == b ||
           this->now - this->last_heard[a * this->nodes + b] < kSuspect;
  }
};

/// A way of sharing a limit over nodes.
class QuotaScheme {
 public:
  virtual ~QuotaScheme() = default;
  /// A request comes to a node; true if it is let in within its patience,
  /// `answer` is called once with the decision.
  virtual void Request(std::size_t node, std::function<void(bool)> answer) = 0;
  virtual void Restart(std::size_t node) = 0;
  /// Each millisecond.
  virtual void Step() = 0;
  /// Messages sent so far.
  std::uint64_t messages = 0;
};

/// Equal parts: each node has its part of the limit whatever is asked of it.
std::unique_ptr<QuotaScheme> MakeEqualShares(QuotaWorld& world);
/// Parts by demand: each node tells its demand every 300 ms; all divide the
/// limit by what they were told last. Who is not heard of keeps its part.
std::unique_ptr<QuotaScheme> MakeSharesByDemand(QuotaWorld& world);
/// One lender (quota_lending.h), as nodes use it.
std::unique_ptr<QuotaScheme> MakeLending(QuotaWorld& world, unsigned seed);

/// What came of a run.
struct QuotaOutcome {
  std::uint64_t asked = 0;
  std::uint64_t admitted = 0;
  /// Most that was let in beyond the bound in any window; below 0 within it.
  double max_excess = -1e9;
  std::uint64_t messages = 0;
};

/// Demand and trouble as a function of time.
struct QuotaPlan {
  Millis length{30'000};
  /// Requests per second at a node.
  std::function<double(Millis, std::size_t)> demand;
  std::function<void(QuotaWorld&, QuotaScheme&)> inject_faults;
  /// The largest limit that is in force at a time; the bound goes by it.
  std::function<QuotaLimit(Millis)> limit;
  /// Counted from here on.
  Millis from{3000};
};

QuotaOutcome Drive(QuotaWorld& world,
                   QuotaScheme& scheme,
                   const QuotaPlan& plan,
                   unsigned seed);

/// A world of so many nodes that all see each other.
QuotaWorld MakeWorld(std::size_t nodes, const QuotaLimit& limit);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_TESTS_QUOTA_NETWORK_H_
