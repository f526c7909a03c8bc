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

/// Membership after SWIM (Das, Gupta, Motivala 2002) as functions over a table.
///
/// What is said of a node is ordered by (incarnation, version, state), where
/// alive < suspect < failed < left. Only the node itself raises its version or
/// incarnation; others may only raise the state of what it announced last. So
/// whatever order messages come in, all tables end at the same content, and a
/// node that hears itself suspected refutes it with a higher version. An old
/// incarnation can never replace a newer one.
namespace almondlink::control {

enum class MemberState : std::uint32_t {
  kAlive = 0,
  kSuspect = 1,
  kFailed = 2,
  kLeft = 3,
};

/// Constants of the protocol.
struct MembershipRules {
  Millis suspect_timeout{3000};
  /// How long a failed or left member is remembered, so that old news of it
  /// does not bring it back.
  Millis tombstone{10 * 60 * 1000};
  /// Updates in one datagram.
  std::size_t updates_per_message = 6;
  /// Times an update is passed on, per binary digit of the group's size.
  std::uint32_t retransmit_factor = 3;
  /// Most members that are kept.
  std::size_t max_members = 20'000;
};

/// One member as this node knows it.
struct MemberEntry {
  wire::Member member;
  /// When the state changed here.
  Millis changed_at;
  /// Times the update was passed on.
  std::uint32_t transmissions = 0;
};

/// All members, this node included. Plain data; one thread at a time.
struct Membership {
  NodeId self;
  std::map<std::string, MemberEntry> members;
  /// Order of probes, shuffled each round.
  std::vector<std::string> probe_order;
  std::size_t probe_next = 0;
};

/// What a merge did.
struct MergeResult {
  bool is_changed = false;
  /// This node refuted news of itself; its own entry is to be passed on.
  bool is_refuted = false;
};

/// Starts a table that holds only this node.
void StartMembership(const wire::Member& self,
                     Millis now,
                     Membership& membership);

/// This node's own entry.
const wire::Member& SelfMember(const Membership& membership);

/// Announces a change of this node itself (draining, slots, leaving).
void AnnounceSelf(const wire::Member& changed,
                  Millis now,
                  Membership& membership);

/// Merges news of one node.
MergeResult MergeMember(const MembershipRules& rules,
                        const wire::Member& update,
                        Millis now,
                        Membership& membership);

/// Marks a member suspect after a probe went unanswered. True if changed.
bool SuspectMember(const std::string& node, Millis now, Membership& membership);

/// Suspects that did not refute in time fail; old tombstones go. Returns the
/// nodes that failed now.
std::vector<std::string> ExpireMembers(const MembershipRules& rules,
                                       Millis now,
                                       Membership& membership);

/// The next member to probe: each living one once per round, in random order.
/// `draw` is uniform in [0, 1).
std::optional<wire::Member> NextProbe(double draw, Membership& membership);

/// A member held failed, to be asked whether it really is: after a partition
/// both sides hold the other failed, and only a message across ends that.
std::optional<wire::Member> PickFailed(double draw,
                                       const Membership& membership);

/// Up to `count` living members other than this node and `except`.
std::vector<wire::Member> PickHelpers(const std::string& except,
                                      std::size_t count,
                                      double draw,
                                      const Membership& membership);

/// The updates to put on the next message: the least passed on, each at most
/// spread_factor * log2(members + 1) times.
std::vector<wire::Member> PickUpdates(const MembershipRules& rules,
                                      Membership& membership);

/// Living members (alive or suspect).
std::size_t LivingCount(const Membership& membership);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_MEMBERSHIP_H_
