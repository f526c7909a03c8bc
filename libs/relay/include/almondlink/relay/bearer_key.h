#ifndef ALMONDLINK_RELAY_BEARER_KEY_H_
#define ALMONDLINK_RELAY_BEARER_KEY_H_

#include <cstdint>
#include <string>

#include "almondlink/relay/http_parser.h"

/// Reads the API key from a request's bearer credentials (RFC 6750:
/// `Authorization: Bearer KEY`).
namespace almondlink::relay {

enum class BearerKeyStatus : std::uint8_t {
  /// The request carries exactly one well-formed key.
  kPresent,
  /// There are no credentials, or they use another scheme; the status is 401.
  kAbsent,
  /// There are several Authorization fields, or the bearer value is no valid
  /// key; the status is 400.
  kMalformed,
};

/// The result of reading a request's credentials. `key` is empty unless
/// `status` is kPresent.
struct BearerKey {
  BearerKeyStatus status = BearerKeyStatus::kAbsent;
  std::string key;
};

/// Accepts the scheme in any letter case and any run of blanks after it. Thread
/// safe.
BearerKey ReadBearerKey(const RequestHead& head);

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_BEARER_KEY_H_
