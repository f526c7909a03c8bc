#include "almondlink/control/service_time.h"

#include <algorithm>
#include <cmath>

namespace almondlink::control {

namespace {

constexpr double kGain = 0.1;
/// Number of samples from which on the estimate is used.
constexpr std::uint64_t kMinSamples = 10;

}  // namespace

void RecordServiceTime(Millis now, LatencyMs sample, ServiceTime& estimate) {
  ++estimate.samples;
  estimate.last_sample = now;
  if (estimate.samples == 1) {
    estimate.mean = sample.count;
    return;
  }
  const double error = sample.count - estimate.mean;
  estimate.mean += kGain * error;
  estimate.deviation += kGain * (std::abs(error) - estimate.deviation);
}

LatencyMs LikelyMinServiceTime(Millis now, const ServiceTime& estimate) {
  const bool is_old = now - estimate.last_sample > kEstimateLifetime;
  if (is_old || estimate.samples < kMinSamples) {
    return LatencyMs{0};
  }
  return LatencyMs{std::max(0.0, estimate.mean - estimate.deviation)};
}

bool CanFinish(Millis now,
               Millis deadline,
               std::uint32_t ahead,
               std::uint32_t limit,
               const ServiceTime& estimate) {
  const double min_time = LikelyMinServiceTime(now, estimate).count;
  const double turns = static_cast<double>(ahead) / std::max(1U, limit);
  const double time_left = static_cast<double>((deadline - now).count);
  return time_left > 0 && min_time * (turns + 1) <= time_left;
}

}  // namespace almondlink::control
