#include "almondlink/control/request_digest.h"

#include <cinttypes>
#include <cstdio>

namespace almondlink::control {

namespace {

constexpr std::size_t kDigits = 32;

}  // namespace

std::string ToString(const RequestDigest& digest) {
  char text[kDigits + 1] = {};
  std::snprintf(text, sizeof(text), "%016" PRIx64 "%016" PRIx64, digest.high,
                digest.low);
  return text;
}

}  // namespace almondlink::control
