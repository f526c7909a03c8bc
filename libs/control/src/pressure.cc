#include "almondlink/control/pressure.h"

#include <algorithm>

namespace almondlink::control {

namespace {

/// Ranks by which the threshold rises per window: the shed ranks divided by
/// kRiseDivisor, at least kMinRise.
constexpr std::uint32_t kMinRise = 16;
constexpr std::uint32_t kRiseDivisor = 4;
/// Lowest threshold that is set by load: some requests of the most critical
/// class must arrive for a recovery to be noticed.
constexpr std::uint32_t kMinThreshold = 8;
/// Ratio of admitted to completed requests. An excess waits in the queue by
/// rank, while too few requests would leave slots idle. Values from 1.05 to 1.3
/// were compared.
constexpr double kHeadroom = 1.2;
/// Number of completions in a window below which it is noise, and does not
/// determine how far the threshold falls within a class.
constexpr std::uint32_t kMinCompletions = 3;
constexpr Millis kMinRetryAfter{200};
constexpr Millis kMaxRetryAfter{2000};

std::uint32_t ThresholdFor(double offered, const Pressure& pressure) {
  double sum = 0;
  for (std::uint32_t rank = 0; rank < kRankCount; ++rank) {
    sum += pressure.arrivals[rank];
    if (sum > offered) {
      return std::max(rank, kMinThreshold);
    }
  }
  return kRankCount;
}

void ResetWindow(Millis now, Pressure& pressure) {
  pressure.window_start = now;
  pressure.completed = 0;
  pressure.dequeued = 0;
  pressure.wait_sum = 0;
  pressure.expired = 0;
  pressure.highest_late_class = kCriticalityCount;
  pressure.arrivals.fill(0);
}

void RecordLate(Criticality criticality, Pressure& pressure) {
  pressure.highest_late_class = std::min(
      pressure.highest_late_class, static_cast<std::uint32_t>(criticality));
}

std::uint32_t RaisedThreshold(std::uint32_t threshold) {
  const std::uint32_t rise =
      std::max(kMinRise, (kRankCount - threshold) / kRiseDivisor);
  return std::min(kRankCount, threshold + rise);
}

}  // namespace

void RecordArrival(ShedRank rank, Pressure& pressure) {
  ++pressure.arrivals[std::min(rank.Value(), kRankCount - 1)];
}

void RecordDequeue(Criticality criticality,
                   Millis wait,
                   Millis queue_target,
                   Pressure& pressure) {
  ++pressure.dequeued;
  pressure.wait_sum += wait.count;
  if (wait > queue_target) {
    RecordLate(criticality, pressure);
  }
}

void RecordExpired(Criticality criticality, Pressure& pressure) {
  ++pressure.expired;
  RecordLate(criticality, pressure);
}

void RecordCompletion(Pressure& pressure) {
  ++pressure.completed;
}

void ShedLessCritical(Criticality refused, Pressure& pressure) {
  const std::uint32_t next_class =
      (static_cast<std::uint32_t>(refused) + 1) * kRanksPerClass;
  pressure.threshold = std::min(pressure.threshold, next_class);
}

bool UpdatePressure(Millis queue_target,
                    Millis now,
                    bool is_busy,
                    Pressure& pressure) {
  if (now - pressure.window_start < kPressureWindow) {
    return false;
  }
  const std::uint32_t before = pressure.threshold;
  const std::int64_t mean_wait =
      pressure.dequeued == 0 ? 0 : pressure.wait_sum / pressure.dequeued;
  const bool is_over =
      is_busy && (mean_wait > queue_target.count || pressure.expired > 0);
  if (is_over) {
    const double offered = std::max<double>(1, pressure.completed) * kHeadroom;
    const bool has_enough_completions = pressure.completed >= kMinCompletions;
    const std::uint32_t min_threshold =
        has_enough_completions ? 0
                               : pressure.highest_late_class * kRanksPerClass;
    const std::uint32_t wanted =
        std::max(min_threshold, ThresholdFor(offered, pressure));
    pressure.threshold = std::min(pressure.threshold, wanted);
  } else if (mean_wait * 2 <= queue_target.count) {
    pressure.threshold = RaisedThreshold(pressure.threshold);
  }
  ResetWindow(now, pressure);
  return pressure.threshold != before;
}

bool IsBelowThreshold(ShedRank rank, const Pressure& pressure) {
  return rank.Value() < pressure.threshold;
}

std::uint32_t LevelOf(const Pressure& pressure) {
  return kRankCount - pressure.threshold;
}

bool IsShedAt(std::uint32_t level, ShedRank rank) {
  return rank.Value() >= kRankCount - std::min(level, kRankCount);
}

Millis RetryAfter(std::uint32_t level) {
  const std::int64_t span = kMaxRetryAfter.count - kMinRetryAfter.count;
  return kMinRetryAfter +
         Millis{span * std::min(level, kRankCount) / kRankCount};
}

}  // namespace almondlink::control
