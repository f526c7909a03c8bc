#ifndef ALMONDLINK_CONTROL_REPEAT_ALLOWANCE_H_
#define ALMONDLINK_CONTROL_REPEAT_ALLOWANCE_H_

#include <array>
#include <cstdint>
#include <vector>

#include "almondlink/base/clock.h"

/// Limits how often nodes resend requests of a service ("repeats").
///
/// The bound covers all nodes together: in any window, the repeats at a service
/// stay within a ratio of its requests plus a fixed number. The requests
/// counted are those of that window, of the window before it or of the window
/// half a window earlier, whichever is largest. When targets start to refuse,
/// call chains are cut short and fewer requests arrive; the bound must not drop
/// with them immediately.
///
/// Each node keeps to the ratio of its own requests and to its share of the
/// fixed number. The sum over the nodes then holds without messages between
/// them, also when a node restarts with an empty window, as long as all nodes
/// had most requests in the same window. Load that moves between nodes breaks
/// that assumption, so nodes that repeat report their counts, and each node
/// also keeps to the bound computed from the sums.
///
/// A repeat counts in every window that contains it, so a node also looks
/// ahead: a repeat sent now must fit into the windows that end later, given the
/// requests known so far. A restarted node learns from its peers what it sent
/// before.
///
/// When targets fail more than repeats can make up for, spreading repeats
/// evenly helps nobody: if each of five calls of a chain is refused with
/// probability one half and a fifth of the refused calls is repeated, 5 % of
/// the chains complete. So the remaining repeats go to some requests only, the
/// same ones at all nodes and in all calls of their chains. The order is: the
/// highest-priority routes; then requests that a single repeat completes; then
/// requests with the most answered calls of their chain, which need the fewest
/// repeats and would lose the most work; then, among equals, a low hash of the
/// root. With chains of four calls, each refused with probability one half,
/// 62.2 % of the most important requests complete, against 55.5 % with the hash
/// alone (third refusal trace of test/replay, mean of twelve seeds). How far
/// down the order repeats are granted follows from the demand of the last
/// second, by rank.
/// Reserving a fixed share for the first in the order instead let the others
/// take a third of a window's bound in the first second of an overload.
namespace almondlink::control {

/// A request that asks to be repeated.
struct RepeatCandidate {
  std::uint32_t priority = 0;
  /// Calls that its root request makes at the service.
  double calls_per_root = 1;
  /// Calls of its chain at the service that have been answered.
  std::uint32_t answered_calls = 0;
  /// Hash of the id of the root request.
  std::uint64_t root_hash = 0;
};

/// The bound for the whole deployment.
struct RepeatRules {
  double ratio = 0.2;
  Millis window{10'000};
  /// Repeats per window that all nodes together may add to the ratio.
  double fixed = 0;
  std::uint32_t nodes = 1;
  /// Share of the ratio that a node uses. The rest covers windows of other
  /// observers that are not aligned with the node's own, and reports that are a
  /// moment old.
  double usable_share = 0.9;
  /// How strictly the order is kept: a request is repeated only if the demand
  /// ranked ahead of it, multiplied by this factor, fits into a whole window.
  /// 0: first come, first served. The fixed number is exempt: where requests
  /// are few, failures are few as well.
  double order_strictness = 0.9;
  /// The node restarted within the window and no peer holds its earlier counts.
  /// It meanwhile uses only `restarted_share` of the ratio, which fits into
  /// what `usable_share` leaves unused.
  bool is_restarted = false;
  double restarted_share = 0.08;
};

/// Rank of a request in the order in which scarce repeats are granted, from 0
/// (first) to 1.
double RepeatRank(const RepeatCandidate& candidate);

/// Slots of a window. The bound holds for windows of any position; a window
/// that starts within a slot is counted a twentieth longer.
constexpr std::int64_t kWindowSlots = 20;
/// Two windows and the current slot, rounded up.
constexpr std::size_t kAllowanceSlots = 48;
/// Number of ranks that are told apart when the demand is counted.
constexpr std::size_t kRankBuckets = 80;

/// Requests and repeats of one service in the last two windows. Plain data; one
/// thread at a time.
struct RepeatAllowance {
  std::array<std::uint32_t, kAllowanceSlots> requests{};
  std::array<std::uint32_t, kAllowanceSlots> repeats{};
  std::int64_t slot = 0;
  /// Repeats restored from an earlier incarnation of the node.
  std::uint32_t restored_repeats = 0;
  /// Repeats asked for in the current slot and in the previous one, by rank.
  std::array<std::uint32_t, kRankBuckets> wanted{};
  std::array<std::uint32_t, kRankBuckets> wanted_previous{};
};

/// Requests of the window that ends now, of the one half a window earlier and
/// of the one before it, and repeats of the window that ends now.
struct RepeatCounts {
  std::uint32_t requests = 0;
  std::uint32_t requests_half_earlier = 0;
  std::uint32_t requests_previous = 0;
  std::uint32_t repeats = 0;
};

/// Counts a request that is sent to a target for the first time.
void RecordRequest(const RepeatRules& rules,
                   Millis now,
                   RepeatAllowance& allowance);

/// Counts a repeat that did not go through TakeRepeat, such as a call made by a
/// run that is itself a repeat.
void RecordRepeat(const RepeatRules& rules,
                  Millis now,
                  RepeatAllowance& allowance);

/// The counts that this node reports to the others.
RepeatCounts WindowCounts(const RepeatRules& rules,
                          Millis now,
                          RepeatAllowance& allowance);

/// Restores the counts that an earlier incarnation of this node last reported
/// to a peer. Its repeats count as made now.
void RestoreCounts(const RepeatRules& rules,
                   Millis now,
                   const RepeatCounts& reported,
                   RepeatAllowance& allowance);

/// The bound of one window and the repeats made in it.
struct RepeatCapacity {
  double bound = 0;
  double repeats = 0;
  /// The part of the bound that grows with the requests.
  double bound_by_ratio = 0;
};

/// The window of this node with the least capacity left, among those that end
/// now or later.
RepeatCapacity CapacityForRepeats(const RepeatRules& rules,
                                  Millis now,
                                  RepeatAllowance& allowance);

/// Whether the sums of the counts that all nodes reported allow one more
/// repeat.
bool HasSharedCapacity(const RepeatRules& rules, const RepeatCounts& sums);

/// Repeats that all nodes together use in a window, given the sums of their
/// counts: the bound less what each node leaves unused.
double PlannedRepeatBound(const RepeatRules& rules, const RepeatCounts& sums);

/// Takes one repeat. Returns false if none is left for a request of this rank.
/// Counts towards the demand in either case.
bool TakeRepeat(const RepeatRules& rules,
                double rank,
                Millis now,
                RepeatAllowance& allowance);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_REPEAT_ALLOWANCE_H_
