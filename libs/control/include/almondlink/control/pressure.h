#ifndef ALMONDLINK_CONTROL_PRESSURE_H_
#define ALMONDLINK_CONTROL_PRESSURE_H_

#include <array>
#include <cstdint>

#include "almondlink/base/clock.h"
#include "almondlink/control/shed_rank.h"

/// Pressure level of one target: how many of the ranks it sheds.
///
/// Requests with a rank below `threshold` are offered to the queue, others are
/// refused at once. Once per window the threshold is set anew. If the queue
/// wait stands above its target, the threshold falls to the highest rank whose
/// arrivals, added up from rank 0, do not exceed what the target completed in
/// the window: one step to the right level instead of many small ones. A window
/// with next to no completions (the start of a surge on a cold target) says
/// little of how much fits: the level then does not reach into a class of which
/// no request waited too long. When the wait is below, the threshold rises by a
/// quarter of the ranks still shed, so pressure is gone about a second after
/// its cause. The level goes back to callers' nodes on every answer and is
/// forgotten there after `kLevelLife`, so nothing keeps pressure up but a fresh
/// answer.
namespace almondlink::control {

/// How long an entry node believes a level it was told.
constexpr Millis kLevelLifetime{1000};
constexpr Millis kPressureWindow{100};

/// State of one target's pressure. Plain data; one thread at a time.
struct Pressure {
  /// Ranks below are admitted; kRankCount sheds nothing.
  std::uint32_t threshold = kRankCount;
  Millis window_start;
  std::uint32_t completed = 0;
  std::uint32_t dequeued = 0;
  std::int64_t wait_sum = 0;
  std::uint32_t expired = 0;
  /// The most valued class of which a request waited too long or was evicted in
  /// the window; kCriticalityCount if none was.
  std::uint32_t highest_late_class = kCriticalityCount;
  std::array<std::uint32_t, kRankCount> arrivals{};
};

/// Notes an arrival, whether or not it is admitted.
void RecordArrival(ShedRank rank, Pressure& pressure);
/// Notes that a request of that class left the queue for the target after
/// `wait`.
void RecordDequeue(Criticality criticality,
                   Millis wait,
                   Millis queue_target,
                   Pressure& pressure);
/// Notes a request of that class that was evicted or waited too long.
void RecordExpired(Criticality criticality, Pressure& pressure);
/// Notes that the target completed a request.
void RecordCompletion(Pressure& pressure);

/// Sheds every class less valued than `refused` until the next window: a class
/// is not refused for load while a lesser one is let in.
void ShedLessCritical(Criticality refused, Pressure& pressure);

/// Sets the threshold anew if the window is over; true if it changed. Call at
/// arrivals and completions. `is_busy`: the concurrency limit is in use.
bool UpdatePressure(Millis queue_target,
                    Millis now,
                    bool is_busy,
                    Pressure& pressure);

/// Whether a request of that rank may be offered to the queue.
bool IsBelowThreshold(ShedRank rank, const Pressure& pressure);

/// The level told to others: ranks shed, 0 to kRankCount.
std::uint32_t LevelOf(const Pressure& pressure);

/// Whether a level told by a target refuses that rank.
bool IsShedAt(std::uint32_t level, ShedRank rank);

/// When a refused caller should come back: longer the more is shed.
Millis RetryAfter(std::uint32_t level);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_PRESSURE_H_
