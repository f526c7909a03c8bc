#include "almondlink/control/instance_ledger.h"

#include <algorithm>

namespace almondlink::control {

namespace {

/// Part of the announced slots that is used. Targets slow down when nearly full
/// (a third slower above 95 % on the deployments known), and a new connection
/// may hold a slot for a moment.
constexpr double kUsedPart = 0.94;
/// Instances remembered beside the current one.
constexpr std::size_t kMostRemembered = 64;

template <typename Value>
void Bound(std::map<std::string, Value>& entries) {
  while (entries.size() > kMostRemembered) {
    entries.erase(entries.begin());
  }
}

ReportEffect StartLeaving(Millis now, InstanceLedger& ledger) {
  ledger.left[ledger.current.id] = true;
  Bound(ledger.left);
  if (ledger.phase == InstancePhase::kLeaving) {
    return ReportEffect::kRefreshed;
  }
  ledger.phase = InstancePhase::kLeaving;
  ledger.leaving_since = now;
  return ReportEffect::kChanged;
}

void Replace(Millis now, const InstanceReport& report, InstanceLedger& ledger) {
  if (ledger.phase != InstancePhase::kNone) {
    ledger.earlier[ledger.current.id] = ledger.current.sequence;
    Bound(ledger.earlier);
  }
  ledger.current = report;
  ledger.phase = InstancePhase::kReady;
  ledger.reported = now;
}

}  // namespace

ReportEffect TakeReport(Millis now,
                        const InstanceReport& report,
                        InstanceLedger& ledger) {
  const bool is_current =
      ledger.phase != InstancePhase::kNone && ledger.current.id == report.id;
  const bool has_left = report.is_leaving || ledger.left.count(report.id) != 0;
  if (!is_current) {
    const auto known = ledger.earlier.find(report.id);
    const bool is_late =
        known != ledger.earlier.end() && report.sequence <= known->second;
    // One that leaves has nothing to take over from a living one.
    const bool is_other_living =
        has_left && ledger.phase == InstancePhase::kReady;
    if (is_late || is_other_living) {
      if (report.is_leaving) {
        ledger.left[report.id] = true;
        Bound(ledger.left);
      }
      return ReportEffect::kIgnored;
    }
    Replace(now, report, ledger);
    if (has_left) {
      StartLeaving(now, ledger);
    }
    return ReportEffect::kChanged;
  }
  if (report.sequence < ledger.current.sequence) {
    return ReportEffect::kIgnored;
  }
  const bool is_changed = ledger.current.capacity != report.capacity ||
                          ledger.current.service != report.service;
  ledger.current = report;
  ledger.reported = now;
  if (has_left) {
    return StartLeaving(now, ledger);
  }
  return is_changed ? ReportEffect::kChanged : ReportEffect::kRefreshed;
}

ReportEffect TakeLeave(Millis now,
                       const std::string& id,
                       InstanceLedger& ledger) {
  ledger.left[id] = true;
  Bound(ledger.left);
  const bool is_current =
      ledger.phase != InstancePhase::kNone && ledger.current.id == id;
  return is_current ? StartLeaving(now, ledger) : ReportEffect::kIgnored;
}

ReportEffect RememberLeft(Millis now,
                          const std::string& id,
                          InstanceLedger& ledger) {
  return TakeLeave(now, id, ledger);
}

std::uint32_t UsableSlots(const InstanceLedger& ledger) {
  if (ledger.phase == InstancePhase::kNone) {
    return 0;
  }
  const double used = ledger.current.capacity * kUsedPart;
  return std::max(1U, static_cast<std::uint32_t>(used));
}

}  // namespace almondlink::control
