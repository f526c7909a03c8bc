#ifndef ALMONDLINK_CONTROL_SERVICE_TIME_H_
#define ALMONDLINK_CONTROL_SERVICE_TIME_H_

#include "almondlink/base/clock.h"

namespace almondlink::control {

/// How long an estimate is believed without a new sample. An estimate that
/// refuses every request gets no sample; without this end it would hold the
/// refusals up after the target is fast again.
constexpr Millis kEstimateLifetime{300};

/// Moving estimate of the time a target takes, from its own completions.
/// Plain data; one thread at a time.
struct ServiceTime {
  double mean = 0;
  /// Mean deviation from the mean.
  double deviation = 0;
  std::uint64_t samples = 0;
  Millis last_sample;
};

/// Takes one sample.
void RecordServiceTime(Millis now, LatencyMs sample, ServiceTime& estimate);

/// The time that a request likely needs at least: mean less deviation, so that
/// a request is refused only when it very likely cannot finish. 0 if unknown or
/// no longer believed.
LatencyMs LikelyMinServiceTime(Millis now, const ServiceTime& estimate);

/// Whether a request that still waits for `ahead` others at a target that
/// handles `limit` at once can be done by `deadline`.
bool CanFinish(Millis now,
               Millis deadline,
               std::uint32_t ahead,
               std::uint32_t limit,
               const ServiceTime& estimate);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_SERVICE_TIME_H_
