#ifndef ALMONDLINK_CONTROL_USAGE_H_
#define ALMONDLINK_CONTROL_USAGE_H_

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

#include "almondlink/base/clock.h"
#include "almondlink/base/error.h"
#include "almondlink/base/ids.h"
#include "almondlink/wire/messages.generated.h"

/// Metering. Counters only grow within an incarnation and records hold their
/// whole value, so a record that was appended twice, or one that was lost and
/// followed by another, changes nothing in the sum.
namespace almondlink::control {

/// What one call is counted under.
struct UsageKey {
  std::string team;
  std::string operation;
  Criticality criticality = Criticality::kNormal;
  bool is_nested = false;
  friend bool operator<(const UsageKey& a, const UsageKey& b) {
    return std::tie(a.team, a.operation, a.criticality, a.is_nested) <
           std::tie(b.team, b.operation, b.criticality, b.is_nested);
  }
};

/// Counters of one thread or one node. Plain data; one thread at a time.
struct UsageTable {
  std::map<UsageKey, wire::UsageCell> cells;
};

/// Most cells of one table; what comes after is counted under team `other`.
constexpr std::size_t kMaxUsageCells = 10'000;

/// Counts one finished call: exactly one of served, not run and unknown grows.
/// `retries` were spent on it by this node.
void CountCall(const UsageKey& key,
               ErrorKind outcome,
               std::uint32_t retries,
               UsageTable& table);

/// Counts an answer of a target that no caller received.
void CountWasted(const UsageKey& key, UsageTable& table);

/// Adds `from` to `into`.
void AddUsage(const UsageTable& from, UsageTable& into);

/// All cells for a record.
std::vector<wire::UsageCell> CellsOf(const UsageTable& table);

/// One line of a usage report.
struct UsageReport {
  std::map<UsageKey, wire::UsageCell> cells;
  /// Incarnations that ended without a final record: up to one interval of
  /// their last counts may be missing.
  std::vector<std::string> unfinished;
};

/// Folds usage records: per incarnation the last record at or before `to` less
/// the last one before `from`. Records may come in any order, and twice.
UsageReport FoldUsage(const std::vector<wire::UsageRecord>& records,
                      Millis from,
                      Millis to);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_USAGE_H_
