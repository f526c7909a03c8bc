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

/// Usage metering. Counters only grow within an incarnation of a node, and each
/// record holds their full values. A record that is appended twice, or lost and
/// followed by a later one, does not change the result.
namespace almondlink::control {

/// The key under which a call is counted.
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

/// Usage counters of one thread or one node. Not thread safe.
struct UsageTable {
  std::map<UsageKey, wire::UsageCell> cells;
};

/// Maximum number of cells in a table; further keys are counted under team
/// `other`.
constexpr std::size_t kMaxUsageCells = 10'000;

/// Counts a finished call as exactly one of served, not run or unknown.
/// `retries` is the number of retries that this node made for it.
void CountCall(const UsageKey& key,
               ErrorKind outcome,
               std::uint32_t retries,
               UsageTable& table);

/// Counts an answer of a target that no caller received.
void CountWasted(const UsageKey& key, UsageTable& table);

/// Adds all counters of `from` to `into`.
void AddUsage(const UsageTable& from, UsageTable& into);

/// All cells, as stored in a usage record.
std::vector<wire::UsageCell> CellsOf(const UsageTable& table);

/// Usage of a period.
struct UsageReport {
  std::map<UsageKey, wire::UsageCell> cells;
  /// Incarnations without a final record, as `node/incarnation`: the counts of
  /// up to one reporting interval may be missing.
  std::vector<std::string> unfinished;
};

/// Computes the usage of a period: for each incarnation, the last record at or
/// before `to` minus the last one before `from`. Records may be unordered and
/// duplicated.
UsageReport FoldUsage(const std::vector<wire::UsageRecord>& records,
                      Millis from,
                      Millis to);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_USAGE_H_
