#ifndef ALMONDLINK_CONTROL_IDEMPOTENCY_KEY_H_
#define ALMONDLINK_CONTROL_IDEMPOTENCY_KEY_H_

#include <optional>
#include <string>

#include "almondlink/base/clock.h"
#include "almondlink/base/error.h"
#include "almondlink/base/ids.h"

/// Idempotency keys of at-most-once calls.
///
/// Claims are records of a log with limited retention. A key therefore carries
/// its creation time, so that a key older than the retained claims is refused
/// instead of run again. A caller's key is a UUID version 7 (RFC 9562), which
/// starts with its time. A node's own key is
/// `m1.<node>.<incarnation>.<sequence>.<created_at>.<mac>` and is known only to
/// the incarnation that minted it.
namespace almondlink::control {

/// Maximum difference between the clocks of callers and nodes.
constexpr Millis kMaxClockSkew{30'000};

/// A key minted by a node.
struct MintedKey {
  NodeId node;
  Incarnation incarnation{0};
  std::uint64_t sequence = 0;
  Millis created_at;
  /// HMAC over all preceding parts, in hexadecimal.
  std::string mac;
};

/// The part of the key that the HMAC covers.
std::string MintedKeyBody(const MintedKey& key);

/// The complete text of a minted key.
std::string MintedKeyText(const MintedKey& key);

/// Parses a minted key; nothing if the text does not have that form.
std::optional<MintedKey> ParseMintedKey(const std::string& text);

/// Creation time of a UUID version 7; nothing if the text is not one.
std::optional<Millis> TimeOfUuid7(const std::string& text);

/// Text of a UUID version 7 for the creation time and the given random bits.
std::string MakeUuid7(Millis created_at, std::uint64_t high, std::uint64_t low);

/// Returns kNone if a key created at `created_at` may be used at `now`,
/// otherwise kKeyExpired. All times are wall-clock times.
ErrorKind CheckKeyAge(Millis created_at, Millis now, Millis lifetime);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_IDEMPOTENCY_KEY_H_
