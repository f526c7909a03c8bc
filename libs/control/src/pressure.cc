#include "almondlink/control/pressure.h"

#include <algorithm>

namespace almondlink::control {

namespace {

/// Ranks regained per window at least, and the share of those still shed.
constexpr std::uint32_t kLeastRise = 16;
constexpr std::uint32_t kRiseShare = 4;
/// A class that weighs most is never shed whole by a level alone: some of it
/// must arrive so that recovery is seen.
constexpr std::uint32_t kLeastThreshold = 8;
/// More than completed is offered: what is too much waits in the queue by rank,
/// while too little would leave places empty (1.05 to 1.3 were measured).
constexpr double kHeadroom = 1.2;
/// Completions in a window below which their number is chance, and says nothing
/// about how far into a class the level should reach.
constexpr std::uint32_t kLeastToJudge = 3;
constexpr Millis kShortestRetryAfter{200};
constexpr Millis kLongestRetryAfter{2000};

std::uint32_t ThresholdFor(double offered, const Pressure& pressure) {
  double sum = 0;
  for (std::uint32_t rank = 0; rank < kRankCount; ++rank) {
    sum += pressure.arrivals[rank];
    if (sum > offered) {
      return std::max(rank, kLeastThreshold);
    }
  }
  return kRankCount;
}

void Restart(Millis now, Pressure& pressure) {
  pressure.window_start = now;
  pressure.completed = 0;
  pressure.dequeued = 0;
  pressure.wait_sum = 0;
  pressure.expired = 0;
  pressure.first_late = kCriticalityCount;
  pressure.arrivals.fill(0);
}

void NoteLate(Criticality criticality, Pressure& pressure) {
  pressure.first_late =
      std::min(pressure.first_late, static_cast<std::uint32_t>(criticality));
}

std::uint32_t Raised(std::uint32_t threshold) {
  const std::uint32_t rise =
      std::max(kLeastRise, (kRankCount - threshold) / kRiseShare);
  return std::min(kRankCount, threshold + rise);
}

}  // namespace

void NoteArrival(ShedRank rank, Pressure& pressure) {
  ++pressure.arrivals[std::min(rank.Value(), kRankCount - 1)];
}

void NoteDequeue(Criticality criticality,
                 Millis wait,
                 Millis queue_target,
                 Pressure& pressure) {
  ++pressure.dequeued;
  pressure.wait_sum += wait.count;
  if (wait > queue_target) {
    NoteLate(criticality, pressure);
  }
}

void NoteExpired(Criticality criticality, Pressure& pressure) {
  ++pressure.expired;
  NoteLate(criticality, pressure);
}

void NoteCompletion(Pressure& pressure) {
  ++pressure.completed;
}

void ShedBelow(Criticality refused, Pressure& pressure) {
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
    const bool is_judged = pressure.completed >= kLeastToJudge;
    const std::uint32_t kept =
        is_judged ? 0 : pressure.first_late * kRanksPerClass;
    const std::uint32_t wanted =
        std::max(kept, ThresholdFor(offered, pressure));
    pressure.threshold = std::min(pressure.threshold, wanted);
  } else if (mean_wait * 2 <= queue_target.count) {
    pressure.threshold = Raised(pressure.threshold);
  }
  Restart(now, pressure);
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
  const std::int64_t span =
      kLongestRetryAfter.count - kShortestRetryAfter.count;
  return kShortestRetryAfter +
         Millis{span * std::min(level, kRankCount) / kRankCount};
}

}  // namespace almondlink::control
