#ifndef ALMONDLINK_CONTROL_PLACEMENT_H_
#define ALMONDLINK_CONTROL_PLACEMENT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "almondlink/base/clock.h"
#include "almondlink/control/target_health.h"

/// Choice of a target from the exact occupancy of its slots.
///
/// The node beside a target counts the running and queued requests and reports
/// them with every answer; an entry node adds the requests that it has sent
/// since. The cost of a target is the expected time of one more request there:
/// the mean work time, plus a wait that is negligible until nearly all slots
/// are taken and then grows with the queue. Light load thus goes to the fastest
/// targets, heavy load uses all slots, and a slow target gets only what the
/// others cannot take.
///
/// A target that fails some of its requests, but too few in a row to be ejected
/// as an outlier (see target_health.h), counts as slower, because its failures
/// cause retries or fail requests that may not be retried. In each availability
/// zone two targets are drawn at random and the cheaper one is taken.
///
/// Where the distribution of the request's run times is known (see
/// run_times.h), the cost also has the chance that the request does not end in
/// the time that it has left. Two drawn targets are not enough for a request
/// that is at risk at any target: a third of such requests would still run at
/// the slower half of four targets. They are compared at all targets of the
/// zone.
namespace almondlink::control {

/// State of one target as known by an entry node.
struct PlacementTarget {
  bool is_own_zone = false;
  /// Whether the target accepts new requests.
  bool is_open = false;
  /// Whether its rate limit is used up (see named_limit.h); it is not chosen.
  bool is_limited = false;
  /// Whether this request has been sent there before.
  bool is_tried = false;
  std::uint32_t slots = 1;
  /// Requests running and queued at the target by its last report, and those
  /// that this node has sent since.
  std::uint32_t reported_load = 0;
  std::uint32_t sent_since = 0;
  /// Mean time of a request at the target in milliseconds; 0 if unknown.
  double work_ms = 0;
  /// Speed relative to the mean target of the service; 0 if unknown.
  double speed = 0;
  /// Chance that this request does not end there in the time that it has left,
  /// see run_times.h; 0 if unknown.
  double late_chance = 0;
  TargetHealth health;
  /// Fraction of the target's answers that are failures of its own, see
  /// error_rate.h.
  double error_rate = 0;
};

/// Parameters of the choice.
struct PlacementRules {
  /// A target in another zone is used only if the expected time in the own zone
  /// is above `zone_factor` times the time there plus `zone_ms`: traffic
  /// between zones is charged.
  double zone_factor = 1.3;
  double zone_ms = 3;
  /// The own zone is used regardless while the expected time there is at most
  /// this many milliseconds: an answer well within the latency target gains
  /// nothing by being faster. Saves a third of the traffic between zones.
  double acceptable_ms = 0;
  /// Whether targets are compared by the expected time of a request; otherwise
  /// by load alone.
  bool is_time_based = true;
  /// Weight of failures: the expected time is multiplied by 1 +
  /// `failing_weight` times the fraction of failed requests. With 10, if two of
  /// three targets lose two fifths of their answers, a third of the failures
  /// remains.
  double failing_weight = 10;
  /// Milliseconds that are added to the expected time, times the part by which
  /// the target's error rate exceeds that of the others (see error_rate.h),
  /// because a failure costs the whole request. Ejecting such targets gives
  /// callers the same result, but leaves no target if several have errors.
  double error_penalty_ms = 0;
  /// Mean run time of such a request at a target of speed 1. It replaces the
  /// mean time over all requests of a target whose speed is known; 0 if
  /// unknown.
  double mean_run_ms = 0;
  /// Whether the request stays in its zone while a target with a free slot is
  /// there, whatever the times: which requests leave the zone has been decided
  /// for all of them (see zone_surplus.h). A request that is at risk in the
  /// zone may still leave it.
  bool keeps_zone = false;
  /// Milliseconds that are added to the expected time, times the chance that
  /// the request ends late there: the timeout, for which its caller waits in
  /// vain.
  double late_penalty_ms = 0;
};

/// Random numbers for one choice, each uniform in [0, 1).
struct PlacementDraws {
  double near_first = 0;
  double near_second = 0;
  double far_first = 0;
  double far_second = 0;
};

/// Expected time of one more request at the target, in milliseconds, without
/// the penalties for failures. `typical_ms` is the mean work time at the
/// service, used while that of the target is unknown.
double ExpectedTimeMs(const PlacementTarget& target, double typical_ms);

/// Chances to end late that differ by no more than this count as equal. It is
/// the chance from which on a request is compared at all targets of a zone.
constexpr double kMaxChanceGap = 0.005;

/// Returns the index in `targets` of the target to send to, or nothing if none
/// is usable. Pure.
std::optional<std::size_t> ChoosePlacementTarget(
    const PlacementRules& rules,
    const std::vector<PlacementTarget>& targets,
    Millis now,
    const PlacementDraws& draws);

/// Maximum time that a request waits for a target to be reported if its service
/// has none; 0 if it is to be refused at once.
///
/// Targets report themselves every second or two. Right after the start of a
/// node, or after all targets of a service were lost together with their nodes,
/// a report is therefore expected within `report_time`, counted from when the
/// service last had a target. `elapsed` is the time since then. After
/// `report_time` the request is not held any longer.
///
/// A root request waits no longer than half of `latency_target`, after which
/// its answer is of little use. A call further down the chain waits as long as
/// `time_left` until its deadline permits, since the work above it would be
/// lost.
Millis MaxWaitForTarget(Millis report_time,
                        Millis elapsed,
                        bool is_root,
                        Millis latency_target,
                        Millis time_left);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_PLACEMENT_H_
