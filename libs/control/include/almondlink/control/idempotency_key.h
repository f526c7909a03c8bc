#ifndef ALMONDLINK_CONTROL_IDEMPOTENCY_KEY_H_
#define ALMONDLINK_CONTROL_IDEMPOTENCY_KEY_H_

#include <optional>
#include <string>

#include "almondlink/base/clock.h"
#include "almondlink/base/error.h"
#include "almondlink/base/ids.h"

/// Keys of at-most-once calls.
///
/// A claim is a log record, and the log forgets. A key must therefore tell when
/// it was made, so that one older than the claims that are still kept is
/// refused instead of run again. A caller's key is a UUID version 7 (RFC 9562),
/// which starts with its time. A node's own key is `m1.<node>.<incarnation>.
/// <sequence>.<made>.<mac>` and is known only to that incarnation.
namespace almondlink::control {

/// Tolerated difference between the clocks of callers and nodes.
constexpr Millis kMaxClockSkew{30'000};

/// A key that a node minted.
struct MintedKey {
  NodeId node;
  Incarnation incarnation{0};
  std::uint64_t sequence = 0;
  Millis created_at;
  /// HMAC over everything before it, hexadecimal.
  std::string mac;
};

/// The part that the HMAC covers.
std::string MintedKeyBody(const MintedKey& key);

/// Whole text of a minted key.
std::string MintedKeyText(const MintedKey& key);

/// Parses a minted key; nothing if the text is not of that form.
std::optional<MintedKey> ParseMintedKey(const std::string& text);

/// Time in a UUID version 7; nothing if the text is not one.
std::optional<Millis> TimeOfUuid7(const std::string& text);

/// Text of a UUID version 7 made at `made` with the given random bits.
std::string MakeUuid7(Millis created_at, std::uint64_t high, std::uint64_t low);

/// kNone if a key made at `made` may be used at `now`, else kKeyExpired.
ErrorKind CheckKeyAge(Millis created_at, Millis now, Millis lifetime);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_IDEMPOTENCY_KEY_H_
