#ifndef ALMONDLINK_CONTROL_BLAME_H_
#define ALMONDLINK_CONTROL_BLAME_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "almondlink/base/clock.h"
#include "almondlink/control/request_digest.h"

/// Which requests were under way when targets ended.
///
/// A target that ends takes all requests with it that it was running, and at
/// most one of them did it. What tells them apart is repetition over different
/// starts of targets, without any run that ended whole. So what is kept of a
/// request is the starts that ended under it; nothing is kept of requests that
/// no target ended under, and nothing is computed for them.
namespace almondlink::control {

/// Starts of targets remembered for one request: as many as decisions tell
/// apart.
constexpr std::size_t kMostStartsKept = 8;

/// What is known of one request.
struct BlameRecord {
  /// Hashes of the starts of targets that ended under it, each once; the first
  /// few of them.
  std::vector<std::uint64_t> starts;
  Millis first_end;
  Millis last_end;
  /// Runs since the first end that the target lived through.
  std::uint32_t whole_runs = 0;
};

struct BlameRules {
  /// Most requests that are remembered; the ones with the fewest ends, then
  /// those that ended a target longest ago, are forgotten first.
  std::size_t most_records = 1024;
  /// A request under which one target ended is forgotten after this time, one
  /// with more ends after as much more.
  Millis memory{600'000};
};

/// Plain data; one thread at a time.
struct BlameTable {
  std::map<RequestDigest, BlameRecord> records;
};

/// A target's start ended while the request was under way there. Returns its
/// record, and whether that start is new to it.
const BlameRecord& NoteTargetEnd(const BlameRules& rules,
                                 Millis now,
                                 const RequestDigest& digest,
                                 std::uint64_t start,
                                 BlameTable& table,
                                 bool& is_new);

/// Forgets what is too old; call every now and then.
void ForgetOldBlame(const BlameRules& rules, Millis now, BlameTable& table);

/// What is known of the request; null if nothing is.
BlameRecord* FindBlame(const RequestDigest& digest, BlameTable& table);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_BLAME_H_
