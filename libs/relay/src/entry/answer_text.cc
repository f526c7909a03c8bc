#include "answer_text.h"

#include <array>
#include <cstdio>

namespace almondlink::relay {

namespace {

constexpr double kMillisPerSecond = 1000;

}  // namespace

std::string_view StatusText(std::uint32_t status) {
  switch (status) {
    case kStatusBadRequest:
      return "Bad Request";
    case kStatusUnauthorized:
      return "Unauthorized";
    case kStatusTooMany:
      return "Too Many Requests";
    case kStatusBadGateway:
      return "Bad Gateway";
    case kStatusGatewayTimeout:
      return "Gateway Timeout";
    default:
      return "Service Unavailable";
  }
}

std::string RetryAfterField(Millis wait) {
  std::array<char, 40> field{};
  std::snprintf(field.data(), field.size(), "Retry-After: %.2f\r\n",
                static_cast<double>(wait.count) / kMillisPerSecond);
  return field.data();
}

}  // namespace almondlink::relay
