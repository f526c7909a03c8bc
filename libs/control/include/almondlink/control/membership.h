#ifndef ALMONDLINK_CONTROL_MEMBERSHIP_H_
#define ALMONDLINK_CONTROL_MEMBERSHIP_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "almondlink/base/clock.h"
#include "almondlink/base/ids.h"
#include "almondlink/wire/messages.generated.h"

/// Group membership based on SWIM (Das, Gupta, Motivala 2002), as functions
/// over a table.
///
/// Updates about a node are ordered by (incarnation, version, state), where
/// alive < suspect < failed < left. Only the node itself increases its
/// incarnation and version; others may only raise the state that it last
/// announced. Tables therefore converge to the same content in whatever order
/// messages arrive, and a node that learns that it is suspected refutes that
/// with a higher version. An old incarnation never replaces a newer one.
namespace almondlink::control {

enum class MemberState : std::uint32_t {
  kAlive = 0,
  kSuspect = 1,
  kFailed = 2,
  kLeft = 3,
};

/// Parameters of the protocol.
struct MembershipRules {
  Millis suspect_timeout{3000};
  /// Retention of a failed or left member, so that stale updates do not bring
  /// it back.
  Millis tombstone{10 * 60 * 1000};
  /// Updates per datagram.
  std::size_t updates_per_message = 6;
  /// Transmissions of an update, per binary digit of the group size.
  std::uint32_t retransmit_factor = 3;
  /// Maximum number of members in the table.
  std::size_t max_members = 20'000;
};

/// One member as this node knows it.
struct MemberEntry {
  wire::Member member;
  /// When the entry last changed at this node.
  Millis changed_at;
  /// How often the update has been sent.
  std::uint32_t transmissions = 0;
};

/// All members, including this node. Plain data; one thread at a time.
struct Membership {
  NodeId self;
  std::map<std::string, MemberEntry> members;
  /// Order of probes, shuffled each round.
  std::vector<std::string> probe_order;
  std::size_t probe_next = 0;
};

/// Result of a merge.
struct MergeResult {
  bool is_changed = false;
  /// This node refuted an update about itself; its own entry must be sent on.
  bool is_refuted = false;
};

/// Initializes a table that contains only this node.
void StartMembership(const wire::Member& self,
                     Millis now,
                     Membership& membership);

/// This node's own entry.
const wire::Member& SelfMember(const Membership& membership);

/// Announces a change of this node itself (draining, slots, leaving).
void AnnounceSelf(const wire::Member& changed,
                  Millis now,
                  Membership& membership);

/// Merges an update about one node.
MergeResult MergeMember(const MembershipRules& rules,
                        const wire::Member& update,
                        Millis now,
                        Membership& membership);

/// Marks a member suspect after an unanswered probe. Returns true if its state
/// changed.
bool SuspectMember(const std::string& node, Millis now, Membership& membership);

/// Fails the suspects that did not refute in time and removes expired
/// tombstones. Returns the nodes that failed in this call.
std::vector<std::string> ExpireMembers(const MembershipRules& rules,
                                       Millis now,
                                       Membership& membership);

/// The next member to probe: each living one once per round, in random order.
/// `draw` is uniform in [0, 1).
std::optional<wire::Member> NextProbe(double draw, Membership& membership);

/// A random member that is considered failed, to be probed anyway: after a
/// partition both sides consider the other failed, and only a message between
/// the sides corrects that. `draw` is uniform in [0, 1).
std::optional<wire::Member> PickFailed(double draw,
                                       const Membership& membership);

/// Up to `count` alive members for an indirect probe, without this node and
/// `except`. `draw` is uniform in [0, 1).
std::vector<wire::Member> PickHelpers(const std::string& except,
                                      std::size_t count,
                                      double draw,
                                      const Membership& membership);

/// The updates to send with the next message, those with the fewest
/// transmissions first. Each update is sent at most retransmit_factor *
/// ceil(log2(members + 1)) times.
std::vector<wire::Member> PickUpdates(const MembershipRules& rules,
                                      Membership& membership);

/// Number of living members (alive or suspect), including this node.
std::size_t LivingCount(const Membership& membership);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_MEMBERSHIP_H_
