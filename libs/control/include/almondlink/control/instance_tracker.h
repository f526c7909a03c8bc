#ifndef ALMONDLINK_CONTROL_INSTANCE_TRACKER_H_
#define ALMONDLINK_CONTROL_INSTANCE_TRACKER_H_

#include <cstdint>
#include <map>
#include <string>

#include "almondlink/base/clock.h"

/// Tracks which instance runs beside a node and whether it accepts work.
///
/// The instance reports itself to the node beside it. Reports can be late: a
/// report of an instance that has ended can arrive after its successor's first
/// report. An incarnation that was once known to be leaving stays leaving,
/// whatever a late report says; peers keep that fact for a node that restarts.
///
/// An instance may restart under the same id. Its start time tells the
/// incarnations apart: a later one starts without any state of an earlier one,
/// and reports of an earlier one have no effect. If the clock is set back
/// between two starts, the running incarnation seems to be the earlier one. It
/// is accepted once it has kept reporting for a while in which the other one
/// was silent.
namespace almondlink::control {

/// State of the instance beside the node; kNone: none has reported.
enum class InstancePhase { kNone, kReady, kLeaving };

/// The name of the phase for logs.
const char* ToString(InstancePhase phase);

/// One incarnation of an instance.
struct InstanceIncarnation {
  std::string id;
  /// Wall-clock start time in milliseconds; 0 if it was not reported.
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

/// What an instance reports about itself.
struct InstanceReport {
  InstanceIncarnation incarnation;
  std::string service;
  std::uint32_t capacity = 0;
  bool is_leaving = false;
  /// Remaining time in which the instance is slow after its start.
  Millis warmup_left;
  /// Increases with every report of one incarnation.
  std::uint64_t sequence = 0;
};

/// An incarnation whose start time is earlier than the current one's, but which
/// may be the running one because the clock was set back.
struct SkewCandidate {
  InstanceIncarnation incarnation;
  /// When its first report arrived since the last report of the current
  /// incarnation.
  Millis first_report;
  std::uint64_t last_sequence = 0;
};

/// An incarnation that is known to be leaving or gone.
struct Departure {
  /// When this node first knew of it.
  Millis since;
  /// This node knows of it only from before its own start, so for how long it
  /// has been leaving is not known.
  bool is_restored = false;
  /// Increases with every departure, so that the oldest one can be told.
  std::uint64_t order = 0;
};

/// The last report of an incarnation that was replaced.
struct SupersededReport {
  std::uint64_t sequence = 0;
  std::uint64_t order = 0;
};

/// State of one node. Plain data; one thread at a time.
struct InstanceTracker {
  InstancePhase phase = InstancePhase::kNone;
  InstanceReport current;
  /// Sequence number of the current incarnation's first report to this node.
  std::uint64_t first_sequence = 0;
  /// When the current instance was first known to be leaving.
  Millis leaving_since;
  Millis last_report;
  /// Last reports of incarnations that were replaced.
  std::map<InstanceIncarnation, SupersededReport> superseded;
  /// Incarnations that are known to be leaving or gone. A leave without a start
  /// time of an instance that has not reported is kept with start time 0, until
  /// a report tells the incarnation that it meant.
  std::map<InstanceIncarnation, Departure> departed;
  /// Increases with every entry of the two.
  std::uint64_t next_order = 1;
  SkewCandidate skew_candidate;
  /// Share of the reported capacity that is used. Targets slow down when nearly
  /// full (by a third above 95 %), and a new connection may hold a slot
  /// briefly.
  double usable_share = 0.94;
};

/// What a report changed.
enum class ReportEffect {
  kIgnored,
  kRefreshed,
  kChanged,
  /// The report contradicts a property that is fixed for an incarnation; it was
  /// discarded.
  kRefused,
};

/// Applies one report. A report without a start time counts for the current
/// incarnation of its id.
ReportEffect ApplyReport(Millis now,
                         const InstanceReport& report,
                         InstanceTracker& tracker);

/// The instance announced, outside a report, that it is leaving. Without a
/// start time the current incarnation of its id is meant.
ReportEffect ApplyLeave(Millis now,
                        const InstanceIncarnation& incarnation,
                        InstanceTracker& tracker);

/// A peer or the store tells that this incarnation was leaving, possibly before
/// this node started.
ReportEffect RestoreDeparted(Millis now,
                             const InstanceIncarnation& incarnation,
                             InstanceTracker& tracker);

/// Whether the current instance has been leaving for more than `drain_time`, or
/// since a time that this node does not know.
bool HasDrained(Millis now, Millis drain_time, const InstanceTracker& tracker);

/// The incarnation that a leave or a report means: without a start time, the
/// current one of its id.
InstanceIncarnation ResolveIncarnation(const InstanceIncarnation& incarnation,
                                       const InstanceTracker& tracker);

/// Whether a report is one of the first of its incarnation, which cannot have
/// left before.
bool IsFirstReport(const InstanceReport& report);

/// Whether the current instance may have run requests before this node started:
/// no instance has reported yet, or the current one had sent reports before its
/// first one here.
bool MayBeOlderThanNode(const InstanceTracker& tracker);

/// Slots of the current instance that may be used: slightly fewer than it
/// reports, since a target slows down when it is nearly full.
std::uint32_t UsableSlots(const InstanceTracker& tracker);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_INSTANCE_TRACKER_H_
