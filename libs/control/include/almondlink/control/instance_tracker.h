#ifndef ALMONDLINK_CONTROL_INSTANCE_TRACKER_H_
#define ALMONDLINK_CONTROL_INSTANCE_TRACKER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "almondlink/base/clock.h"

/// Which instance runs beside a node, and whether it takes new work.
///
/// The instance reports itself to the node beside it. Reports can be late: one
/// of an instance that has ended can arrive when its successor has reported
/// already. A start of an instance that was once known to leave stays leaving
/// for good, whatever a late report says; peers remember that for a node that
/// restarts.
///
/// An instance may start again under its id. The time of its start tells the
/// starts apart: a later one begins with nothing of before, and what an earlier
/// one still says changes nothing. Clocks can go back between two starts, so
/// that the living one seems the earlier: it is believed once it has gone on
/// reporting while nothing came from the other.
namespace almondlink::control {

enum class InstancePhase { kNone, kReady, kLeaving };

/// One start of an instance.
struct InstanceIncarnation {
  std::string id;
  /// Wall-clock time of the start in milliseconds; 0 if it was not told.
  std::uint64_t started_at = 0;
};

inline bool operator==(const InstanceIncarnation& a,
                       const InstanceIncarnation& b) {
  return a.id == b.id && a.started_at == b.started_at;
}
inline bool operator!=(const InstanceIncarnation& a,
                       const InstanceIncarnation& b) {
  return !(a == b);
}
inline bool operator<(const InstanceIncarnation& a,
                      const InstanceIncarnation& b) {
  return a.id != b.id ? a.id < b.id : a.started_at < b.started_at;
}

/// What an instance says of itself.
struct InstanceReport {
  InstanceIncarnation incarnation;
  std::string service;
  std::uint32_t capacity = 0;
  bool is_leaving = false;
  /// Time for which it will still be slow after its start.
  Millis warmup_left;
  /// Grows with every report of one start.
  std::uint64_t sequence = 0;
};

/// Reports of a start that seems earlier than the current one.
struct SkewCandidate {
  InstanceIncarnation incarnation;
  /// When the first of its reports came since the current start was last heard.
  Millis first_report;
  std::uint64_t last_sequence = 0;
};

/// State of one node's ledger. Plain data; one thread at a time.
struct InstanceTracker {
  InstancePhase phase = InstancePhase::kNone;
  InstanceReport current;
  /// Number of the first report of it that came here.
  std::uint64_t first_sequence = 0;
  /// When the current instance was first known to leave.
  Millis leaving_since;
  Millis last_report;
  /// Highest sequence seen of starts that are not the current one.
  std::map<InstanceIncarnation, std::uint64_t> superseded;
  /// Starts that are known to leave or to be gone.
  std::set<InstanceIncarnation> departed;
  SkewCandidate skew_candidate;
  /// Part of the announced slots that is used. Targets slow down when nearly
  /// full (a third slower above 95 % where it was seen), and a new connection
  /// may hold a slot for a moment.
  double usable_share = 0.94;
};

enum class ReportEffect {
  kIgnored,
  kRefreshed,
  kChanged,
  /// The report contradicts what a start cannot change; nothing was taken.
  kRefused,
};

/// Takes one report. One without the time of its start counts as of the start
/// that is current under its id.
ReportEffect ApplyReport(Millis now,
                         const InstanceReport& report,
                         InstanceTracker& tracker);

/// The instance says that it leaves, without a report. Without the time of its
/// start it means the start that is current under its id.
ReportEffect ApplyLeave(Millis now,
                        const InstanceIncarnation& incarnation,
                        InstanceTracker& tracker);

/// A peer remembers that this start was leaving.
ReportEffect RestoreDeparted(Millis now,
                             const InstanceIncarnation& incarnation,
                             InstanceTracker& tracker);

/// Whether the current instance may have run requests before this node started:
/// none has reported yet, or one that had reported to somebody before.
bool MayBeOlderThanNode(const InstanceTracker& tracker);

/// Slots of the current instance that may be in use: a little below what it
/// announces, since its last ones slow all others down.
std::uint32_t UsableSlots(const InstanceTracker& tracker);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_INSTANCE_TRACKER_H_
