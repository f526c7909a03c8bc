#ifndef ALMONDLINK_CONTROL_INSTANCE_LEDGER_H_
#define ALMONDLINK_CONTROL_INSTANCE_LEDGER_H_

#include <cstdint>
#include <map>
#include <string>

#include "almondlink/base/clock.h"

/// Which instance runs beside a node, and whether it takes new work.
///
/// The instance reports itself to the node beside it. Reports can be late: one
/// of an instance that has ended can arrive when its successor has reported
/// already. An instance that was once known to leave stays leaving for good,
/// whatever a late report says; peers remember that for a node that restarts.
namespace almondlink::control {

enum class InstancePhase { kNone, kReady, kLeaving };

/// What an instance says of itself.
struct InstanceReport {
  std::string id;
  std::string service;
  std::uint32_t capacity = 0;
  bool is_leaving = false;
  /// Time for which it will still be slow after its start.
  Millis cold_left;
  /// Grows with every report of the instance.
  std::uint64_t sequence = 0;
};

/// State of one node's ledger. Plain data; one thread at a time.
struct InstanceLedger {
  InstancePhase phase = InstancePhase::kNone;
  InstanceReport current;
  /// When the current instance was first known to leave.
  Millis leaving_since;
  Millis reported;
  /// Highest sequence seen of instances that are not the current one.
  std::map<std::string, std::uint64_t> earlier;
  /// Instances that are known to leave or to be gone.
  std::map<std::string, bool> left;
};

enum class ReportEffect { kIgnored, kRefreshed, kChanged };

/// Takes one report.
ReportEffect TakeReport(Millis now,
                        const InstanceReport& report,
                        InstanceLedger& ledger);

/// The instance says that it leaves, without a report.
ReportEffect TakeLeave(Millis now,
                       const std::string& id,
                       InstanceLedger& ledger);

/// A peer remembers that instance `id` was leaving.
ReportEffect RememberLeft(Millis now,
                          const std::string& id,
                          InstanceLedger& ledger);

/// Slots of the current instance that may be in use: a little below what it
/// announces, since its last ones slow all others down.
std::uint32_t UsableSlots(const InstanceLedger& ledger);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_INSTANCE_LEDGER_H_
