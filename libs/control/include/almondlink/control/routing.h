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
/// (the power of two choices: near the balance of full knowledge, without the
/// herd that all nodes picking the one best target would make). The draw is
/// from the own availability zone while that is no worse than `kZoneFactor`
/// times the best of two drawn elsewhere; crossing zones costs latency, staying
/// costs goodput when the own zone is full or gone.
namespace almondlink::control {

/// What an entry node knows of one target. Filled by first-hand outcomes and
/// by what the target's node says on its answers.
struct TargetView {
  bool is_own_zone = false;
  bool is_draining = false;
  /// Suspected or failed in membership: used only when nothing else is left.
  bool is_suspect = false;
  /// Already tried for this call.
  bool is_tried = false;
  std::uint32_t slots = 1;
  /// Calls of this node that are at the target.
  std::uint32_t in_flight = 0;
  /// Moving mean of whole-call latency.
  double latency = 0;
  /// Utilization told by the target, in thousandths.
  std::uint32_t utilization = 0;
  /// Pressure level told by the target, and when.
  std::uint32_t level = 0;
  Millis level_received_at;
  TargetHealth health;
};

/// The four random draws of one choice, each uniform in [0, 1).
struct RoutingDraws {
  double first_near = 0;
  double second_near = 0;
  double first_far = 0;
  double second_far = 0;
};

/// Why no target was chosen.
struct NoRoute {
  ErrorKind kind = ErrorKind::kNoTarget;
  /// Least pressure level among targets that refuse this rank.
  std::uint32_t level = 0;
};

/// An index into the views, or why there is none.
struct RouteChoice {
  std::optional<std::size_t> index;
  NoRoute no_route;
};

/// Chooses a target for a request of that rank. A target whose fresh level
/// refuses the rank is left out: the request would die there. Pure.
RouteChoice ChooseTarget(const std::vector<TargetView>& views,
                         Millis now,
                         ShedRank rank,
                         const RoutingDraws& draws);

/// Cost of sending one more call to a target; lower is better.
double CostOf(const TargetView& view);

/// The level that still counts at `now`, falling to 0 over kLevelLife.
std::uint32_t DecayedLevel(std::uint32_t level, Millis received_at, Millis now);

/// Takes a whole-call latency into the moving mean.
void RecordLatency(LatencyMs sample, TargetView& view);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_ROUTING_H_
