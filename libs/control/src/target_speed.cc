#include "almondlink/control/target_speed.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>

namespace almondlink::control {

namespace {

/// Time constant of the lasting speed and of the distribution of run times.
/// After a slow phase of 0.6 s, 4% of it are left in the lasting speed.
constexpr double kLastingTimeConstantMs = 15000;
/// Time constant of the service's mean times: those of single targets vary by
/// a tenth with their last thirty runs.
constexpr double kMeansTimeConstantMs = 2000;
constexpr Millis kMeanLifetime{60000};
/// Completed runs from which on the distribution of run times is known well
/// enough to expect ends from it.
constexpr double kMinKnownRuns = 30;
/// Weight of the assumption, at each age, that one run ends per mean time.
constexpr double kAssumedAtAge = 0.5;
/// Bounds on the recent speed relative to the lasting one. Below the lower one,
/// a slow target and one that hangs cannot be told apart.
constexpr double kMinRecentRatio = 0.25;
constexpr double kMaxRecentRatio = 2;
constexpr double kMinSpeed = 0.1;
constexpr double kMaxSpeed = 4;
constexpr double kBucketsPerDoubling = 3;
constexpr double kFirstBucketExponent = 4;

/// Upper bound of a bucket in multiples of the mean.
double UpperBound(std::size_t bucket) {
  return std::exp2(static_cast<double>(bucket + 1) / kBucketsPerDoubling -
                   kFirstBucketExponent);
}

std::size_t BucketOf(double multiple) {
  const double place =
      std::floor(kBucketsPerDoubling *
                 (std::log2(std::max(multiple, 1e-6)) + kFirstBucketExponent));
  return static_cast<std::size_t>(
      std::clamp(place, 0.0, static_cast<double>(kRunAgeBuckets - 1)));
}

/// Calls `add` for each bucket with the part of the range that lies in it.
template <typename Add>
void ForEachBucket(double from, double until, const Add& add) {
  while (from < until) {
    const std::size_t bucket = BucketOf(from);
    const bool is_last = bucket + 1 == kRunAgeBuckets;
    // The bound is above `from` except where rounding put `from` into the
    // bucket that ends there.
    const double bound =
        is_last ? until : std::max(UpperBound(bucket), from * (1 + 1e-9));
    const double end = std::min(until, bound);
    add(bucket, end - from);
    from = end;
  }
}

/// Runs that end per mean time at an age.
double EndRate(const SpeedMeter& meter, std::size_t bucket) {
  return (meter.ended_at[bucket] + kAssumedAtAge) /
         (meter.spent_at[bucket] + kAssumedAtAge);
}

void StopMeasuring(MeasuredRun& run) {
  run.mean_ms = 0;
}

/// Recent speed relative to the lasting one; 1 until the distribution of run
/// times is known.
double RecentRatio(const SpeedMeter& meter) {
  const double known =
      std::accumulate(meter.ended_at.begin(), meter.ended_at.end(), 0.0);
  if (known < kMinKnownRuns) {
    return 1;
  }
  double ended = kAssumedRuns;
  double expected = kAssumedRuns;
  for (const EndedRuns& interval : meter.recent) {
    ended += interval.ended;
    expected += interval.expected;
  }
  return std::clamp(ended / expected, kMinRecentRatio, kMaxRecentRatio);
}

}  // namespace

void SetServiceMeans(Millis now,
                     const std::map<std::uint32_t, double>& means,
                     SpeedMeter& meter) {
  const auto elapsed = static_cast<double>((now - meter.means_at).count);
  const double weight =
      1 - std::exp(-std::max(0.0, elapsed) / kMeansTimeConstantMs);
  meter.means_at = now;
  for (const auto& [route, mean_ms] : means) {
    if (mean_ms > 0) {
      ServiceMean& known = meter.means[route];
      known.ms =
          known.ms > 0 ? known.ms + weight * (mean_ms - known.ms) : mean_ms;
      known.seen_at = now;
    }
  }
  for (auto entry = meter.means.begin(); entry != meter.means.end();) {
    const bool is_old = now - entry->second.seen_at > kMeanLifetime;
    entry = is_old ? meter.means.erase(entry) : std::next(entry);
  }
}

MeasuredRun BeginRun(std::uint32_t route, const SpeedMeter& meter) {
  MeasuredRun run;
  const auto known = meter.means.find(route);
  run.mean_ms = known == meter.means.end() ? 0 : known->second.ms;
  return run;
}

void AdvanceRun(LatencyMs age, MeasuredRun& run, SpeedMeter& meter) {
  if (run.mean_ms <= 0 || age.count <= run.measured_ms) {
    return;
  }
  const double from = run.measured_ms / run.mean_ms;
  const double until = age.count / run.mean_ms;
  run.measured_ms = age.count;
  ForEachBucket(from, until, [&meter](std::size_t bucket, double part) {
    meter.current.expected += part * EndRate(meter, bucket);
    meter.spent_at[bucket] += part;
  });
}

void CompleteRun(LatencyMs age, MeasuredRun& run, SpeedMeter& meter) {
  if (run.mean_ms <= 0) {
    return;
  }
  AdvanceRun(age, run, meter);
  const double multiple = age.count / run.mean_ms;
  meter.ended_at[BucketOf(multiple)] += 1;
  meter.current.ended += 1;
  meter.runs += 1;
  meter.run_time += multiple;
  StopMeasuring(run);
}

void CutRun(LatencyMs age, MeasuredRun& run, SpeedMeter& meter) {
  if (run.mean_ms <= 0) {
    return;
  }
  AdvanceRun(age, run, meter);
  const double multiple = age.count / run.mean_ms;
  // A short time until the cut says nothing about the run.
  if (multiple > 1) {
    meter.runs += 1;
    meter.run_time += multiple;
  }
  StopMeasuring(run);
}

void CloseSpeedInterval(Millis now, SpeedMeter& meter) {
  const auto elapsed = static_cast<double>((now - meter.last_close).count);
  if (elapsed <= 0) {
    return;
  }
  meter.last_close = now;
  meter.current.until = now;
  meter.recent.push_back(meter.current);
  meter.current = EndedRuns();
  while (!meter.recent.empty() &&
         now - meter.recent.front().until >= kSpeedWindow) {
    meter.recent.pop_front();
  }
  const double keep = std::exp(-elapsed / kLastingTimeConstantMs);
  meter.runs *= keep;
  meter.run_time *= keep;
  for (std::size_t i = 0; i < kRunAgeBuckets; ++i) {
    meter.ended_at[i] *= keep;
    meter.spent_at[i] *= keep;
  }
  meter.recent_ratio = RecentRatio(meter);
}

void ResetSpeed(SpeedMeter& meter) {
  SpeedMeter fresh;
  fresh.means = std::move(meter.means);
  fresh.means_at = meter.means_at;
  fresh.last_close = meter.last_close;
  meter = std::move(fresh);
}

double CurrentSpeed(bool is_warming_up, const SpeedMeter& meter) {
  if (meter.means.empty()) {
    return is_warming_up ? kWarmupSpeed : 0;
  }
  const double assumed = is_warming_up ? kWarmupSpeed : 1;
  const double lasting =
      (meter.runs + kAssumedRuns) / (meter.run_time + kAssumedRuns / assumed);
  return std::clamp(lasting * meter.recent_ratio, kMinSpeed, kMaxSpeed);
}

}  // namespace almondlink::control
