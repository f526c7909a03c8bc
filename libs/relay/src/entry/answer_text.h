#ifndef ALMONDLINK_RELAY_SRC_ENTRY_ANSWER_TEXT_H_
#define ALMONDLINK_RELAY_SRC_ENTRY_ANSWER_TEXT_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "almondlink/base/clock.h"

namespace almondlink::relay {

/// HTTP statuses of the answers that a node generates.
constexpr std::uint32_t kStatusBadRequest = 400;
constexpr std::uint32_t kStatusUnauthorized = 401;
constexpr std::uint32_t kStatusTooMany = 429;
constexpr std::uint32_t kStatusBadGateway = 502;
constexpr std::uint32_t kStatusUnavailable = 503;
constexpr std::uint32_t kStatusGatewayTimeout = 504;

/// Reason phrase of the status; "Service Unavailable" for any other status.
std::string_view StatusText(std::uint32_t status);

/// The Retry-After field with its line end, in seconds with two decimals.
std::string RetryAfterField(Millis wait);

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_SRC_ENTRY_ANSWER_TEXT_H_
