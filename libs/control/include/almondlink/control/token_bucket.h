#ifndef ALMONDLINK_CONTROL_TOKEN_BUCKET_H_
#define ALMONDLINK_CONTROL_TOKEN_BUCKET_H_

#include <cstdint>

#include "almondlink/base/clock.h"

namespace almondlink::control {

/// Token bucket: limits how much is accepted from one source. Plain data; one
/// thread at a time.
struct TokenBucket {
  double tokens = 0;
  Millis filled_at;
  bool is_initialized = false;
};

/// Fills the bucket for the time up to `now`, to at most `max_tokens`. A bucket
/// that was never filled starts full.
void Refill(double per_second,
            double max_tokens,
            Millis now,
            TokenBucket& bucket);

/// Takes one token. Returns false if the source exceeds `per_second`. The burst
/// is what one second earns.
bool TakeToken(double per_second, Millis now, TokenBucket& bucket);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_TOKEN_BUCKET_H_
