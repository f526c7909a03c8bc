#ifndef ALMONDLINK_CONTROL_PRESSURE_H_
#define ALMONDLINK_CONTROL_PRESSURE_H_

#include <array>
#include <cstdint>

#include "almondlink/base/clock.h"
#include "almondlink/control/shed_rank.h"

/// Pressure level of one target: the number of ranks (see shed_rank.h) that it
/// sheds.
///
/// Requests with a rank below `threshold` may enter the queue, others are
/// refused at once. The threshold is updated once per window:
///
/// - If the queue wait is above its target, the threshold falls to the highest
///   rank whose cumulative arrivals do not exceed what the target completed in
///   the window. This reaches the right level in one step.
/// - A window with almost no completions, as at the start of a surge on a cold
///   target, does not show how much fits. The threshold then does not fall
///   below a class in which no request waited too long.
/// - If the wait is below half of its target, the threshold rises by a quarter
///   of the ranks still shed, so that pressure ends about a second after its
///   cause.
///
/// The level is sent to the nodes of callers with every answer and decays there
/// within `kLevelLifetime`, so only recent answers keep it up.
namespace almondlink::control {

/// Time in which a received level decays to zero at an entry node.
constexpr Millis kLevelLifetime{1000};
constexpr Millis kPressureWindow{100};

/// Pressure state of one target. Not thread safe.
struct Pressure {
  /// Ranks below this are admitted; kRankCount sheds nothing.
  std::uint32_t threshold = kRankCount;
  Millis window_start;
  std::uint32_t completed = 0;
  std::uint32_t dequeued = 0;
  std::int64_t wait_sum = 0;
  std::uint32_t expired = 0;
  /// The most critical class in which a request waited too long or was evicted
  /// in this window; kCriticalityCount if none.
  std::uint32_t highest_late_class = kCriticalityCount;
  std::array<std::uint32_t, kRankCount> arrivals{};
};

/// Counts an arrival, whether or not it is admitted.
void RecordArrival(ShedRank rank, Pressure& pressure);
/// Records that a request left the queue for the target after `wait`.
/// `queue_target` is the wait above which the class counts as delayed.
void RecordDequeue(Criticality criticality,
                   Millis wait,
                   Millis queue_target,
                   Pressure& pressure);
/// Records that a request was evicted or waited too long.
void RecordExpired(Criticality criticality, Pressure& pressure);
/// Counts a request that the target completed.
void RecordCompletion(Pressure& pressure);

/// Sheds every class less critical than `refused` until the next window, so
/// that no request is refused for load while a less critical one is admitted.
void ShedLessCritical(Criticality refused, Pressure& pressure);

/// Updates the threshold if the window is over and returns whether it changed.
/// Call at arrivals and completions. `is_busy`: the concurrency limit is
/// reached.
bool UpdatePressure(Millis queue_target,
                    Millis now,
                    bool is_busy,
                    Pressure& pressure);

/// Whether a request of this rank may enter the queue.
bool IsBelowThreshold(ShedRank rank, const Pressure& pressure);

/// Pressure level to report to other nodes: the number of ranks shed, 0 to
/// kRankCount.
std::uint32_t LevelOf(const Pressure& pressure);

/// Whether a target with this pressure level refuses the rank.
bool IsShedAt(std::uint32_t level, ShedRank rank);

/// Time after which a refused caller may retry; rises with the level.
Millis RetryAfter(std::uint32_t level);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_PRESSURE_H_
