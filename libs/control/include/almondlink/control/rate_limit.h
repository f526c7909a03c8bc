#ifndef ALMONDLINK_CONTROL_RATE_LIMIT_H_
#define ALMONDLINK_CONTROL_RATE_LIMIT_H_

#include <cstdint>

#include "almondlink/base/clock.h"

namespace almondlink::control {

/// Limit on how much is taken from one source: so many per second, with bursts
/// of up to one second's worth. Plain data; one thread at a time.
struct RateLimit {
  double tokens = 0;
  Millis filled;
  bool is_started = false;
};

/// Takes one; false if the source has sent too much.
bool TakeFromRate(double per_second, Millis now, RateLimit& limit);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_RATE_LIMIT_H_
