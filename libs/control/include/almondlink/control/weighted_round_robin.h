#ifndef ALMONDLINK_CONTROL_WEIGHTED_ROUND_ROBIN_H_
#define ALMONDLINK_CONTROL_WEIGHTED_ROUND_ROBIN_H_

#include <cstddef>
#include <vector>

/// Which part of a divided route a request belongs to.
///
/// Smooth weighted turns: each part gains its weight, the one that is furthest
/// ahead has the turn and pays the sum of all weights. So after any number of
/// turns each part has had its weight's share of them, give or take the number
/// of parts. The turn is taken before anything is known of the targets and
/// never depends on them: a part that is short of room, or whose targets
/// restart, gets fewer answers, but no request of its is moved to another part.
namespace almondlink::control {

/// State of one route on one node. Not thread safe.
struct WeightedRoundRobin {
  /// How far each part is ahead, in weights; empty before the first turn.
  std::vector<double> credits;
};

/// Number of the part whose turn it is. `weights`: one for each part, not
/// negative, at least one above 0. `draws`: as many numbers in [0, 1); they say
/// where a node begins, used on the first turn and when the number of parts
/// changed. Nodes must begin at different places, or all would send their first
/// requests to the same part.
std::size_t NextPart(const std::vector<double>& weights,
                     const std::vector<double>& draws,
                     WeightedRoundRobin& turns);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_WEIGHTED_ROUND_ROBIN_H_
