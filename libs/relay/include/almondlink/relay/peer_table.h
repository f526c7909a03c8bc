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
#include <vector>

#include "almondlink/base/clock.h"
#include "almondlink/base/error.h"
#include "almondlink/control/policy_source.h"
#include "almondlink/control/target_health.h"
#include "almondlink/relay/peer_frames.h"
#include "almondlink/relay/peer_link.h"
#include "almondlink/relay/relay_settings.h"
#include "almondlink/relay/served_calls.h"

/// The other nodes: who they are, the links to them, and what they told.
///
/// Every node dials every other one and sends its calls on the link it dialled.
/// On a link that it accepted a node tells its state: at once when something
/// changed that callers must know, and otherwise its load only, a few times a
/// second while it works and once a second when not, so that a silent link is
/// noticed. Addresses come from outside (a directory), from peers that dial,
/// and from their lists.
namespace almondlink::relay {

/// One node, this one included.
struct Peer {
  NodeAddress node;
  /// The start before, and what it told of repeats last; 0 if none was met.
  std::uint64_t previous_incarnation = 0;
  std::vector<ServiceRepeats> previous_repeats;
  bool is_self = false;
  /// The link this node dialled; null while there is none.
  PeerLinkPointer link;
  bool has_reported = false;
  /// What it understands, see HelloFrame.
  std::uint32_t protocol_version = 0;
  /// The last state told, and when.
  StateFrame reported;
  Millis reported_at;
  /// Calls sent since the target's load was told.
  std::uint32_t sent_since_report = 0;
  /// Calls of this node that are out there.
  std::uint32_t outstanding = 0;
  /// When something was sent that it must answer at once, besides calls.
  Millis last_query_at;
  /// Nothing came on its link for too long while calls are out.
  bool is_suspect = false;
  /// When it was asked for a sign of life last, and first since its last word.
  Millis last_pinged;
  Millis first_pinged;
  control::TargetHealth health;
  bool is_dialling = false;
  Millis next_dial;
  Millis dial_backoff;
  /// Since when no link could be had.
  Millis disconnected_at;
  /// Its host answered that nobody listens there: it is gone, not cut off.
  bool is_connection_refused = false;
  /// When a node that does not ask for policies was sent one last.
  Millis policy_pushed_at;
  /// The version that this node asked it for last; 0: none.
  std::uint64_t requested_version = 0;

  /// Whether calls can be sent to it now.
  bool IsReachable() const {
    return this->is_self || (this->link != nullptr && this->has_reported &&
                             this->link->IsOpen());
  }
};

using PeerPointer = std::shared_ptr<Peer>;

struct PeerEvents {
  /// Any other frame on a dialled link: an answer, a part of one. False if it
  /// is of a known type and cannot be decoded; the link is given up then.
  std::function<bool(const PeerPointer&, const RawFrame&)> on_dialled_frame;
  /// Any other frame on an accepted link: a call, its cancel. False as above.
  std::function<bool(const PeerLinkPointer&, const RawFrame&)>
      on_accepted_frame;
  std::function<void(LinkId)> on_accepted_closed;
  std::function<void(const PeerPointer&)> on_link_lost;
  /// The node became suspect.
  std::function<void(const PeerPointer&)> on_suspect;
  /// A state was told; `is_first`: the first on this link.
  std::function<void(const PeerPointer&, bool is_first)> on_state;
  std::function<void(std::string policy)> on_policy;
  /// A peer remembers one of this node's instances.
  std::function<void(const InstanceRecord&)> on_remembered_instance;
  /// A peer confirmed the state made after that report.
  std::function<void(const ReportId&)> on_state_confirmed;
  /// A peer has met a start of this node before; what that told of repeats.
  std::function<void(const std::vector<ServiceRepeats>&)> on_previous_repeats;
  /// This start of the node has another number from now on.
  std::function<void(std::uint64_t incarnation)> on_incarnation_changed;
  /// The state to tell now.
  std::function<StateFrame()> make_state;
  /// The policy in force as it is passed between nodes; empty if none.
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

  /// Accepts links. Errors: kIo.
  Result<void> Listen();

  /// Makes a node known. A later incarnation replaces an earlier one. True if
  /// nothing was known of it.
  bool AddNode(const NodeAddress& node);

  /// Tells addresses on all accepted links.
  void AnnounceNodes(const std::vector<NodeAddress>& nodes);

  /// Tells the state on all accepted links now.
  void AnnounceState();

  /// Dials, tells and notices silent links; call every 100 ms.
  void Tick(Millis now);

  /// This node, in the form in which others know it.
  NodeAddress SelfAddress() const { return this->self->node; }
  /// Later links name this number.
  void SetIncarnation(std::uint64_t incarnation) {
    this->self->node.incarnation = incarnation;
  }
  const PeerPointer& SelfPeer() const { return this->self; }
  const std::vector<PeerPointer>& All() const { return this->peers; }
  /// The nodes beside targets of `service`, this one included.
  const std::vector<PeerPointer>& PeersOfService(const std::string& service);
  /// Nodes that were reachable lately, this one included.
  std::uint32_t CountReachable() const;

  /// Reachable nodes that can read the source of the policy and come before
  /// this one in the order of hashed names.
  std::uint32_t RankAmongReachable() const;
  /// Known nodes, reachable or not, that come before this one in that order.
  std::uint32_t RankAmongKnown() const;
  /// Whether this node is one of its zone's few that follow the source of the
  /// policy.
  bool FollowsSource() const;

  /// Whether this node, or one that it reaches, can read the source of the
  /// policy.
  bool HasAccessToSource() const;

  /// How many nodes are reached, and how many there are that are not known to
  /// be gone, this one counted in both.
  struct Reachability {
    std::uint32_t reachable = 0;
    std::uint32_t known = 0;
  };
  Reachability MeasureReachability(Millis now) const;

  /// Buffer of an accepted link, or null if it is closed.
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
    /// Count of the facts that were told on it last; 0: none yet.
    std::uint64_t announced_revision = 0;
  };

  void Accept();
  void RetryAcceptLater();
  void Dial(Millis now, const PeerPointer& peer);
  void AttachLink(const PeerPointer& peer, boost::asio::ip::tcp::socket socket);
  // False: the frame cannot be decoded.
  bool HandleDialledFrame(const PeerPointer& peer, const RawFrame& frame);
  bool HandleAcceptedFrame(const PeerLinkPointer& link, const RawFrame& frame);
  void OnDialledFrame(const PeerPointer& peer, const RawFrame& frame);
  void OnAcceptedFrame(const PeerLinkPointer& link, const RawFrame& frame);
  bool OnDialledHello(const PeerPointer& peer, std::string_view payload);
  bool OnAcceptedHello(const PeerLinkPointer& link, std::string_view payload);
  bool OnHello(const HelloFrame& hello);
  bool OnState(const PeerPointer& peer, std::string_view payload);
  bool OnLoad(const PeerPointer& peer, std::string_view payload);
  void RecordDrainingInstance(const PeerPointer& peer);
  static void UpdateIncarnation(std::uint64_t incarnation, Peer& peer);
  void SendState(AcceptedLink& entry);
  LoadFrame MakeLoadFrame(const StateFrame& state);
  std::vector<NodeAddress> SampleNodes(const std::string& to);
  void DropLink(const PeerPointer& peer);
  void SendHello(PeerLink& link, const std::string& to);
  void PushPolicy(Millis now, const PeerPointer& peer);
  void RequestPolicy(Millis now);
  bool OnPolicyRequest(const PeerLinkPointer& link, std::string_view payload);
  bool OnPolicy(const PeerPointer& peer, std::string_view payload);
  bool OnPolicyVersion(const PeerPointer& peer, std::string_view payload);
  bool OnNodes(std::string_view payload);
  void ServePolicyRequests();
  void AnnouncePolicyVersion();
  void RemoveUnreachable(Millis now);
  void CheckSilence(Millis now, const PeerPointer& peer);

  boost::asio::io_context& loop;
  const RelaySettings& settings;
  PeerEvents events;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::steady_timer accept_pause;
  PeerPointer self;
  std::vector<PeerPointer> peers;
  std::map<LinkId, AcceptedLink> accepted;
  std::unordered_map<std::string, std::vector<PeerPointer>> by_service;
  /// Instances of other nodes that were told to leave, by node; the latest
  /// told are last.
  std::map<std::string, std::deque<InstanceRecord>> draining_instances;
  /// Who asked for the policy and waits for it, and how many are being sent it.
  std::deque<LinkId> policy_requests;
  std::uint32_t policy_transfers = 0;
  /// The node that was asked for the policy and has not sent it; when it was.
  std::weak_ptr<Peer> policy_requested_from;
  Millis policy_requested_at;
  /// When a text came that did not bring this node to the version that was
  /// asked for; 0: none did since a newer version is known.
  Millis policy_unusable_at;
  /// Since when a newer version than the own one is known; 0: none is.
  Millis newer_version_since;
  std::uint64_t next_link = 1;
  /// The calls of chains that were told last, and when.
  std::vector<control::RootRate> announced_chains;
  Millis chains_announced_at;
  /// Counts the changes of this node's facts.
  std::uint64_t state_revision = 1;
  std::mt19937 random;
  Millis last_announced;
  Millis last_tick;
  Millis silence_tolerated_until;
  bool is_closed = false;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_PEER_TABLE_H_
