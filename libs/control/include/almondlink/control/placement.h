#ifndef ALMONDLINK_CONTROL_PLACEMENT_H_
#define ALMONDLINK_CONTROL_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "almondlink/base/clock.h"
#include "almondlink/control/target_health.h"

/// Choice of a target whose slots are known exactly.
///
/// The node beside a target counts what it runs and what waits there, and tells
/// it with every answer; an entry node adds what it sent since. The cost of a
/// target is the time that a request would take there: its mean work, and a
/// wait that is near nothing until the slots are nearly all taken and then
/// grows with what waits. So light load goes to the fastest targets, heavy load
/// uses every slot, and a target that turned slow gets what the others cannot
/// take. Of each zone two targets are drawn and the cheaper one is taken.
namespace almondlink::control {

/// What an entry node knows of one target.
struct PlaceView {
  bool is_own_zone = false;
  /// Whether the target takes new work.
  bool is_open = false;
  /// Already tried for this request.
  bool is_tried = false;
  std::uint32_t slots = 1;
  /// Running and waiting there, as told, and sent by this node since.
  std::uint32_t told_load = 0;
  std::uint32_t sent_since = 0;
  /// Mean work of a request there; 0 if unknown.
  double work_ms = 0;
  TargetHealth health;
};

/// Draws of one choice, each uniform in [0, 1).
struct PlaceDraws {
  double near_first = 0;
  double near_second = 0;
  double far_first = 0;
  double far_second = 0;
};

/// Expected time of one more request there, in milliseconds. `typical_ms`: the
/// mean work at the service, for targets that are not known yet.
double PlaceCost(const PlaceView& view, double typical_ms);

/// Index of the target to send to; none if no target is open. Pure.
std::optional<std::size_t> ChoosePlace(const std::vector<PlaceView>& views,
                                       Millis now,
                                       const PlaceDraws& draws);

/// Longest that a request waits for a target to make itself known, when its
/// service has none. Targets report themselves every second or two, so right
/// after a node's start, or after all targets of a service were lost with their
/// nodes, one is expected; later none is, and the request is refused at once.
/// `without`: since when the service has no target. A root request waits no
/// longer than its value lasts; a call below it as long as it has time, since
/// the work above it would be lost.
Millis WaitForTarget(Millis without,
                     bool is_root,
                     Millis latency_target,
                     Millis left);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_PLACEMENT_H_
