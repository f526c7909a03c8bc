#include "almondlink/control/token_bucket.h"

#include <algorithm>

namespace almondlink::control {

namespace {

constexpr double kMsPerSecond = 1000;

}  // namespace

void Refill(double per_second,
            double max_tokens,
            Millis now,
            TokenBucket& bucket) {
  if (!bucket.is_initialized) {
    bucket.is_initialized = true;
    bucket.tokens = max_tokens;
    bucket.filled_at = now;
  }
  const double earned = static_cast<double>((now - bucket.filled_at).count) *
                        per_second / kMsPerSecond;
  bucket.tokens = std::min(max_tokens, bucket.tokens + earned);
  bucket.filled_at = now;
}

bool TakeToken(double per_second, Millis now, TokenBucket& bucket) {
  Refill(per_second, per_second, now, bucket);
  if (bucket.tokens < 1) {
    return false;
  }
  bucket.tokens -= 1;
  return true;
}

}  // namespace almondlink::control
