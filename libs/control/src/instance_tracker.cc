#include "almondlink/control/instance_tracker.h"

#include <algorithm>

namespace almondlink::control {

namespace {

/// Incarnations remembered in addition to the current one.
constexpr std::size_t kMaxRemembered = 64;
/// An incarnation with an earlier start time replaces the current one after
/// this time without a report of the current one. That is two report intervals,
/// so that one late or lost report does not end a running instance.
constexpr Millis kSilenceUntilReplaced{3000};

/// Highest first sequence number of an instance that starts together with its
/// node: one report may be lost before the node's port is open.
constexpr std::uint64_t kMaxFirstSequence = 2;

/// Removes the oldest entries beyond the limit.
template <typename Entries>
void TrimToLimit(Entries& entries) {
  while (entries.size() > kMaxRemembered) {
    entries.erase(std::min_element(entries.begin(), entries.end(),
                                   [](const auto& a, const auto& b) {
                                     return a.second.order < b.second.order;
                                   }));
  }
}

/// The departure of the incarnation, which is entered if it is not known.
Departure& RecordDeparted(Millis now,
                          const InstanceIncarnation& incarnation,
                          InstanceTracker& tracker) {
  const auto known = tracker.departed.find(incarnation);
  if (known != tracker.departed.end()) {
    return known->second;
  }
  tracker.departed[incarnation] = Departure{now, false, tracker.next_order++};
  TrimToLimit(tracker.departed);
  return tracker.departed[incarnation];
}

/// Whether the incarnation of the report has left. A leave without a start time
/// that came before any report means the incarnation that reports next, unless
/// that has only started.
bool HasDeparted(const InstanceReport& report, InstanceTracker& tracker) {
  if (tracker.departed.count(report.incarnation) != 0) {
    return true;
  }
  const auto unresolved = tracker.departed.find({report.incarnation.id, 0});
  if (unresolved == tracker.departed.end() || IsFirstReport(report)) {
    return false;
  }
  tracker.departed[report.incarnation] = unresolved->second;
  tracker.departed.erase(unresolved);
  return true;
}

/// The drain time counts from when the leave was first known, also if other
/// instances reported meanwhile.
ReportEffect StartLeaving(Millis now, InstanceTracker& tracker) {
  const Departure& departure =
      RecordDeparted(now, tracker.current.incarnation, tracker);
  if (tracker.phase == InstancePhase::kLeaving) {
    return ReportEffect::kRefreshed;
  }
  tracker.phase = InstancePhase::kLeaving;
  tracker.leaving_since = departure.since;
  return ReportEffect::kChanged;
}

ReportEffect Replace(Millis now,
                     const InstanceReport& report,
                     InstanceTracker& tracker) {
  if (tracker.phase != InstancePhase::kNone) {
    tracker.superseded[tracker.current.incarnation] = {tracker.current.sequence,
                                                       tracker.next_order++};
    TrimToLimit(tracker.superseded);
  }
  tracker.current = report;
  tracker.first_sequence = report.sequence;
  tracker.phase = InstancePhase::kReady;
  tracker.last_report = now;
  tracker.skew_candidate = SkewCandidate();
  if (HasDeparted(report, tracker) || report.is_leaving) {
    StartLeaving(now, tracker);
  }
  return ReportEffect::kChanged;
}

ReportEffect Refresh(Millis now,
                     const InstanceReport& report,
                     InstanceTracker& tracker) {
  if (report.service != tracker.current.service) {
    return ReportEffect::kRefused;
  }
  if (report.sequence < tracker.current.sequence) {
    return ReportEffect::kIgnored;
  }
  const bool is_changed = tracker.current.capacity != report.capacity;
  const InstanceIncarnation incarnation = tracker.current.incarnation;
  tracker.current = report;
  tracker.current.incarnation = incarnation;
  tracker.last_report = now;
  if (report.is_leaving || tracker.departed.count(incarnation) != 0) {
    return StartLeaving(now, tracker);
  }
  return is_changed ? ReportEffect::kChanged : ReportEffect::kRefreshed;
}

/// Whether an incarnation that seems earlier, or was replaced, has kept
/// reporting long enough while the current one was silent. Then its clock was
/// set back and it is the running one.
bool IsConfirmedAlive(Millis now,
                      const InstanceReport& report,
                      InstanceTracker& tracker) {
  SkewCandidate& candidate = tracker.skew_candidate;
  const bool is_first = candidate.incarnation != report.incarnation ||
                        tracker.last_report >= candidate.first_report ||
                        report.sequence <= candidate.last_sequence;
  if (is_first) {
    candidate = SkewCandidate{report.incarnation, now, report.sequence};
    return false;
  }
  candidate.last_sequence = report.sequence;
  return now - candidate.first_report >= kSilenceUntilReplaced;
}

/// Whether the report is a late one of an incarnation that was replaced.
bool IsStale(const InstanceReport& report, const InstanceTracker& tracker) {
  const auto known = tracker.superseded.find(report.incarnation);
  if (known != tracker.superseded.end() &&
      report.sequence <= known->second.sequence) {
    return true;
  }
  // A later incarnation of the same id has reported before.
  const auto next = tracker.superseded.upper_bound(report.incarnation);
  return report.incarnation.started_at != 0 &&
         next != tracker.superseded.end() &&
         next->first.id == report.incarnation.id;
}

}  // namespace

const char* ToString(InstancePhase phase) {
  switch (phase) {
    case InstancePhase::kReady:
      return "ready";
    case InstancePhase::kLeaving:
      return "leaving";
    default:
      return "none";
  }
}

ReportEffect ApplyReport(Millis now,
                         const InstanceReport& report,
                         InstanceTracker& tracker) {
  const bool has_current = tracker.phase != InstancePhase::kNone;
  const InstanceIncarnation& current = tracker.current.incarnation;
  const bool is_same_id = has_current && current.id == report.incarnation.id;
  if (is_same_id && (report.incarnation.started_at == current.started_at ||
                     report.incarnation.started_at == 0)) {
    return Refresh(now, report, tracker);
  }
  if (report.is_leaving) {
    RecordDeparted(now, report.incarnation, tracker);
  }
  if (is_same_id) {
    const bool is_later = report.incarnation.started_at > current.started_at &&
                          tracker.superseded.count(report.incarnation) == 0;
    return is_later || IsConfirmedAlive(now, report, tracker)
               ? Replace(now, report, tracker)
               : ReportEffect::kIgnored;
  }
  // A leaving incarnation does not replace a running instance.
  const bool is_other_living =
      tracker.phase == InstancePhase::kReady && HasDeparted(report, tracker);
  // An instance that started before the current one, seen late because this
  // node restarted: the current one is still running.
  const bool is_outlived = has_current && report.incarnation.started_at != 0 &&
                           report.incarnation.started_at < current.started_at &&
                           now - tracker.last_report < kSilenceUntilReplaced;
  if (is_other_living || is_outlived || IsStale(report, tracker)) {
    return ReportEffect::kIgnored;
  }
  return Replace(now, report, tracker);
}

ReportEffect ApplyLeave(Millis now,
                        const InstanceIncarnation& incarnation,
                        InstanceTracker& tracker) {
  const InstanceIncarnation meant = ResolveIncarnation(incarnation, tracker);
  RecordDeparted(now, meant, tracker);
  const InstanceIncarnation& current = tracker.current.incarnation;
  // If a later incarnation leaves, the one known here has ended as well.
  const bool has_ended = tracker.phase != InstancePhase::kNone &&
                         current.id == meant.id &&
                         meant.started_at >= current.started_at;
  return has_ended ? StartLeaving(now, tracker) : ReportEffect::kIgnored;
}

ReportEffect RestoreDeparted(Millis now,
                             const InstanceIncarnation& incarnation,
                             InstanceTracker& tracker) {
  const InstanceIncarnation meant = ResolveIncarnation(incarnation, tracker);
  if (tracker.departed.count(meant) == 0) {
    RecordDeparted(now, meant, tracker).is_restored = true;
  }
  return ApplyLeave(now, meant, tracker);
}

InstanceIncarnation ResolveIncarnation(const InstanceIncarnation& incarnation,
                                       const InstanceTracker& tracker) {
  const InstanceIncarnation& current = tracker.current.incarnation;
  const bool is_current = incarnation.started_at == 0 &&
                          tracker.phase != InstancePhase::kNone &&
                          current.id == incarnation.id;
  return is_current ? current : incarnation;
}

bool IsFirstReport(const InstanceReport& report) {
  return report.sequence <= kMaxFirstSequence;
}

bool HasDrained(Millis now, Millis drain_time, const InstanceTracker& tracker) {
  if (tracker.phase != InstancePhase::kLeaving) {
    return false;
  }
  const auto departure = tracker.departed.find(tracker.current.incarnation);
  const bool is_restored =
      departure != tracker.departed.end() && departure->second.is_restored;
  return is_restored || now - tracker.leaving_since > drain_time;
}

bool MayBeOlderThanNode(const InstanceTracker& tracker) {
  return tracker.phase == InstancePhase::kNone ||
         tracker.first_sequence > kMaxFirstSequence;
}

std::uint32_t UsableSlots(const InstanceTracker& tracker) {
  if (tracker.phase == InstancePhase::kNone) {
    return 0;
  }
  const double used = tracker.current.capacity * tracker.usable_share;
  return std::max(1U, static_cast<std::uint32_t>(used));
}

}  // namespace almondlink::control
