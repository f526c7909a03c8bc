#ifndef ALMONDLINK_CONTROL_USABLE_SLOTS_H_
#define ALMONDLINK_CONTROL_USABLE_SLOTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>

#include "almondlink/base/clock.h"

/// Learns which part of its announced slots a target can use without becoming
/// slower.
///
/// Run times are compared within the target: those while it is nearly full with
/// those at about 0.85 of its limit, for the same classes of requests. Other
/// targets are no reference, since all of a service are full at the same time.
namespace almondlink::control {

/// Occupancy is told apart in steps of this part of the announced slots.
constexpr std::size_t kOccupancyBins = 20;

/// Runs of a class at one occupancy.
struct OccupiedRuns {
  double runs = 0;
  double time_ms = 0;
};

/// Not thread safe.
struct UsableSlotsMeter {
  /// Part of the announced slots that is used.
  double share = 0.94;
  /// Runs by class and occupancy, at any time.
  std::map<std::uint32_t, std::array<OccupiedRuns, kOccupancyBins>> seen;
  /// Runs by class while the target was nearly full, since the last change.
  std::map<std::uint32_t, OccupiedRuns> full;
  Millis changed_at;
  Millis fell_at;
  Millis decayed_at;
};

/// Discards what was learned, for a new instance or a changed setting.
void ResetUsableSlots(double share, UsableSlotsMeter& meter);

/// Adds a completed run. `occupancy`: mean part of the announced slots that
/// were taken while it ran.
void RecordOccupiedRun(std::uint32_t route,
                       double occupancy,
                       LatencyMs work,
                       UsableSlotsMeter& meter);

/// Adapts the share, at most once a second and by at least 0.02, since each
/// change is announced to all nodes. Returns whether it changed.
bool UpdateUsableSlots(Millis now, UsableSlotsMeter& meter);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_USABLE_SLOTS_H_
