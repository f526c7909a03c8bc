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
/// take. A target that fails part of its requests, too few in a row to be set
/// aside, counts as slower: its failures take repeats, or requests that may run
/// once. Of each zone two targets are drawn and the cheaper one is taken.
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
  /// Part of its answers that are failures of its own, see error_rate.h.
  double erring = 0;
};

/// Constants of the choice.
struct PlaceRules {
  /// Another zone is used where the own one would take so many times as long,
  /// and so much longer: bytes between zones are paid for.
  double zone_factor = 1.3;
  double zone_ms = 3;
  /// The own zone is used in any case while a request takes no longer there: an
  /// answer well within its latency target is worth no more for being faster.
  /// It takes a third off the bytes between zones.
  double patience_ms = 0;
  /// By the expected time of a request; otherwise by the load alone.
  bool is_by_time = true;
  /// A target that fails each request counts as so many times slower. Where two
  /// of three targets lose two fifths of their answers, a third of the failures
  /// is left.
  double failing_weight = 10;
  /// A request at a target counts as so many milliseconds longer, times the
  /// part by which its errors stand out from the others' (error_rate.h): a
  /// failure costs the whole request. Setting such targets aside was as good
  /// for callers, but leaves nothing where several err in part.
  double error_ms = 0;
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
std::optional<std::size_t> ChoosePlace(const PlaceRules& rules,
                                       const std::vector<PlaceView>& views,
                                       Millis now,
                                       const PlaceDraws& draws);

/// Longest that a request waits for a target to make itself known, when its
/// service has none. Targets report themselves every second or two, so right
/// after a node's start, or after all targets of a service were lost with their
/// nodes, one is expected; later none is, and the request is refused at once.
/// `expected`: since its service last had a target, so long until the next;
/// `without`: since when the service has none. A root request waits no longer
/// than its value lasts; a call below it as long as it has time, since the work
/// above it would be lost.
Millis WaitForTarget(Millis expected,
                     Millis without,
                     bool is_root,
                     Millis latency_target,
                     Millis left);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_PLACEMENT_H_
