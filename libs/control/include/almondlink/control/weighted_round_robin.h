#ifndef ALMONDLINK_CONTROL_WEIGHTED_ROUND_ROBIN_H_
#define ALMONDLINK_CONTROL_WEIGHTED_ROUND_ROBIN_H_

#include <cstddef>
#include <vector>

/// Assigns the requests of a split route to its parts.
///
/// Smooth weighted round robin: on each request every part gains credit equal
/// to its weight, and the part with the most credit is chosen and pays the sum
/// of all weights. After any number of requests each part has received its
/// share by weight, within a deviation of about the number of parts. The choice
/// is made before a target is chosen and is independent of the targets: a part
/// whose targets are overloaded or restart gets fewer answers, but its requests
/// are never moved to another part.
namespace almondlink::control {

/// State of one split route on one node. Not thread safe.
struct WeightedRoundRobin {
  /// Credit of each part, in units of the weights; empty before the first
  /// request.
  std::vector<double> credits;
};

/// Returns the index of the part for the next request. `weights` has one
/// non-negative entry per part, at least one of them above 0. `draws` has as
/// many random numbers in [0, 1); they set the initial credits, on the first
/// request and when the number of parts changes. Without them all nodes would
/// send their first requests to the same part.
std::size_t NextPart(const std::vector<double>& weights,
                     const std::vector<double>& draws,
                     WeightedRoundRobin& state);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_WEIGHTED_ROUND_ROBIN_H_
