#ifndef ALMONDLINK_CONTROL_CLAIMS_H_
#define ALMONDLINK_CONTROL_CLAIMS_H_

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "almondlink/base/clock.h"
#include "almondlink/base/error.h"
#include "almondlink/base/ids.h"
#include "almondlink/wire/messages.generated.h"

/// At-most-once claims as a fold over a service's claim stream.
///
/// A node that wants to run a key appends a claim and reads the stream back up
/// to its own record. The claim at the lowest offset wins, for ever: it is not
/// a lease, so a holder that is paused and wakes up late does no harm, and
/// nobody else ever runs the key. Each node dispatches a key that it won at
/// most once (`may_dispatch` turns false with the first), also when the append
/// was repeated because its answer was lost. Claims are forgotten only when
/// every key in them is too old to be accepted.
namespace almondlink::control {

/// Who holds a key.
struct Claim {
  NodeId node;
  Incarnation incarnation{0};
  std::uint64_t offset = 0;
  /// When this node learned of it.
  Millis learned_at;
};

/// State of the fold. Plain data; one thread at a time.
struct Claims {
  /// First offset that was not applied.
  std::uint64_t next_offset = 0;
  /// Set when the log dropped records that this node has not read and that may
  /// still matter: claims cannot be decided until keys of that time expire.
  bool has_gap = false;
  /// No key made before this time may be decided (wall clock).
  Millis undecidable_before;
  std::unordered_map<std::string, Claim> by_key;
  /// Keys in the order they were learned.
  std::deque<std::string> order;
  /// Record ids that were applied, with their age, newest last.
  std::unordered_set<std::string> record_ids;
  std::deque<std::pair<std::string, Millis>> record_order;
};

/// Applies one record of the stream. A record id seen before (an append that
/// was repeated) and an offset applied before change nothing.
void ApplyClaims(std::uint64_t offset,
                 const wire::ClaimBatch& batch,
                 Millis now,
                 Claims& claims);

/// Notes that reading starts at `first_retained`, or goes on there after a
/// gap. `lifetime` is the longest time a key may be used.
void SkipToRetained(std::uint64_t first_retained,
                    Millis wall_now,
                    Claims& claims);

/// The claim on a key, or null. Valid until the next change.
const Claim* FindClaim(const std::string& key, const Claims& claims);

/// Whether the record with this id has been read back.
bool HasRecord(const std::string& record_id, const Claims& claims);

/// Forgets claims learned longer than `age` ago.
void ExpireClaims(Millis now, Millis age, Claims& claims);

/// Whether a key made at `made` (wall clock) can be decided: the log's records
/// from its whole life were read.
bool CanDecide(Millis created_at, const Claims& claims);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_CLAIMS_H_
