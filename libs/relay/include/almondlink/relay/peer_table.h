#ifndef ALMONDLINK_RELAY_PEER_TABLE_H_
#define ALMONDLINK_RELAY_PEER_TABLE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "almondlink/base/clock.h"
#include "almondlink/base/error.h"
#include "almondlink/control/policy_source.h"
#include "almondlink/control/target_health.h"
#include "almondlink/relay/peer_frames.h"
#include "almondlink/relay/peer_link.h"
#include "almondlink/relay/relay_settings.h"
#include "almondlink/relay/served_calls.h"

/// The other nodes of the deployment: their addresses, the links to them and
/// the state that they report.
///
/// Every node dials every other node and sends its calls on the link that it
/// dialled. In a large fleet, two nodes share one link for both directions: a
/// node that accepts a link and has none to its peer uses that one, and tells
/// the peer so with its hello. Of each pair one node dials first.
///
/// On a link that it accepted, a node reports its own state: at once
/// after a change that callers must know of, otherwise only its load, a few
/// times a second while its target works and once a second while it is idle, so
/// that a silent link is noticed. Addresses come from outside (a directory),
/// from nodes that dial this one and from the lists that nodes send each other.
namespace almondlink::relay {

/// Information about one node. This node has an entry too.
struct Peer {
  NodeAddress node;
  /// Incarnation before the current one, and the repeat counts that it reported
  /// last; 0 if none is known.
  std::uint64_t previous_incarnation = 0;
  std::vector<ServiceRepeats> previous_repeats;
  /// Whether `reported.repeats` and `previous_repeats` are the counts of the
  /// peer: a peer whose load is summed reports them only to its aggregator.
  bool has_repeat_counts = true;
  bool has_previous_repeats = true;
  bool is_self = false;
  /// The link that this node dialled; null if not connected.
  PeerLinkPointer link;
  bool has_reported = false;
  /// Protocol version of the peer, see HelloFrame.
  std::uint32_t protocol_version = 0;
  /// Last state that the peer reported, with later loads applied, and the time
  /// of the last report.
  StateFrame reported;
  Millis reported_at;
  /// Calls sent to it since `reported_at`, which its reported load does not
  /// include.
  std::uint32_t sent_since_report = 0;
  /// Calls of this node that are waiting for its answer, and since when there
  /// has been at least one.
  std::uint32_t outstanding = 0;
  Millis awaited_since;
  /// When a request other than a call was sent that it must answer at once.
  Millis last_query_at;
  /// Nothing was received on its link for too long while answers are due.
  bool is_suspect = false;
  /// When the last ping was sent, and the first one since anything was received
  /// from it.
  Millis last_pinged;
  Millis first_pinged;
  control::TargetHealth health;
  /// Until when a request to its target would be beyond the target's rate
  /// limit.
  Millis limited_until;
  bool is_dialling = false;
  Millis next_dial;
  Millis dial_backoff;
  /// When the last link was lost, or when the node became known if there was
  /// none.
  Millis disconnected_at;
  /// The last connection attempt was refused: its process has ended, while a
  /// node behind a network partition would not answer.
  bool is_connection_refused = false;
  /// When the policy was last pushed to a peer below kVersionPolicyPull; 0 if
  /// it is up to date.
  Millis policy_pushed_at;
  /// Policy version that was last requested from it; 0 if none.
  std::uint64_t requested_version = 0;

  /// Whether calls can be sent to it now. A peer must have reported its state
  /// first.
  bool IsReachable() const {
    return this->is_self || (this->link != nullptr && this->has_reported &&
                             this->link->IsOpen());
  }
};

using PeerPointer = std::shared_ptr<Peer>;

struct PeerEvents {
  /// A frame on a dialled link that PeerTable does not handle, such as an
  /// answer. Returns false if the type is known and the payload cannot be
  /// decoded; the link is then closed.
  std::function<bool(const PeerPointer&, const RawFrame&)> on_dialled_frame;
  /// A frame on an accepted link that PeerTable does not handle, such as a call
  /// or its cancellation. Return value as above.
  std::function<bool(const PeerLinkPointer&, const RawFrame&)>
      on_accepted_frame;
  std::function<void(LinkId)> on_accepted_closed;
  std::function<void(const PeerPointer&)> on_link_lost;
  /// The node has become suspect, see Peer::is_suspect.
  std::function<void(const PeerPointer&)> on_suspect;
  /// The peer reported its state; `is_first`: for the first time on this link.
  std::function<void(const PeerPointer&, bool is_first)> on_state;
  std::function<void(std::string policy)> on_policy;
  /// A peer reports the state of a target instance of this node that it
  /// recorded, possibly before this node restarted.
  std::function<void(const InstanceRecord&)> on_remembered_instance;
  /// A peer reports the rate limit that a target of this node named, possibly
  /// before this node restarted.
  std::function<void(const control::InstanceIncarnation& incarnation,
                     double per_s)>
      on_remembered_limit;
  /// A peer that had received the state of an earlier incarnation of this node
  /// has told all that it recorded of it.
  std::function<void(const std::string& node)> on_earlier_state_told;
  /// The peer has recorded the leaves of this node up to that revision.
  std::function<
      void(LinkId link, const std::string& node, std::uint64_t revision)>
      on_leaves_confirmed;
  /// A peer knows an earlier incarnation of this node and returns the repeat
  /// counts that it had reported.
  std::function<void(const std::vector<ServiceRepeats>&)> on_previous_repeats;
  /// This node's incarnation number was raised above one that a peer knows.
  std::function<void(std::uint64_t incarnation)> on_incarnation_changed;
  /// Builds the current state of this node.
  std::function<StateFrame()> make_state;
  /// The latest leaves of targets of this node.
  std::function<LeavesFrame()> make_leaves;
  /// The policy in force, in the form that nodes exchange; empty if none.
  std::function<const std::string&()> policy_text;
};

/// Not thread safe: belongs to one loop.
class PeerTable {
 public:
  PeerTable(boost::asio::io_context& loop,
            const RelaySettings& settings,
            std::uint64_t incarnation,
            PeerEvents events);
  ~PeerTable() = default;
  PeerTable(const PeerTable&) = delete;
  PeerTable& operator=(const PeerTable&) = delete;

  /// Starts to accept links at the peer address. Errors: kIo.
  Result<void> Listen();

  /// Adds a node, or updates one whose incarnation is later than the known one;
  /// its link is then dialled anew. True if the node was not known.
  bool AddNode(const NodeAddress& node);

  /// Sends the addresses to all nodes with accepted links.
  void AnnounceNodes(const std::vector<NodeAddress>& nodes);

  /// Sends the current state, or only what changed of it, on all accepted
  /// links. A load alone is not sent to nodes that receive it with the sums.
  void AnnounceState();

  /// Sends the leaves of targets of this node on all accepted links; a link
  /// that is accepted later gets them with the first state.
  void AnnounceLeaves();

  /// Sends the load on all accepted links, for a change that callers must know
  /// of.
  void AnnounceLoad();

  /// The error rate that was last sent to all nodes.
  double AnnouncedErrorRate() const { return this->announced_error_rate; }

  /// Dials nodes without a link, reports state when it is due, checks silent
  /// links and requests missing policies. Call it every 100 ms.
  void Tick(Millis now);

  /// Name, advertised address and incarnation of this node.
  NodeAddress SelfAddress() const { return this->self->node; }
  /// Sets the incarnation that is sent on later links.
  void SetIncarnation(std::uint64_t incarnation) {
    this->self->node.incarnation = incarnation;
  }
  const PeerPointer& SelfPeer() const { return this->self; }
  const std::vector<PeerPointer>& All() const { return this->peers; }
  /// The node of that name, or null if it is not known.
  PeerPointer FindPeer(const std::string& name) const;
  /// Nodes beside targets of `service`, including this one. Valid until the
  /// table changes.
  const std::vector<PeerPointer>& PeersOfService(const std::string& service);
  /// Whether another node has made itself known on a link.
  bool IsGreeted() const;
  /// Dials the nodes without a link whose turn it is.
  void DialDue(Millis now);
  /// Number of open links to other nodes.
  std::size_t CountLinks() const;
  /// Number of nodes that calls can be sent to, including this one.
  std::uint32_t CountReachable() const;

  /// Number of reachable nodes that can read the policy source and precede this
  /// one in the order of hashed names. The order is the same on all nodes.
  std::uint32_t RankAmongReachable() const;
  /// Number of known nodes, reachable or not, that precede this one in that
  /// order.
  std::uint32_t RankAmongKnown() const;
  /// Whether this node is one of the few in its zone that poll the policy
  /// source.
  bool FollowsSource() const;

  /// Whether this node, or a reachable one, can read the policy source.
  bool HasAccessToSource() const;

  /// Number of reachable nodes, and of nodes that are not known to have ended.
  /// Both include this node.
  struct Reachability {
    std::uint32_t reachable = 0;
    std::uint32_t known = 0;
  };
  Reachability MeasureReachability(Millis now) const;

  /// Name of the node at the other end of an accepted link; empty if the link
  /// is closed or its hello has not arrived.
  std::string NodeOfAcceptedLink(LinkId link) const {
    const auto found = this->accepted.find(link);
    return found == this->accepted.end() ? std::string() : found->second.node;
  }
  /// The accepted link with that id, or null if it is closed.
  PeerLinkPointer FindAcceptedLink(LinkId link) const {
    const auto found = this->accepted.find(link);
    return found == this->accepted.end() ? nullptr : found->second.link;
  }

  void Close();

 private:
  struct AcceptedLink {
    PeerLinkPointer link;
    std::string node;
    std::uint32_t protocol_version = 0;
    /// Value of `state_revision` at the last state sent on it; 0 if none was
    /// sent.
    std::uint64_t announced_revision = 0;
    /// The peer whose dialled link this is too; null if it is not shared.
    std::weak_ptr<Peer> shared_with;
  };

  void Accept();
  void RetryAcceptLater();
  void Dial(Millis now, const PeerPointer& peer);
  void AttachLink(const PeerPointer& peer, boost::asio::ip::tcp::socket socket);
  // Returns false if the frame cannot be decoded.
  bool HandleDialledFrame(const PeerPointer& peer, const RawFrame& frame);
  bool HandleAcceptedFrame(const PeerLinkPointer& link, const RawFrame& frame);
  void OnDialledFrame(const PeerPointer& peer, const RawFrame& frame);
  void OnAcceptedFrame(const PeerLinkPointer& link, const RawFrame& frame);
  bool OnDialledHello(const PeerPointer& peer, std::string_view payload);
  bool OnAcceptedHello(const PeerLinkPointer& link, std::string_view payload);
  bool OnHello(const HelloFrame& hello);
  bool OnState(const PeerPointer& peer, std::string_view payload);
  bool OnLoad(const PeerPointer& peer, std::string_view payload);
  bool OnLeaves(const PeerPointer& peer, std::string_view payload);
  bool OnLeavesConfirmed(LinkId link, std::string_view payload);
  void RecordLeave(const InstanceRecord& record);
  void RecordDrainingInstance(const PeerPointer& peer);
  static void UpdateIncarnation(std::uint64_t incarnation, Peer& peer);
  void SendState(AcceptedLink& entry);
  void Announce(bool is_load_urgent);
  void AddToIndex(const PeerPointer& peer);
  void RemoveFromIndex(const PeerPointer& peer);
  void Rename(const PeerPointer& peer, const NodeAddress& node);
  PeerPointer FindNode(const NodeAddress& node) const;
  bool IsLinkDead(Millis now, const Peer& peer) const;
  LoadFrame MakeLoadFrame(const StateFrame& state);
  std::vector<NodeAddress> SampleNodes(const std::string& to);
  void DropLink(const PeerPointer& peer);
  bool IsLargeFleet() const;
  bool DialsFirst(const Peer& peer) const;
  void ShareAcceptedLink(const PeerLinkPointer& link, AcceptedLink& entry);
  void ShareDialledLink(const PeerPointer& peer);
  void CloseAccepted(const PeerLinkPointer& link);
  void SendHello(PeerLink& link, const std::string& to);
  void PushPolicy(Millis now, const PeerPointer& peer);
  void RequestPolicy(Millis now);
  bool OnPolicyRequest(const PeerLinkPointer& link, std::string_view payload);
  bool OnPolicy(const PeerPointer& peer, std::string_view payload);
  bool OnPolicyVersion(const PeerPointer& peer, std::string_view payload);
  bool OnNodes(std::string_view payload);
  void ServePolicyRequests();
  void AnnouncePolicyVersion();
  std::unordered_set<std::string> RingSuccessors() const;
  void RemoveUnreachable(Millis now);
  void CheckSilence(Millis now, const PeerPointer& peer);

  boost::asio::io_context& loop;
  const RelaySettings& settings;
  PeerEvents events;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::steady_timer accept_pause;
  PeerPointer self;
  std::vector<PeerPointer> peers;
  std::unordered_map<std::string, PeerPointer> by_name;
  std::unordered_map<std::string, PeerPointer> by_address;
  std::map<LinkId, AcceptedLink> accepted;
  std::unordered_map<std::string, std::vector<PeerPointer>> by_service;
  /// Instances of other nodes that were reported as draining, by node; the
  /// latest are last.
  std::map<std::string, std::deque<InstanceRecord>> draining_instances;
  /// Incarnations of other nodes whose states were received, by node.
  struct HeardIncarnations {
    std::uint64_t latest = 0;
    std::uint64_t earlier = 0;
  };
  std::map<std::string, HeardIncarnations> heard;
  /// Links that wait for the policy, and the number of transfers in progress.
  std::deque<LinkId> policy_requests;
  std::uint32_t policy_transfers = 0;
  /// The node that the policy was requested from and that has not sent it yet,
  /// and the time of the request.
  std::weak_ptr<Peer> policy_requested_from;
  Millis policy_requested_at;
  /// When a policy was received that did not bring this node to the requested
  /// version, for example because it could not be parsed; 0 if none was since a
  /// newer version is known.
  Millis policy_unusable_at;
  /// Since when a policy newer than the one in force is known; 0 if none is.
  Millis newer_version_since;
  std::uint64_t next_link = 1;
  /// Call chains that were last sent on all links, and when.
  std::vector<control::RootRate> announced_chains;
  Millis chains_announced_at;
  double announced_error_rate = 0;
  /// Incremented when anything in this node's state except its load changes.
  std::uint64_t state_revision = 1;
  std::mt19937 random;
  /// Nodes named in hellos since the start.
  std::size_t nodes_named = 0;
  Millis last_announced;
  Millis last_tick;
  Millis silence_tolerated_until;
  bool is_closed = false;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_PEER_TABLE_H_
