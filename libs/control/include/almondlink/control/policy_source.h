#ifndef ALMONDLINK_CONTROL_POLICY_SOURCE_H_
#define ALMONDLINK_CONTROL_POLICY_SOURCE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "almondlink/base/clock.h"

/// Chooses which nodes follow the policy source, and which node the others
/// fetch the policy from.
///
/// If every node followed the source, each change would cost one call and one
/// copy of the policy per node. Instead, only the first few nodes of each
/// availability zone follow it, in an order that all nodes compute alike from
/// the set of reachable nodes. Each follower announces the number of a new
/// version to all nodes, and a node with an older version requests the policy
/// from one node, in its own zone if possible. A change costs the calls of the
/// followers, and the policy crosses zones only if the followers of a zone
/// cannot read the source. For 96 nodes in five zones this is 10 calls per
/// change instead of 96.
///
/// A lost follower is replaced as soon as its link is lost. A follower that
/// cannot read the source announces that, and the next node in the order
/// follows as well. A node that is cut off from all others is first in its own
/// order and follows the source itself.
namespace almondlink::control {

/// Limits and delays of following the policy source.
struct FollowRules {
  /// Followers per zone that can read the source. If one is lost at the moment
  /// of a change, the other remains; if both are, zones serve each other.
  std::uint32_t followers = 2;
  /// Maximum number of nodes per zone that try to follow, so that an outage of
  /// the source does not make all nodes call it.
  std::uint32_t max_tried = 6;
  /// Delay after the announcement of a new version before a node of another
  /// zone is asked: a follower of the own zone reads the source at the same
  /// time as the others.
  Millis other_zone_delay{150};
  /// A node that was asked and has not sent the policy within this time is
  /// skipped. A megabyte takes 0.04 s on a 200 Mbit/s link, and several nodes
  /// may be waiting.
  Millis reply_timeout{400};
  /// Pause between requests after a policy that this node could not read.
  Millis unreadable_backoff{1000};
};

/// Whether a node follows the source. `before`: reachable nodes of its zone
/// that precede it in the order; `before_with_source`: those of them that can
/// read the source.
bool FollowsSource(const FollowRules& rules,
                   std::uint32_t before,
                   std::uint32_t before_with_source);

/// A reachable node that announced a version.
struct PolicyOffer {
  std::uint64_t version = 0;
  bool is_own_zone = false;
  /// The node was already asked for a newer policy and has not sent it.
  bool is_requested = false;
};

/// Index of the offer to ask, or none. `own_version`: 0 if the node has no
/// policy, and then it asks any node at once. `known_for`: time since a newer
/// version was first announced. `draw`, uniform in [0, 1), spreads the requests
/// over the offers. Returns none once all were asked without success; the
/// caller then starts over.
std::optional<std::size_t> ChooseOffer(const FollowRules& rules,
                                       std::uint64_t own_version,
                                       const std::vector<PolicyOffer>& offers,
                                       Millis known_for,
                                       double draw);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_POLICY_SOURCE_H_
