#include <algorithm>
#include <numeric>
#include <utility>

#include "almondlink/base/event_log.h"
#include "almondlink/relay/peer_table.h"

/// Exchange of identity, state and load between nodes. PeerTable is implemented
/// in four files: this one, peer_table.cc (links), peer_policy.cc (distribution
/// of the policy) and peer_leaves.cc (leaves of targets).
namespace almondlink::relay {

namespace {

/// Number of other nodes named in a hello until `kFirstNodes` were named, and
/// from then on. A node receives a hello from each node that it meets, so it
/// learns all n nodes after about log(n) of them; those are met first.
constexpr std::size_t kNodesInFirstHellos = 16;
constexpr std::size_t kNodesInLaterHellos = 4;
constexpr std::size_t kFirstNodes = 1024;
/// Draws for each node to be named; some draws name a node that is not linked.
constexpr std::size_t kDrawsPerNode = 4;
/// Call chains are sent again after this time, for nodes that missed a load.
constexpr Millis kChainsInterval{3000};

/// Removes what other nodes receive with the sums.
void ClearSummed(LoadFrame& load) {
  load.demand.clear();
  load.roots.clear();
  load.repeats.clear();
}

/// Whether a node of that version receives this node's load with the sums.
bool IsToldBySums(const StateFrame& state, std::uint32_t protocol_version) {
  return state.is_load_summed && protocol_version >= kVersionLoadSums;
}

void ClearChains(std::vector<control::RootRate>& roots) {
  for (control::RootRate& root : roots) {
    root.calls.clear();
  }
}

}  // namespace

/// Sets the peer's incarnation. If it has restarted, keeps what its previous
/// incarnation reported, to return it in a hello.
void PeerTable::UpdateIncarnation(std::uint64_t incarnation, Peer& peer) {
  if (peer.node.incarnation != 0 && peer.node.incarnation != incarnation) {
    peer.previous_incarnation = peer.node.incarnation;
    peer.previous_repeats = peer.reported.repeats;
    peer.has_previous_repeats = peer.has_repeat_counts;
  }
  peer.node.incarnation = incarnation;
}

/// Returns a random sample of the linked nodes to name to the node `to`. If
/// every node sent all of them to every other, the traffic at each start would
/// grow with the cube of the number of nodes.
std::vector<NodeAddress> PeerTable::SampleNodes(const std::string& to) {
  const std::size_t wanted = this->nodes_named < kFirstNodes
                                 ? kNodesInFirstHellos
                                 : kNodesInLaterHellos;
  std::vector<std::size_t> drawn;
  if (this->peers.size() <= wanted * kDrawsPerNode) {
    drawn.resize(this->peers.size());
    std::iota(drawn.begin(), drawn.end(), 0);
    std::shuffle(drawn.begin(), drawn.end(), this->random);
  } else {
    std::uniform_int_distribution<std::size_t> index(0, this->peers.size() - 1);
    while (drawn.size() < wanted * kDrawsPerNode) {
      drawn.push_back(index(this->random));
    }
    std::sort(drawn.begin(), drawn.end());
    drawn.erase(std::unique(drawn.begin(), drawn.end()), drawn.end());
    std::shuffle(drawn.begin(), drawn.end(), this->random);
  }
  std::vector<NodeAddress> some;
  for (const std::size_t i : drawn) {
    const Peer& peer = *this->peers[i];
    if (some.size() < wanted && !peer.is_self && peer.link != nullptr &&
        peer.node.name != to) {
      some.push_back(peer.node);
    }
  }
  return some;
}

void PeerTable::SendHello(PeerLink& link, const std::string& to) {
  HelloFrame hello;
  hello.self = this->self->node;
  hello.zone = this->settings.zone.Value();
  hello.deployment = this->settings.deployment;
  hello.known_nodes = this->SampleNodes(to);
  this->nodes_named += hello.known_nodes.size();
  hello.protocol_version = kProtocolVersion;
  const auto known = this->draining_instances.find(to);
  if (known != this->draining_instances.end()) {
    hello.draining_instances.assign(known->second.begin(), known->second.end());
  }
  const PeerPointer receiver = this->FindPeer(to);
  if (receiver != nullptr) {
    const Peer& peer = *receiver;
    const auto earlier = this->heard.find(to);
    hello.has_earlier_state = earlier != this->heard.end() &&
                              (earlier->second.earlier != 0 ||
                               earlier->second.latest != peer.node.incarnation);
    hello.shares_link =
        peer.link.get() == &link && this->accepted.count(link.Id()) > 0;
    hello.has_repeat_counts = peer.previous_incarnation != 0
                                  ? peer.has_previous_repeats
                                  : peer.has_repeat_counts;
    hello.known_limit_per_s = peer.reported.limit_per_s;
    if (peer.reported.limit_per_s.has_value()) {
      hello.limited_instance = peer.reported.instance;
      hello.limited_started_at = peer.reported.started_at;
    }
    hello.known_incarnation = peer.node.incarnation;
    hello.previous_incarnation = peer.previous_incarnation;
    // If no later incarnation of it has reported, its last report is the
    // previous one.
    hello.previous_repeats = peer.previous_incarnation != 0
                                 ? peer.previous_repeats
                             : peer.has_reported ? std::vector<ServiceRepeats>()
                                                 : peer.reported.repeats;
  }
  Append(hello, link.OutputBuffer());
  link.ScheduleFlush();
}

/// Returns true if this node raised its incarnation because the sender knows a
/// later one.
bool PeerTable::OnHello(const HelloFrame& hello) {
  const bool is_raised =
      hello.known_incarnation > this->self->node.incarnation &&
      hello.known_incarnation <= kMaxIncarnation;
  if (is_raised) {
    // The clock went back between the previous start and this one.
    this->SetIncarnation(hello.known_incarnation + 1);
    this->events.on_incarnation_changed(this->self->node.incarnation);
  }
  const bool has_previous =
      hello.previous_incarnation != 0 ||
      (hello.known_incarnation != 0 &&
       hello.known_incarnation != this->self->node.incarnation);
  if (has_previous && hello.has_repeat_counts) {
    this->events.on_previous_repeats(hello.previous_repeats);
  }
  this->AddNode(hello.self);
  for (const NodeAddress& node : hello.known_nodes) {
    this->AddNode(node);
  }
  for (const InstanceRecord& record : hello.draining_instances) {
    this->events.on_remembered_instance(record);
  }
  if (hello.known_limit_per_s.has_value()) {
    this->events.on_remembered_limit(
        {hello.limited_instance, hello.limited_started_at},
        *hello.known_limit_per_s);
  }
  if (hello.has_earlier_state) {
    this->events.on_earlier_state_told(hello.self.name);
  }
  return is_raised;
}

/// Closes the link of a peer whose frames cannot be decoded: later frames could
/// be misread, and a skipped answer would leave its call waiting until the
/// deadline.
void PeerTable::OnAcceptedFrame(const PeerLinkPointer& link,
                                const RawFrame& frame) {
  if (this->HandleAcceptedFrame(link, frame)) {
    return;
  }
  LogEvent(kEventPeerRefused,
           {{"node", this->NodeOfAcceptedLink(link->Id())},
            {"frame", std::to_string(static_cast<unsigned>(frame.type))}});
  link->Close();
  this->CloseAccepted(link);
}

/// Whether the frame is one that a node sends on a link that its peer dialled.
bool IsFromAcceptor(FrameType type) {
  switch (type) {
    case FrameType::kState:
    case FrameType::kLoad:
    case FrameType::kPolicyVersion:
    case FrameType::kNodes:
    case FrameType::kPolicy:
    case FrameType::kAnswer:
    case FrameType::kData:
    case FrameType::kQuotaLoan:
    case FrameType::kTrialResponse:
    case FrameType::kLoadTotals:
    case FrameType::kDecisionTotals:
    case FrameType::kAccountDemandTotal:
    case FrameType::kLeaves:
      return true;
    default:
      return false;
  }
}

bool PeerTable::HandleAcceptedFrame(const PeerLinkPointer& link,
                                    const RawFrame& frame) {
  const auto entry_of_link = this->accepted.find(link->Id());
  const PeerPointer peer = entry_of_link == this->accepted.end()
                               ? nullptr
                               : entry_of_link->second.shared_with.lock();
  if (peer != nullptr && peer->link == link) {
    peer->is_suspect = false;
    if (IsFromAcceptor(frame.type)) {
      return this->HandleDialledFrame(peer, frame);
    }
  }
  switch (frame.type) {
    case FrameType::kHello:
      return this->OnAcceptedHello(link, frame.payload);
    case FrameType::kPolicy:
      // Pushed by a node below kVersionPolicyPull; from others it is requested.
      return this->OnPolicy(nullptr, frame.payload);
    case FrameType::kPolicyRequest:
      return this->OnPolicyRequest(link, frame.payload);
    case FrameType::kPing: {
      const auto entry = this->accepted.find(link->Id());
      if (entry != this->accepted.end()) {
        this->SendState(entry->second);
      }
      return true;
    }
    case FrameType::kStateConfirmed: {
      // A node below kVersionLeaves confirms the current instance alone, which
      // an acknowledgement does not rest on.
      ReportId report;
      return DecodeStateConfirmed(frame.payload, report);
    }
    case FrameType::kLeavesConfirmed:
      return this->OnLeavesConfirmed(link->Id(), frame.payload);
    default:
      return this->events.on_accepted_frame(link, frame);
  }
}

bool PeerTable::OnAcceptedHello(const PeerLinkPointer& link,
                                std::string_view payload) {
  HelloFrame hello;
  if (!Decode(payload, hello) ||
      hello.deployment != this->settings.deployment) {
    return false;
  }
  AcceptedLink& entry = this->accepted[link->Id()];
  entry.node = hello.self.name;
  entry.protocol_version = hello.protocol_version;
  this->OnHello(hello);
  const auto open = this->accepted.find(link->Id());
  if (open == this->accepted.end()) {
    // A later incarnation of the node was announced on a shared link, which was
    // closed with what is known of the previous one.
    return true;
  }
  this->ShareAcceptedLink(link, open->second);
  this->SendHello(*link, hello.self.name);
  this->SendState(open->second);
  const LeavesFrame leaves = this->events.make_leaves();
  if (leaves.revision > 0) {
    Append(leaves, link->OutputBuffer());
    link->ScheduleFlush();
  }
  return true;
}

void PeerTable::OnDialledFrame(const PeerPointer& peer, const RawFrame& frame) {
  peer->is_suspect = false;
  if (!this->HandleDialledFrame(peer, frame)) {
    LogEvent(kEventPeerRefused,
             {{"node", peer->node.name},
              {"frame", std::to_string(static_cast<unsigned>(frame.type))}});
    this->DropLink(peer);
  }
}

bool PeerTable::HandleDialledFrame(const PeerPointer& peer,
                                   const RawFrame& frame) {
  const bool is_shared = this->accepted.count(peer->link->Id()) > 0;
  if (is_shared && frame.type != FrameType::kHello &&
      !IsFromAcceptor(frame.type)) {
    return this->HandleAcceptedFrame(peer->link, frame);
  }
  switch (frame.type) {
    case FrameType::kHello:
      return this->OnDialledHello(peer, frame.payload);
    case FrameType::kState:
      return this->OnState(peer, frame.payload);
    case FrameType::kLoad:
      return this->OnLoad(peer, frame.payload);
    case FrameType::kLeaves:
      return this->OnLeaves(peer, frame.payload);
    case FrameType::kPolicyVersion:
      return this->OnPolicyVersion(peer, frame.payload);
    case FrameType::kNodes:
      return this->OnNodes(frame.payload);
    case FrameType::kPolicy:
      return this->OnPolicy(peer, frame.payload);
    default:
      return this->events.on_dialled_frame(peer, frame);
  }
}

bool PeerTable::OnDialledHello(const PeerPointer& peer,
                               std::string_view payload) {
  HelloFrame hello;
  if (!Decode(payload, hello)) {
    return false;
  }
  if (hello.self.name != peer->node.name) {
    // Another node has this address now.
    this->Rename(peer, hello.self);
  }
  UpdateIncarnation(hello.self.incarnation, *peer);
  peer->protocol_version = hello.protocol_version;
  if (hello.shares_link) {
    this->ShareDialledLink(peer);
  }
  if (this->OnHello(hello)) {
    // The peer takes this node for an earlier incarnation until it receives the
    // new number.
    this->SendHello(*peer->link, peer->node.name);
  }
  return true;
}

bool PeerTable::OnState(const PeerPointer& peer, std::string_view payload) {
  StateFrame state;
  if (!Decode(payload, state)) {
    return false;
  }
  const bool is_first = !peer->has_reported;
  const bool is_service_changed = peer->reported.service != state.service;
  const bool is_new_incarnation = peer->reported.instance != state.instance ||
                                  peer->reported.started_at != state.started_at;
  if (is_new_incarnation || IsLimitEased(peer->reported, state)) {
    peer->limited_until = Millis{0};
  }
  peer->has_reported = true;
  HeardIncarnations& known = this->heard[peer->node.name];
  if (known.latest != peer->node.incarnation) {
    known = {peer->node.incarnation, known.latest};
  }
  peer->dial_backoff = Millis{0};
  // The counts of a summed node were received from it as a member, if at all.
  const bool keeps_repeats = state.is_load_summed && peer->has_repeat_counts &&
                             peer->reported.is_load_summed;
  std::vector<ServiceRepeats> repeats = keeps_repeats
                                            ? std::move(peer->reported.repeats)
                                            : std::vector<ServiceRepeats>();
  peer->has_repeat_counts = !state.is_load_summed || keeps_repeats;
  peer->reported = std::move(state);
  if (keeps_repeats) {
    peer->reported.repeats = std::move(repeats);
  }
  peer->reported_at = BootTimeNow();
  peer->sent_since_report = 0;
  if (is_service_changed) {
    this->by_service.clear();
  }
  if (is_new_incarnation) {
    // Health observations of the previous instance do not apply to this one.
    peer->health = control::TargetHealth();
  }
  this->RecordDrainingInstance(peer);
  this->events.on_state(peer, is_first);
  if (peer->reported.policy_version > this->self->reported.policy_version) {
    this->RequestPolicy(peer->reported_at);
  }
  return true;
}

bool PeerTable::OnLoad(const PeerPointer& peer, std::string_view payload) {
  LoadFrame load;
  if (!Decode(payload, load)) {
    return false;
  }
  if (!peer->has_reported) {
    // A load is meaningful only after the first state.
    return true;
  }
  ApplyLoad(std::move(load), peer->reported);
  peer->reported_at = BootTimeNow();
  peer->sent_since_report = 0;
  return true;
}

/// Builds a load for all links. Call chains change slowly and would be a third
/// of it, so they are included only after a change or after kChainsInterval.
LoadFrame PeerTable::MakeLoadFrame(const StateFrame& state) {
  const Millis now = BootTimeNow();
  LoadFrame load = LoadOf(state);
  if (now - this->chains_announced_at < kChainsInterval &&
      !control::HaveChainsChanged(this->announced_chains, load.roots)) {
    ClearChains(load.roots);
    return load;
  }
  this->announced_chains = load.roots;
  this->chains_announced_at = now;
  return load;
}

/// Sends the state on this link, or only the load if nothing else has changed.
void PeerTable::SendState(AcceptedLink& entry) {
  const StateFrame state = this->events.make_state();
  const bool is_load_only = entry.protocol_version >= kVersionLoadFrames &&
                            entry.announced_revision == this->state_revision &&
                            EqualExceptLoad(state, this->self->reported);
  if (is_load_only) {
    LoadFrame load = LoadOf(state);
    ClearChains(load.roots);
    if (IsToldBySums(state, entry.protocol_version)) {
      ClearSummed(load);
    }
    Append(load, entry.link->OutputBuffer());
  } else {
    Append(WithoutSummed(state), entry.link->OutputBuffer());
    // Changes not yet counted in `state_revision` are sent again by
    // AnnounceState().
    entry.announced_revision = this->state_revision;
  }
  entry.link->ScheduleFlush();
}

void PeerTable::AnnounceState() {
  this->Announce(false);
}

void PeerTable::AnnounceLoad() {
  this->Announce(true);
}

void PeerTable::Announce(bool is_load_urgent) {
  const StateFrame state = this->events.make_state();
  if (this->self->reported.service != state.service) {
    this->by_service.clear();
  }
  const bool is_changed = !EqualExceptLoad(state, this->self->reported);
  const bool is_leaving = state.state == InstanceState::kDraining;
  if (is_changed && !is_leaving &&
      EqualExceptLoadAndVersion(state, this->self->reported)) {
    ++this->state_revision;
    this->self->reported = state;
    this->AnnouncePolicyVersion();
    return;
  }
  if (this->self->reported.instance != state.instance ||
      this->self->reported.started_at != state.started_at) {
    this->self->health = control::TargetHealth();
  }
  this->state_revision += is_changed || is_leaving ? 1 : 0;
  this->self->reported = state;
  this->self->reported_at = BootTimeNow();
  this->self->sent_since_report = 0;
  this->last_announced = this->self->reported_at;
  if (is_changed || is_load_urgent || !state.is_load_summed) {
    this->announced_error_rate = state.error_rate;
  }
  std::string full_state;
  std::string load;
  std::string summed_load;
  for (auto& [id, entry] : this->accepted) {
    const bool is_load_only =
        entry.announced_revision == this->state_revision &&
        entry.protocol_version >= kVersionLoadFrames;
    const bool is_summed = IsToldBySums(state, entry.protocol_version);
    if (is_load_only && is_summed && !is_load_urgent) {
      continue;
    }
    std::string& frame =
        !is_load_only ? full_state : (is_summed ? summed_load : load);
    if (frame.empty() && !is_load_only) {
      Append(WithoutSummed(state), full_state);
    } else if (frame.empty() && is_summed) {
      LoadFrame brief = LoadOf(state);
      ClearSummed(brief);
      Append(brief, summed_load);
    } else if (frame.empty()) {
      Append(this->MakeLoadFrame(state), load);
    }
    entry.announced_revision = this->state_revision;
    entry.link->OutputBuffer() += frame;
    entry.link->ScheduleFlush();
  }
}

}  // namespace almondlink::relay
