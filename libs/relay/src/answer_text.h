#ifndef ALMONDLINK_RELAY_SRC_ANSWER_TEXT_H_
#define ALMONDLINK_RELAY_SRC_ANSWER_TEXT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "almondlink/base/clock.h"

namespace almondlink::relay {

/// Statuses of the answers that a node gives itself.
constexpr std::uint32_t kStatusBadRequest = 400;
constexpr std::uint32_t kStatusUnauthorized = 401;
constexpr std::uint32_t kStatusTooMany = 429;
constexpr std::uint32_t kStatusBadGateway = 502;
constexpr std::uint32_t kStatusUnavailable = 503;
constexpr std::uint32_t kStatusGatewayTimeout = 504;

/// The standard's words for them; those of 503 for any other.
std::string_view StatusText(std::uint32_t status);

/// The field that tells a caller when to come back, with its line end.
std::string RetryAfterField(Millis wait);

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_SRC_ANSWER_TEXT_H_
