#ifndef ALMONDLINK_RELAY_BEARER_KEY_H_
#define ALMONDLINK_RELAY_BEARER_KEY_H_

#include <cstdint>
#include <string>

#include "almondlink/relay/http_parser.h"

/// The API key that a caller proves itself with (RFC 6750: `Authorization:
/// Bearer KEY`).
namespace almondlink::relay {

enum class BearerKeyStatus : std::uint8_t {
  /// There is one.
  kPresent,
  /// No credentials, or those of another scheme: 401.
  kAbsent,
  /// Not of the standard's form: several fields, or no token where one belongs:
  /// 400.
  kMalformed,
};

/// What a request's credentials hold. Thread safe.
struct BearerKey {
  BearerKeyStatus status = BearerKeyStatus::kAbsent;
  std::string key;
};

/// Reads the scheme in any case and any number of spaces behind it.
BearerKey ReadBearerKey(const RequestHead& head);

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_BEARER_KEY_H_
