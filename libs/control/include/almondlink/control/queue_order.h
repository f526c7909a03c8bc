#ifndef ALMONDLINK_CONTROL_QUEUE_ORDER_H_
#define ALMONDLINK_CONTROL_QUEUE_ORDER_H_

#include <cstdint>
#include <map>
#include <utility>

#include "almondlink/base/clock.h"
#include "almondlink/control/service_time.h"

/// Order of the calls that are queued at a target, and when a call leaves the
/// queue because it can no longer complete.
///
/// Calls are ordered earliest deadline first, by their latest useful start. An
/// order by priority alone lets the calls of admitted requests wait behind
/// every call of a more urgent class for as long as the target is full, until
/// they time out after their request has used capacity.
namespace almondlink::control {

/// Latest useful starts in the same slice of this length count as equal and are
/// ordered by priority.
constexpr Millis kDueSlice{50};

/// Until when a queued call may start.
struct StartLimits {
  Millis deadline;
  /// End of the wait that the sender allows; not after `deadline`.
  Millis wait_until;
};

/// Latest start with which a call that runs for `min_run` ends by its deadline
/// and has not waited longer than the sender allows. Thread safe.
Millis LatestStart(const StartLimits& limits, LatencyMs min_run);

/// Whether a queued call may still start at `now`. Thread safe.
bool CanStart(Millis now, const StartLimits& limits, LatencyMs min_run);

/// Sort key of a queued call, fixed when it arrives.
struct QueueKey {
  /// Latest useful start, and the slice that it lies in. Both are 0 where calls
  /// are ordered by priority alone.
  Millis latest_start;
  std::int64_t slice = 0;
  /// Priority of the root request; 0 is the most urgent.
  std::uint8_t priority = 0;
  std::uint8_t depth = 0;
  /// Number of the call in the order of arrival.
  std::uint64_t arrival = 0;
};

/// Properties of a call that its key is made of.
struct QueuedCall {
  Millis latest_start;
  std::uint8_t priority = 0;
  std::uint8_t depth = 0;
  std::uint64_t arrival = 0;
};

/// Key that orders calls by latest useful start, then priority, then depth
/// (deeper first), then arrival. Precondition: `latest_start` is not negative.
/// Thread safe.
QueueKey KeyByDue(const QueuedCall& call);
/// Key that orders calls by priority, then depth, then arrival. Thread safe.
QueueKey KeyByPriority(const QueuedCall& call);

/// Order in which queued calls are run. Thread safe.
struct RunsBefore {
  bool operator()(const QueueKey& a, const QueueKey& b) const;
};

/// Order in which queued calls are kept when the queue is too long: by
/// priority, then the earlier latest start, then depth, then arrival. The last
/// call in this order is the least useful one. Thread safe.
struct KeptBefore {
  bool operator()(const QueueKey& a, const QueueKey& b) const;
};

/// Run times at one target by kind of call. Not thread safe.
struct RunEstimates {
  /// By called route and class of the root request. The class is 0 where the
  /// called route is known: it determines the work of a call.
  std::map<std::pair<std::uint32_t, std::uint32_t>, ServiceTime> by_kind;
};

/// Kind of a call: `route` is the key of the called route, 0 if the sender did
/// not state it.
struct CallKind {
  std::uint32_t route = 0;
  std::uint32_t root_route = 0;
};

/// Records the time of a completed run. Not thread safe.
void RecordRun(Millis now,
               const CallKind& kind,
               LatencyMs time,
               RunEstimates& estimates);

/// Records a run that was cut off at its deadline after `time`. Only a time
/// above the mean says something about the duration of complete runs. Not
/// thread safe.
void RecordCutRun(Millis now,
                  const CallKind& kind,
                  LatencyMs time,
                  RunEstimates& estimates);

/// Likely shortest run time of such calls; 0 if it is not known, see
/// LikelyMinServiceTime(). Thread safe as long as `estimates` is not changed.
LatencyMs LikelyMinRun(Millis now,
                       const CallKind& kind,
                       const RunEstimates& estimates);

/// Removes estimates of kinds of calls that have not been run for seconds. Not
/// thread safe.
void ExpireRuns(Millis now, RunEstimates& estimates);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_QUEUE_ORDER_H_
