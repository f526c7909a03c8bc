#include "almondlink/control/rate_limit.h"

#include <algorithm>

namespace almondlink::control {

namespace {

constexpr double kMsPerSecond = 1000;

}  // namespace

void Refill(double per_second, double most, Millis now, RateLimit& limit) {
  if (!limit.is_started) {
    limit.is_started = true;
    limit.tokens = most;
    limit.filled = now;
  }
  const double earned = static_cast<double>((now - limit.filled).count) *
                        per_second / kMsPerSecond;
  limit.tokens = std::min(most, limit.tokens + earned);
  limit.filled = now;
}

bool TakeFromRate(double per_second, Millis now, RateLimit& limit) {
  Refill(per_second, per_second, now, limit);
  if (limit.tokens < 1) {
    return false;
  }
  limit.tokens -= 1;
  return true;
}

}  // namespace almondlink::control
