#ifndef ALMONDLINK_CONTROL_ROUTING_H_
#define ALMONDLINK_CONTROL_ROUTING_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "almondlink/base/clock.h"
#include "almondlink/base/error.h"
#include "almondlink/control/shed_rank.h"
#include "almondlink/control/target_health.h"

/// Choice of the target for one attempt.
///
/// Two targets are drawn at random and the one with the lower cost is taken
/// (power of two choices). This balances nearly as well as full knowledge,
/// without all nodes sending to the same best target at once. A target in the
/// own availability zone is preferred unless its cost exceeds `kZoneFactor`
/// times that of the better of two drawn from the other zones: leaving the zone
/// costs latency, and staying costs goodput when the zone is full or has
/// failed.
namespace almondlink::control {

/// State of one target as known by an entry node, from the outcomes of its own
/// calls and from the reports that the target's node sends with its answers.
struct TargetView {
  bool is_own_zone = false;
  bool is_draining = false;
  /// Suspected or failed in the membership; used only when no other target is
  /// left.
  bool is_suspect = false;
  /// Whether this call has been sent there before.
  bool is_tried = false;
  std::uint32_t slots = 1;
  /// Calls of this node in flight at the target.
  std::uint32_t in_flight = 0;
  /// Moving average of the latency of calls in milliseconds, from sending to
  /// the answer; 0 if unknown.
  double latency = 0;
  /// Utilization reported by the target's node, in thousandths.
  std::uint32_t utilization = 0;
  /// Pressure level reported by the target's node, and when it was received.
  std::uint32_t level = 0;
  Millis level_received_at;
  TargetHealth health;
};

/// Random numbers for one choice, each uniform in [0, 1).
struct RoutingDraws {
  double first_near = 0;
  double second_near = 0;
  double first_far = 0;
  double second_far = 0;
};

/// Reason why no target was chosen.
struct NoRoute {
  ErrorKind kind = ErrorKind::kNoTarget;
  /// Lowest pressure level among the targets that shed this rank.
  std::uint32_t level = 0;
};

/// Index of the chosen target in the views; if there is none, the reason in
/// `no_route`.
struct RouteChoice {
  std::optional<std::size_t> index;
  NoRoute no_route;
};

/// Chooses a target for a request of this rank. Targets whose current pressure
/// level sheds the rank are left out. Pure.
RouteChoice ChooseTarget(const std::vector<TargetView>& views,
                         Millis now,
                         ShedRank rank,
                         const RoutingDraws& draws);

/// Relative cost of sending one more call to a target; lower is better.
double CostOf(const TargetView& view);

/// Value of a level received at `received_at`, decayed linearly to 0 over
/// kLevelLifetime.
std::uint32_t DecayedLevel(std::uint32_t level, Millis received_at, Millis now);

/// Adds the latency of a call to the moving average.
void RecordLatency(LatencyMs sample, TargetView& view);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_ROUTING_H_
