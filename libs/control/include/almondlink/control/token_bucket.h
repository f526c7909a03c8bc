#ifndef ALMONDLINK_CONTROL_TOKEN_BUCKET_H_
#define ALMONDLINK_CONTROL_TOKEN_BUCKET_H_

#include <cstdint>

#include "almondlink/base/clock.h"

namespace almondlink::control {

/// Token bucket: limit on how much is taken from one source. Plain data; one
/// thread at a time.
struct TokenBucket {
  double tokens = 0;
  Millis filled_at;
  bool is_initialized = false;
};

/// Fills the bucket up to `now`, to at most `most` tokens. One that was never
/// filled starts full.
void Refill(double per_second,
            double max_tokens,
            Millis now,
            TokenBucket& bucket);

/// Takes one; false if the source has sent too much. Bursts of up to one
/// second's worth are let through.
bool TakeToken(double per_second, Millis now, TokenBucket& bucket);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_TOKEN_BUCKET_H_
