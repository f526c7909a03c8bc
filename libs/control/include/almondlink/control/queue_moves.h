#ifndef ALMONDLINK_CONTROL_QUEUE_MOVES_H_
#define ALMONDLINK_CONTROL_QUEUE_MOVES_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "almondlink/base/clock.h"
#include "almondlink/control/decision_sums.h"

/// Which queued calls of a target are returned to their senders so that another
/// target of the service runs them.
///
/// Each node decides for the target beside it. A node must not return more than
/// the others can take: many nodes see the same free slots, and calls that all
/// of them return at once would only change the queue that they wait in.
namespace almondlink::control {

/// A call that is expected to wait no longer than this stays: that is about
/// what a return and another send cost.
constexpr double kMinMoveWaitMs = 25;

/// How the state of the other targets is known. Not thread safe.
struct MoveRules {
  /// Interval of the bound on moves.
  Millis interval;
  /// Number of interval starts that the state of the others may lag behind. A
  /// node counts only calls that were waiting at all of them: with its newer
  /// and higher figure, each of many targets that become slow at once would
  /// take its fraction for larger than the others see it.
  std::uint32_t lag = 0;
};
/// Where nodes send their loads to each other; a busy node does so every 200
/// ms.
constexpr MoveRules kMovesByReports{Millis{200}, 1};
/// Where loads are summed. Totals are up to three intervals old.
constexpr MoveRules kMovesBySums{kDecisionInterval, 3};

/// State of the other targets of a service.
struct LoadElsewhere {
  double free_slots = 0;
  double waiting = 0;
};

/// State of one target.
struct TargetLoad {
  std::uint32_t slots = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
};

/// Adds another target. `sent_since`: calls that were sent there and are not
/// part of its reported load. Not thread safe.
void AddTargetElsewhere(const TargetLoad& target,
                        std::uint32_t sent_since,
                        LoadElsewhere& elsewhere);

/// State of the other targets of `service` by the sums of all zones. `own`:
/// what the target beside this node, in zone `own_zone`, contributes to them;
/// its slots are weighted by its speed as those of the sums are. Thread safe as
/// long as `zones` is not changed.
LoadElsewhere ElsewhereOf(const std::map<ZoneService, ZoneLoad>& zones,
                          std::uint32_t service,
                          std::uint32_t own_zone,
                          const ZoneLoad& own);

/// What one node returned in the current interval. Not thread safe.
struct MoveBudget {
  Millis interval_start;
  std::uint32_t returned = 0;
  /// Waiting calls at the starts of this and earlier intervals, the latest
  /// last.
  std::vector<std::uint32_t> waiting_at_starts;
};

/// Number of queued calls that the node may return in one interval: its
/// fraction of all waiting calls, of half of the free slots elsewhere. The
/// nodes of a service together return at most half of the free slots. Thread
/// safe.
std::uint32_t MaxMoves(std::uint32_t waiting, const LoadElsewhere& elsewhere);

/// Number of calls that may be returned now; starts another interval if the
/// current one has ended. Call it regularly, also while no call waits. Not
/// thread safe.
std::uint32_t MovesLeft(Millis now,
                        const MoveRules& rules,
                        std::uint32_t waiting,
                        const LoadElsewhere& elsewhere,
                        MoveBudget& budget);

/// Mean duration of runs to expect: that of completed runs, or, if it is
/// longer, the mean time that the runs in progress have taken so far. A target
/// that hangs completes nothing that would show it. Thread safe.
double ExpectedRunMs(double completed_ms, double in_progress_ms);

/// Expected wait in milliseconds of the call with `ahead` others before it in
/// the queue of a full target. Thread safe.
double ExpectedWaitMs(std::uint32_t ahead, std::uint32_t slots, double run_ms);

/// Positions in the queue.
struct MoveChoice {
  std::vector<std::size_t> returned;
  /// Calls that would be returned without the bound on moves.
  std::vector<std::size_t> denied;
};

/// Chooses the queued calls to return: from the front on, those that may move
/// and wait too long, up to `moves` of them. The front is due first, and the
/// wait of those behind shrinks with each call that leaves. `may_move`: by
/// position in the queue. Thread safe.
MoveChoice ChooseMoves(const std::vector<bool>& may_move,
                       std::uint32_t slots,
                       double run_ms,
                       std::uint32_t moves);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_QUEUE_MOVES_H_
