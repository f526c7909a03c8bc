#include "almondlink/control/instance_ledger.h"

#include <algorithm>

namespace almondlink::control {

namespace {

/// Starts remembered beside the current one.
constexpr std::size_t kMostRemembered = 64;
/// A start that seems earlier by its clock is believed after so long without a
/// word of the current one: two reports of the deployments known, so that one
/// that is late or lost does not end a living instance.
constexpr Millis kDoubted{3000};

/// The first reports of an instance whose node starts with it: one may be lost
/// while the node's port is not open yet.
constexpr std::uint64_t kFirstReports = 2;

template <typename Entries>
void Bound(Entries& entries) {
  while (entries.size() > kMostRemembered) {
    entries.erase(entries.begin());
  }
}

void NoteLeft(const InstanceStart& start, InstanceLedger& ledger) {
  ledger.left.insert(start);
  Bound(ledger.left);
}

ReportEffect StartLeaving(Millis now, InstanceLedger& ledger) {
  NoteLeft(ledger.current.start, ledger);
  if (ledger.phase == InstancePhase::kLeaving) {
    return ReportEffect::kRefreshed;
  }
  ledger.phase = InstancePhase::kLeaving;
  ledger.leaving_since = now;
  return ReportEffect::kChanged;
}

ReportEffect Replace(Millis now,
                     const InstanceReport& report,
                     InstanceLedger& ledger) {
  if (ledger.phase != InstancePhase::kNone) {
    ledger.earlier[ledger.current.start] = ledger.current.sequence;
    Bound(ledger.earlier);
  }
  ledger.current = report;
  ledger.first_sequence = report.sequence;
  ledger.phase = InstancePhase::kReady;
  ledger.reported = now;
  ledger.doubted = SeeminglyEarlier();
  if (report.is_leaving || ledger.left.count(report.start) != 0) {
    StartLeaving(now, ledger);
  }
  return ReportEffect::kChanged;
}

ReportEffect Refresh(Millis now,
                     const InstanceReport& report,
                     InstanceLedger& ledger) {
  if (report.service != ledger.current.service) {
    return ReportEffect::kRefused;
  }
  if (report.sequence < ledger.current.sequence) {
    return ReportEffect::kIgnored;
  }
  const bool is_changed = ledger.current.capacity != report.capacity;
  const InstanceStart start = ledger.current.start;
  ledger.current = report;
  ledger.current.start = start;
  ledger.reported = now;
  if (report.is_leaving || ledger.left.count(start) != 0) {
    return StartLeaving(now, ledger);
  }
  return is_changed ? ReportEffect::kChanged : ReportEffect::kRefreshed;
}

/// Whether a start that seems earlier, or was replaced, has reported for long
/// enough with nothing from the current one: then its clock went back, and it
/// is the living one.
bool IsProvenLiving(Millis now,
                    const InstanceReport& report,
                    InstanceLedger& ledger) {
  SeeminglyEarlier& doubted = ledger.doubted;
  const bool is_first = doubted.start != report.start ||
                        ledger.reported >= doubted.since ||
                        report.sequence <= doubted.sequence;
  if (is_first) {
    doubted = SeeminglyEarlier{report.start, now, report.sequence};
    return false;
  }
  doubted.sequence = report.sequence;
  return now - doubted.since >= kDoubted;
}

/// Whether the report is a late one of a start that the current one followed.
bool IsLate(const InstanceReport& report, const InstanceLedger& ledger) {
  const auto known = ledger.earlier.find(report.start);
  if (known != ledger.earlier.end() && report.sequence <= known->second) {
    return true;
  }
  // A later start under the same id has been here.
  const auto next = ledger.earlier.upper_bound(report.start);
  return report.start.born != 0 && next != ledger.earlier.end() &&
         next->first.id == report.start.id;
}

}  // namespace

ReportEffect TakeReport(Millis now,
                        const InstanceReport& report,
                        InstanceLedger& ledger) {
  const bool has_current = ledger.phase != InstancePhase::kNone;
  const InstanceStart& current = ledger.current.start;
  const bool is_same_id = has_current && current.id == report.start.id;
  if (is_same_id &&
      (report.start.born == current.born || report.start.born == 0)) {
    return Refresh(now, report, ledger);
  }
  if (report.is_leaving) {
    NoteLeft(report.start, ledger);
  }
  if (is_same_id) {
    const bool is_later = report.start.born > current.born &&
                          ledger.earlier.count(report.start) == 0;
    return is_later || IsProvenLiving(now, report, ledger)
               ? Replace(now, report, ledger)
               : ReportEffect::kIgnored;
  }
  // One that leaves has nothing to take over from a living one.
  const bool is_other_living = ledger.left.count(report.start) != 0 &&
                               ledger.phase == InstancePhase::kReady;
  // Seen late after this node started anew: the current one began after it and
  // is still there.
  const bool is_outlived = has_current && report.start.born != 0 &&
                           report.start.born < current.born &&
                           now - ledger.reported < kDoubted;
  if (is_other_living || is_outlived || IsLate(report, ledger)) {
    return ReportEffect::kIgnored;
  }
  return Replace(now, report, ledger);
}

ReportEffect TakeLeave(Millis now,
                       const InstanceStart& start,
                       InstanceLedger& ledger) {
  const InstanceStart& current = ledger.current.start;
  const bool is_current_id =
      ledger.phase != InstancePhase::kNone && current.id == start.id;
  NoteLeft(start, ledger);
  // A later start that leaves means that the one known here is gone as well.
  const bool is_meant = start.born == 0 || start.born >= current.born;
  return is_current_id && is_meant ? StartLeaving(now, ledger)
                                   : ReportEffect::kIgnored;
}

ReportEffect RememberLeft(Millis now,
                          const InstanceStart& start,
                          InstanceLedger& ledger) {
  return TakeLeave(now, start, ledger);
}

bool MayBeOlderThanNode(const InstanceLedger& ledger) {
  return ledger.phase == InstancePhase::kNone ||
         ledger.first_sequence > kFirstReports;
}

std::uint32_t UsableSlots(const InstanceLedger& ledger) {
  if (ledger.phase == InstancePhase::kNone) {
    return 0;
  }
  const double used = ledger.current.capacity * ledger.usable_part;
  return std::max(1U, static_cast<std::uint32_t>(used));
}

}  // namespace almondlink::control
