#include "almondlink/control/rate_limit.h"

#include <algorithm>

namespace almondlink::control {

namespace {

constexpr double kMsPerSecond = 1000;

}  // namespace

bool TakeFromRate(double per_second, Millis now, RateLimit& limit) {
  if (!limit.is_started) {
    limit.is_started = true;
    limit.tokens = per_second;
    limit.filled = now;
  }
  const double earned = static_cast<double>((now - limit.filled).count) *
                        per_second / kMsPerSecond;
  limit.tokens = std::min(per_second, limit.tokens + earned);
  limit.filled = now;
  if (limit.tokens < 1) {
    return false;
  }
  limit.tokens -= 1;
  return true;
}

}  // namespace almondlink::control
