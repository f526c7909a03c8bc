#include "almondlink/control/request_digest.h"

#include <cctype>
#include <cinttypes>
#include <cstdio>

namespace almondlink::control {

namespace {

constexpr std::size_t kDigits = 32;
constexpr std::size_t kHalf = kDigits / 2;
constexpr int kHexadecimal = 16;

}  // namespace

std::string ToString(const RequestDigest& digest) {
  char text[kDigits + 1] = {};
  std::snprintf(text, sizeof(text), "%016" PRIx64 "%016" PRIx64, digest.high,
                digest.low);
  return text;
}

bool ParseDigest(const std::string& text, RequestDigest& digest) {
  if (text.size() != kDigits) {
    return false;
  }
  for (const char digit : text) {
    if (std::isxdigit(static_cast<unsigned char>(digit)) == 0) {
      return false;
    }
  }
  digest.high = std::stoull(text.substr(0, kHalf), nullptr, kHexadecimal);
  digest.low = std::stoull(text.substr(kHalf), nullptr, kHexadecimal);
  return true;
}

}  // namespace almondlink::control
