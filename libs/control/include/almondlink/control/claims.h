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

/// At-most-once claims, folded from the claim stream of a service.
///
/// A node that wants to run a key appends a claim and reads the stream up to
/// its own record. The claim at the lowest offset wins permanently. A claim is
/// not a lease: a paused owner that resumes late does no harm, and no other
/// node ever runs the key. Each node dispatches a key that it won at most once
/// (BeginDispatch in almondlink/control/key_table.h), also if the append was
/// repeated because its response was lost. A claim is removed only when its key
/// is too old to be accepted.
namespace almondlink::control {

/// The owner of a key.
struct Claim {
  NodeId node;
  Incarnation incarnation{0};
  std::uint64_t offset = 0;
  /// When this node read the claim.
  Millis learned_at;
};

/// State of the fold. Plain data; one thread at a time.
struct Claims {
  /// The first offset that has not been applied.
  std::uint64_t next_offset = 0;
  /// The log dropped records that this node had not read and that may still
  /// matter. Keys of that time cannot be decided until they expire.
  bool has_gap = false;
  /// Keys created before this wall-clock time cannot be decided.
  Millis undecidable_before;
  std::unordered_map<std::string, Claim> by_key;
  /// Keys in the order in which they were read.
  std::deque<std::string> order;
  /// Ids of the applied records, and the same ids with the time at which each
  /// was applied, newest last.
  std::unordered_set<std::string> record_ids;
  std::deque<std::pair<std::string, Millis>> record_order;
};

/// Applies one record of the stream. A record id that was applied before (a
/// repeated append) and an offset that was applied before have no effect.
void ApplyClaims(std::uint64_t offset,
                 const wire::ClaimBatch& batch,
                 Millis now,
                 Claims& claims);

/// Moves the read position up to `first_retained`, the first record that the
/// log still holds. Records skipped after the first read leave a gap.
void SkipToRetained(std::uint64_t first_retained,
                    Millis wall_now,
                    Claims& claims);

/// The claim on a key, or null. Valid until the next change.
const Claim* FindClaim(const std::string& key, const Claims& claims);

/// Whether the record with this id has been read back.
bool HasRecord(const std::string& record_id, const Claims& claims);

/// Removes claims that were read longer than `age` ago.
void ExpireClaims(Millis now, Millis age, Claims& claims);

/// Whether a key created at `created_at` (wall clock) can be decided: every
/// record that may claim it has been read.
bool CanDecide(Millis created_at, const Claims& claims);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_CLAIMS_H_
