#ifndef ALMONDLINK_CONTROL_KEY_TABLE_H_
#define ALMONDLINK_CONTROL_KEY_TABLE_H_

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "almondlink/base/clock.h"
#include "almondlink/wire/messages.generated.h"

/// What became of the keys at this incarnation of a target's node.
///
///   kClaiming -> kHeld -> kDispatched -> kDone
///        |          ^ |
///        |          | +-- refused before dispatch: stays held, may be asked
///        v          |     again at this node, and only here
///     kLost      (minted keys start held)
///
/// The step to kDispatched is taken at most once for a key.
namespace almondlink::control {

enum class KeyState {
  /// A claim is being appended.
  kClaiming,
  /// This incarnation alone may run the key, and has not.
  kOwned,
  /// It was handed to the target.
  kDispatched,
  /// The target answered; the answer is kept unless it was too large.
  kDone,
  /// The outcome is not known and will not be.
  kUnknown,
};

/// One key at this node.
struct KeyEntry {
  KeyState state = KeyState::kClaiming;
  Millis added_at;
  bool has_answer = false;
  wire::Answer answer;
  std::size_t answer_bytes = 0;
  /// The call that is on its way to the target; 0 for none.
  std::uint64_t running_call = 0;
  /// Calls that wait for the outcome of the first one.
  std::vector<std::uint64_t> waiting_calls;
};

/// Limits on memory.
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

/// Adds a key in that state. Null if the table is full: refuse as not run.
KeyEntry* AddKey(const KeyTableLimits& limits,
                 Millis now,
                 const std::string& key,
                 KeyState state,
                 KeyTable& table);

/// Takes the one step to kDispatched; false if it was taken before or the key
/// is not held.
bool BeginDispatch(KeyEntry& entry);

/// Takes the step back after it is certain that no byte reached the target, or
/// that the target refused to run it.
void RevertDispatch(KeyEntry& entry);

/// Records the answer. One that is too large leaves kDone without an answer.
void RecordAnswer(const KeyTableLimits& limits,
                  const wire::Answer& answer,
                  KeyEntry& entry,
                  KeyTable& table);

/// Removes a key that was never claimed, so that it can be tried again.
void RemoveKey(const std::string& key, KeyTable& table);

/// Forgets keys added longer than `age` ago, when nobody waits on them.
void ExpireKeys(Millis now, Millis age, KeyTable& table);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_KEY_TABLE_H_
