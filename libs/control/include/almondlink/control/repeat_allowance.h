#ifndef ALMONDLINK_CONTROL_REPEAT_ALLOWANCE_H_
#define ALMONDLINK_CONTROL_REPEAT_ALLOWANCE_H_

#include <array>
#include <cstdint>

#include "almondlink/base/clock.h"

/// How often one node may send requests of a service to a second target.
///
/// The bound is on all nodes together: in any window, repeats at a service stay
/// within a ratio of the requests for it plus a fixed number. Each node keeps
/// to the ratio of its own requests and to its part of the fixed number, so
/// that the sum holds without a message between nodes, also when a node starts
/// anew with an empty window.
///
/// When targets fail more than may be made good, repeats spread evenly save
/// nobody: a chain of five calls of which each is refused by half and a fifth
/// of those is sent again ends whole in 5 of 100. So what is left goes to some
/// requests only, the same ones at all nodes and in all calls of their chains:
/// those of the most urgent routes first, and within a route those whose root
/// has a low hash.
namespace almondlink::control {

/// The bound for the whole system.
struct RepeatRules {
  double ratio = 0.2;
  Millis window{10'000};
  double fixed = 0;
  std::uint32_t nodes = 1;
  /// Part of the bound that is used: the rest is for windows that slide
  /// differently from ours and for nodes that started anew within one.
  double used_part = 0.5;
  /// Part of what the ratio allows that is kept for the first in order: the
  /// last in order is sent again only while no more than the rest was taken.
  /// The fixed number is for everyone: where requests are few, so are failures.
  double kept_part = 0.9;
};

/// Place of a request in the order in which repeats are given when few are
/// left, from 0 (first) to 1. `root_hash` is of the id of its root request.
double RepeatPlace(std::uint32_t priority, std::uint64_t root_hash);

constexpr std::size_t kAllowanceSlots = 10;

/// Requests and repeats of one service in the window, in slots of a tenth.
/// Plain data; one thread at a time.
struct RepeatAllowance {
  std::array<std::uint32_t, kAllowanceSlots> requests{};
  std::array<std::uint32_t, kAllowanceSlots> repeats{};
  std::int64_t slot = 0;
};

/// Notes a request that was sent to a target for the first time.
void NoteRequest(const RepeatRules& rules,
                 Millis now,
                 RepeatAllowance& allowance);

/// Notes a repeat that was made anyway, such as a call of a run that is itself
/// a repeat.
void NoteRepeat(const RepeatRules& rules,
                Millis now,
                RepeatAllowance& allowance);

/// Repeats that may still be made now; below 0 if more were made than allowed.
double RepeatsLeft(const RepeatRules& rules,
                   Millis now,
                   RepeatAllowance& allowance);

/// Takes one repeat; false if there is none left for a request at `place`.
bool TakeRepeat(const RepeatRules& rules,
                double place,
                Millis now,
                RepeatAllowance& allowance);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_REPEAT_ALLOWANCE_H_
