#ifndef ALMONDLINK_CONTROL_KEY_TABLE_H_
#define ALMONDLINK_CONTROL_KEY_TABLE_H_

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "almondlink/base/clock.h"
#include "almondlink/wire/messages.generated.h"

/// State of idempotency keys at this incarnation of a target's node.
///
///   kClaiming -> kOwned -> kDispatched -> kDone or kUnknown
///       |          ^            |
///       v          +------------+
///    removed      refused before dispatch
///  (claim lost)
///
/// A key that was refused before dispatch stays owned: it may be called again,
/// but only at this node.
///
/// Keys that this node minted start as kOwned. The step to kDispatched is taken
/// at most once per key.
namespace almondlink::control {

/// State of one key, see above.
enum class KeyState {
  /// A claim is being appended.
  kClaiming,
  /// Only this incarnation may run the key, and it has not done so.
  kOwned,
  /// The request was handed to the target.
  kDispatched,
  /// The target answered; the answer is kept unless it was too large.
  kDone,
  /// The outcome is unknown and stays so.
  kUnknown,
};

/// One key at this node.
struct KeyEntry {
  KeyState state = KeyState::kClaiming;
  Millis added_at;
  bool has_answer = false;
  wire::Answer answer;
  std::size_t answer_bytes = 0;
  /// The call that is on its way to the target; 0 if none.
  std::uint64_t running_call = 0;
  /// Calls that wait for the outcome of the first one.
  std::vector<std::uint64_t> waiting_calls;
};

/// Memory limits.
struct KeyTableLimits {
  std::size_t max_entries = 100'000;
  std::size_t max_answer_bytes = 16 * 1024 * 1024;
  std::size_t max_answer_size = 64 * 1024;
};

/// All keys of this incarnation. Plain data; one thread at a time.
struct KeyTable {
  std::unordered_map<std::string, KeyEntry> entries;
  std::deque<std::string> order;
  std::size_t answer_bytes = 0;
};

/// The entry of a key, or null. Valid until the next change.
KeyEntry* FindKey(const std::string& key, KeyTable& table);

/// Adds a key in the given state. Returns null if the table is full; the call
/// must then be refused as not run.
KeyEntry* AddKey(const KeyTableLimits& limits,
                 Millis now,
                 const std::string& key,
                 KeyState state,
                 KeyTable& table);

/// Takes the single step to kDispatched. Returns false if it was taken before
/// or the key is not owned.
bool BeginDispatch(KeyEntry& entry);

/// Reverts the step once it is certain that no byte reached the target or that
/// the target refused to run the request.
void RevertDispatch(KeyEntry& entry);

/// Stores the answer. One that is too large leaves kDone without an answer.
void RecordAnswer(const KeyTableLimits& limits,
                  const wire::Answer& answer,
                  KeyEntry& entry,
                  KeyTable& table);

/// Removes a key that this node failed to claim, so that it can be tried again.
void RemoveKey(const std::string& key, KeyTable& table);

/// Removes keys that were added longer than `age` ago and that no call waits
/// for.
void ExpireKeys(Millis now, Millis age, KeyTable& table);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_KEY_TABLE_H_
