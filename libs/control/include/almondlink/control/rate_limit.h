#ifndef ALMONDLINK_CONTROL_RATE_LIMIT_H_
#define ALMONDLINK_CONTROL_RATE_LIMIT_H_

#include <cstdint>

#include "almondlink/base/clock.h"

namespace almondlink::control {

/// Token bucket: limit on how much is taken from one source. Plain data; one
/// thread at a time.
struct RateLimit {
  double tokens = 0;
  Millis filled;
  bool is_started = false;
};

/// Fills the bucket up to `now`, to at most `most` tokens. One that was never
/// filled starts full.
void Refill(double per_second, double most, Millis now, RateLimit& limit);

/// Takes one; false if the source has sent too much. Bursts of up to one
/// second's worth are let through.
bool TakeFromRate(double per_second, Millis now, RateLimit& limit);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_RATE_LIMIT_H_
