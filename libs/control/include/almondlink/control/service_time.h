#ifndef ALMONDLINK_CONTROL_SERVICE_TIME_H_
#define ALMONDLINK_CONTROL_SERVICE_TIME_H_

#include "almondlink/base/clock.h"

namespace almondlink::control {

/// Time after the last sample at which the estimate expires. An estimate that
/// causes every request to be refused gets no more samples, and would otherwise
/// keep refusing after the target has become fast again.
constexpr Millis kEstimateLifetime{300};

/// Moving estimate of the service time of a target in milliseconds, from its
/// completed requests. Not thread safe.
struct ServiceTime {
  double mean = 0;
  /// Mean absolute deviation.
  double deviation = 0;
  std::uint64_t samples = 0;
  Millis last_sample;
};

/// Adds one sample.
void RecordServiceTime(Millis now, LatencyMs sample, ServiceTime& estimate);

/// Time that a request is likely to need at least: mean minus deviation, so
/// that a request is refused only if it very likely cannot finish. 0 if there
/// are too few samples or the estimate has expired.
LatencyMs LikelyMinServiceTime(Millis now, const ServiceTime& estimate);

/// Whether a request with `ahead` others before it in the queue can finish by
/// `deadline` at a target that runs `limit` requests at once.
bool CanFinish(Millis now,
               Millis deadline,
               std::uint32_t ahead,
               std::uint32_t limit,
               const ServiceTime& estimate);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_SERVICE_TIME_H_
