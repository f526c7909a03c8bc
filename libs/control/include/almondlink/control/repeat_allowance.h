#ifndef ALMONDLINK_CONTROL_REPEAT_ALLOWANCE_H_
#define ALMONDLINK_CONTROL_REPEAT_ALLOWANCE_H_

#include <array>
#include <cstdint>
#include <vector>

#include "almondlink/base/clock.h"

/// How often the nodes may send requests of a service once more.
///
/// The bound is on all nodes together: in any window, repeats at a service stay
/// within a ratio of the requests for it plus a fixed number. The requests are
/// those of that window, of the one before it, or of the one half a window
/// before it, whichever has most: when targets begin to turn requests away,
/// chains of calls die early and fewer requests come, and the bound does not
/// fall with them at once.
///
/// Each node keeps to the ratio of its own requests and to its part of the
/// fixed number. So the sum over nodes holds without a message between them,
/// also when a node starts anew with an empty window, as long as all nodes had
/// most requests in the same window. Load that moves from node to node makes
/// them differ, so nodes that repeat tell their counts, and each also keeps to
/// the bound worked out from the sums.
///
/// A repeat is counted in every window that will hold it, so a node also looks
/// ahead: what it sends now must fit into the windows that end later, with the
/// requests that are known of them by now. A node that starts anew learns from
/// its peers what it sent before.
///
/// When targets fail more than may be made good, repeats spread evenly save
/// nobody: a chain of five calls of which each is refused by half and a fifth
/// of those is sent again ends whole in 5 of 100. So what is left goes to some
/// requests only, the same ones at all nodes and in all calls of their chains:
/// those of the most urgent routes first, then those that one repeat makes
/// whole, then those with the most calls of their chain behind them, which need
/// the fewest more and would lose the most, and among equals those whose root
/// has a low hash. With chains of four calls of which each is refused by half
/// 0.622 of the most valued end whole, 0.555 by the hash alone (test/replay,
/// the third trace of targets that refuse, means of twelve seeds). Where the
/// order ends is worked out from what is asked for, by place, in the last
/// second: keeping a fixed part for the first in order let the others take a
/// third of a window's bound in the first second of a trouble.
namespace almondlink::control {

/// What a request is that asks to be sent once more.
struct RepeatCandidate {
  std::uint32_t priority = 0;
  /// How many calls its root makes at the service.
  double calls_per_root = 1;
  /// Calls of its chain that have been answered there already.
  std::uint32_t answered_calls = 0;
  /// Of the id of its root request.
  std::uint64_t root_hash = 0;
};

/// The bound for the whole system.
struct RepeatRules {
  double ratio = 0.2;
  Millis window{10'000};
  double fixed = 0;
  std::uint32_t nodes = 1;
  /// Part of what the ratio allows that is used: the rest is for windows that
  /// slide differently from ours and for what nodes told a moment ago.
  double usable_share = 0.9;
  /// How strictly the order is kept: a request is sent again only if what it
  /// and those before it in order ask for, times this part, would fit into a
  /// whole window. 0: whoever asks first. The fixed number is for everyone:
  /// where requests are few, so are failures.
  double order_strictness = 0.9;
  /// The node started anew within the window and nobody remembers what it sent
  /// before: as much of the ratio as `used_part` leaves is used meanwhile.
  bool is_restarted = false;
  double restarted_share = 0.08;
};

/// Place of a request in the order in which repeats are given when few are
/// left, from 0 (first) to 1.
double RepeatRank(const RepeatCandidate& candidate);

/// Slots of a window; any span counts, and a window that begins within a slot
/// is a twentieth longer here.
constexpr std::int64_t kWindowSlots = 20;
/// Two windows and the current slot, rounded up.
constexpr std::size_t kAllowanceSlots = 48;
/// Places in the order that are told apart when wants are counted.
constexpr std::size_t kRankBuckets = 80;

/// Requests and repeats of one service in the last two windows. Plain data; one
/// thread at a time.
struct RepeatAllowance {
  std::array<std::uint32_t, kAllowanceSlots> requests{};
  std::array<std::uint32_t, kAllowanceSlots> repeats{};
  std::int64_t slot = 0;
  /// Repeats taken over from an earlier start of the node.
  std::uint32_t restored_repeats = 0;
  /// Repeats asked for in the current slot and the one before, by place.
  std::array<std::uint32_t, kRankBuckets> wanted{};
  std::array<std::uint32_t, kRankBuckets> wanted_previous{};
};

/// Requests of the window that ends now, of the one half a window before it and
/// of the one before it, and repeats of the window that ends now.
struct RepeatCounts {
  std::uint32_t requests = 0;
  std::uint32_t requests_half_earlier = 0;
  std::uint32_t requests_previous = 0;
  std::uint32_t repeats = 0;
};

/// Notes a request that is sent to a target for the first time.
void RecordRequest(const RepeatRules& rules,
                   Millis now,
                   RepeatAllowance& allowance);

/// Notes a repeat that was made anyway, such as a call of a run that is itself
/// a repeat.
void RecordRepeat(const RepeatRules& rules,
                  Millis now,
                  RepeatAllowance& allowance);

/// What this node tells the others.
RepeatCounts WindowCounts(const RepeatRules& rules,
                          Millis now,
                          RepeatAllowance& allowance);

/// Takes over what an earlier start of this node told another one last, as if
/// its repeats were made just now.
void RestoreCounts(const RepeatRules& rules,
                   Millis now,
                   const RepeatCounts& reported,
                   RepeatAllowance& allowance);

/// What a node may do now, and has done.
struct RepeatCapacity {
  double bound = 0;
  double repeats = 0;
  /// The part of the bound that grows with the requests.
  double bound_by_ratio = 0;
};

/// The window of this node that is tightest, of those that end now or later.
RepeatCapacity CapacityForRepeats(const RepeatRules& rules,
                                  Millis now,
                                  RepeatAllowance& allowance);

/// Whether the sums of what nodes told leave room for one more.
bool HasSharedCapacity(const RepeatRules& rules, const RepeatCounts& sums);

/// Takes one repeat; false if there is none left for a request at `place`. Asks
/// in any case.
bool TakeRepeat(const RepeatRules& rules,
                double rank,
                Millis now,
                RepeatAllowance& allowance);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_REPEAT_ALLOWANCE_H_
