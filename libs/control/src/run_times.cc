#include "almondlink/control/run_times.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>

namespace almondlink::control {

namespace {

constexpr double kBucketsPerDoubling = 3;
/// Weight below which a route is dropped: a single run is below it after three
/// and a half minutes.
constexpr double kMinWeight = 0.01;

/// Lower bound of a bucket in milliseconds; the first one begins at 0.
double LowerBound(std::size_t bucket) {
  return bucket == 0
             ? 0
             : std::exp2(static_cast<double>(bucket) / kBucketsPerDoubling);
}

double UpperBound(std::size_t bucket) {
  return LowerBound(bucket + 1);
}

std::size_t BucketOf(double scaled_ms) {
  if (scaled_ms <= 1) {
    return 0;
  }
  const auto bucket =
      static_cast<std::size_t>(kBucketsPerDoubling * std::log2(scaled_ms));
  return std::min(bucket, kRunTimeBuckets - 1);
}

double ScaledMs(LatencyMs time, double speed) {
  return std::max(0.0, time.count) * (speed > 0 ? speed : 1);
}

/// Part of a bucket's runs that are longer than `scaled_ms`, which lies in it.
double PartAbove(std::size_t bucket, double scaled_ms) {
  const double low = LowerBound(bucket);
  const double high = UpperBound(bucket);
  return std::clamp((high - scaled_ms) / (high - low), 0.0, 1.0);
}

double CountAbove(const RunTimeHistogram& histogram, double scaled_ms) {
  const std::size_t bucket = BucketOf(scaled_ms);
  double above = histogram.runs[bucket] * PartAbove(bucket, scaled_ms);
  for (std::size_t i = bucket + 1; i < kRunTimeBuckets; ++i) {
    above += histogram.runs[i];
  }
  return above;
}

}  // namespace

void RecordRunTime(LatencyMs work, double speed, RunTimeHistogram& histogram) {
  histogram.runs[BucketOf(ScaledMs(work, speed))] += 1;
}

void RecordCutRun(LatencyMs lasted, double speed, RunTimeHistogram& histogram) {
  const double scaled_ms = ScaledMs(lasted, speed);
  const std::size_t bucket = BucketOf(scaled_ms);
  const double above = CountAbove(histogram, scaled_ms);
  if (above <= 0) {
    histogram.runs[std::min(bucket + 1, kRunTimeBuckets - 1)] += 1;
    return;
  }
  const double in_bucket =
      histogram.runs[bucket] * PartAbove(bucket, scaled_ms);
  histogram.runs[bucket] += in_bucket / above;
  for (std::size_t i = bucket + 1; i < kRunTimeBuckets; ++i) {
    histogram.runs[i] += histogram.runs[i] / above;
  }
}

double CountRunTimes(const RunTimeHistogram& histogram) {
  return std::accumulate(histogram.runs.begin(), histogram.runs.end(), 0.0);
}

double ChanceToBeLate(const RunTimeHistogram& histogram,
                      LatencyMs time_left,
                      double speed) {
  const double count = CountRunTimes(histogram);
  return count < kMinRunTimes
             ? 0
             : CountAbove(histogram, ScaledMs(time_left, speed)) / count;
}

double MeanRunTimeMs(const RunTimeHistogram& histogram) {
  const double count = CountRunTimes(histogram);
  if (count < kMinRunTimes) {
    return 0;
  }
  double sum = 0;
  for (std::size_t i = 0; i < kRunTimeBuckets; ++i) {
    sum += histogram.runs[i] * (LowerBound(i) + UpperBound(i)) / 2;
  }
  return sum / count;
}

void DecayRunTimes(Millis now, RunTimeTable& table) {
  const auto elapsed = static_cast<double>((now - table.decayed_at).count);
  if (elapsed <= 0) {
    return;
  }
  table.decayed_at = now;
  const double keep =
      std::exp2(-elapsed / static_cast<double>(kRunTimeHalfLife.count));
  for (auto entry = table.routes.begin(); entry != table.routes.end();) {
    double left = 0;
    for (double& runs : entry->second.runs) {
      runs *= keep;
      left += runs;
    }
    entry = left < kMinWeight ? table.routes.erase(entry) : std::next(entry);
  }
}

}  // namespace almondlink::control
