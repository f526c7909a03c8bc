#ifndef ALMONDLINK_CONTROL_POLICY_SOURCE_H_
#define ALMONDLINK_CONTROL_POLICY_SOURCE_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "almondlink/base/clock.h"

/// Who follows the source of the policy, and whom the others have it from.
///
/// If every node follows the source, each change costs a call for each node and
/// the whole text for each. So the first few nodes of each availability zone
/// follow it, in an order that all compute alike from who can be reached; each
/// tells the number of its version to all when it has a new one, and who is
/// behind asks one node for the text, in its own zone if one has it. A change
/// costs the calls of the followers, and the text passes from zone to zone only
/// where a zone's followers cannot read the source. On a fleet of 96 in five
/// zones this is 10 calls a change in place of 96.
///
/// A follower that is lost is replaced as soon as its link is; one that cannot
/// read the source says so and the next one in the order follows too. Nodes
/// that are cut off from all others are first in their order and follow by
/// themselves.
namespace almondlink::control {

struct FollowRules {
  /// Followers that a zone has while they can read the source. One lost at the
  /// moment of a change leaves the other; zones serve each other if both are.
  std::uint32_t followers = 2;
  /// Nodes of a zone that try to follow at most: while the source is away for
  /// all, the rest does not call it in vain.
  std::uint32_t max_tried = 6;
  /// Another zone's node is asked only this long after a new version was told:
  /// an own follower reads the source at the same moment as the others.
  Millis other_zone_delay{150};
  /// A node that was asked and has not sent the text is passed over after this;
  /// a megabyte takes 0.04 s on a link of 200 Mbit/s, several may wait.
  Millis reply_timeout{400};
  /// After a text that this node could not read, nobody is asked for so long.
  Millis unreadable_backoff{1000};
};

/// Whether a node follows the source. `before`: reachable nodes of its zone
/// that come before it; `before_with_source`: those of them that can read the
/// source.
bool FollowsSource(const FollowRules& rules,
                   std::uint32_t before,
                   std::uint32_t before_with_source);

/// A reachable node that told a version.
struct PolicyOffer {
  std::uint64_t version = 0;
  bool is_own_zone = false;
  /// It was asked for a newer policy already and has not sent it.
  bool is_requested = false;
};

/// Number of the offer to ask, or none. `own_version`: 0 if the node knows no
/// policy; it asks anyone at once then. `known_for`: time since a newer version
/// was first told. `draw` in [0, 1): spreads those who ask over the offers.
/// Once all were asked in vain none is left; the caller begins anew.
std::optional<std::size_t> ChooseOffer(const FollowRules& rules,
                                       std::uint64_t own_version,
                                       const std::vector<PolicyOffer>& offers,
                                       Millis known_for,
                                       double draw);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_POLICY_SOURCE_H_
