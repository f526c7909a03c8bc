#ifndef ALMONDLINK_RECORD_LOG_CLAIM_WRITER_H_
#define ALMONDLINK_RECORD_LOG_CLAIM_WRITER_H_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "almondlink/base/clock.h"
#include "almondlink/base/ids.h"
#include "almondlink/record_log/log_client.h"

namespace almondlink::record_log {

/// What became of a claim.
enum class ClaimOutcome {
  /// This incarnation holds the key.
  kWon,
  /// Another node or incarnation holds it.
  kLost,
  /// Not decided in time; this node has not run the key.
  kUnavailable,
};

/// Outcome with the holder when it is another.
struct ClaimResult {
  ClaimOutcome outcome = ClaimOutcome::kUnavailable;
  NodeId holder;
  Incarnation holder_incarnation{0};
};

/// One key to claim.
struct ClaimRequest {
  IdempotencyKey key;
  /// When the key was made, wall clock.
  Millis made;
  /// Monotonic time after which the outcome is of no use.
  Millis deadline;
  /// Called on the writer's thread exactly once.
  std::function<void(const ClaimResult&)> done;
};

/// What a ClaimWriter needs.
struct ClaimWriterConfig {
  NodeId node;
  Incarnation incarnation{0};
  StreamName stream;
  /// Time that claims are kept until SetClaimLife tells another.
  Millis claim_life{20 * 60 * 1000};
  Millis retention{24LL * 60 * 60 * 1000};
  /// Time between reads when nobody claims, so that the fold does not lag.
  Millis idle_read{5000};
};

/// Counters of a ClaimWriter.
struct ClaimWriterStats {
  std::uint64_t appends = 0;
  std::uint64_t append_failures = 0;
  std::uint64_t reads = 0;
  std::uint64_t read_failures = 0;
  std::uint64_t claims = 0;
  std::uint64_t known_keys = 0;
};

/// Claims keys through the log with group commit: all keys that wait while one
/// append is under way go into the next one, so the number of appends is
/// bounded by the log's latency and not by the number of calls. Runs a thread
/// of its own; all methods are thread safe.
class ClaimWriter {
 public:
  ClaimWriter(const ClaimWriterConfig& config, std::unique_ptr<Log> log);
  /// Stops the thread; requests that wait get kUnavailable.
  ~ClaimWriter();
  ClaimWriter(const ClaimWriter&) = delete;
  ClaimWriter& operator=(const ClaimWriter&) = delete;

  /// Asks for a key.
  void Claim(ClaimRequest request);

  /// Shortest time between two appends of this node; keys that come meanwhile
  /// share the next one. An append after a longer pause goes out at once.
  void SetInterval(Millis interval);

  /// Longest time that claims are kept: the bundle's key lifetime and what
  /// clocks may differ. The caller refuses keys that are older.
  void SetClaimLife(Millis life);

  ClaimWriterStats Stats() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace almondlink::record_log

#endif  // ALMONDLINK_RECORD_LOG_CLAIM_WRITER_H_
