#include <algorithm>
#include <iterator>
#include <utility>

#include "almondlink/base/event_log.h"
#include "almondlink/relay/peer_table.h"

/// What nodes say to each other besides calls: who they are, their state and
/// load. PeerTable is in three units: peer_table.cc holds links, peer_policy.cc
/// passes the policy.
namespace almondlink::relay {

namespace {

/// Instances remembered for each peer.
constexpr std::size_t kMostRemembered = 16;
/// Other nodes named in a hello. A node gets one from each that it meets, so it
/// soon knows all: with n nodes it needs about log(n) of them.
constexpr std::size_t kMostOthers = 16;
/// The calls of chains are told again after this, for whoever missed a load.
constexpr Millis kChainsAgain{3000};

void DropCalls(std::vector<control::RootRate>& roots) {
  for (control::RootRate& root : roots) {
    root.calls.clear();
  }
}

}  // namespace

/// Another start of the node speaks: what the one before told is kept for it.
void PeerTable::NoteStart(std::uint64_t incarnation, Peer& peer) {
  if (peer.node.incarnation != 0 && peer.node.incarnation != incarnation) {
    peer.former_incarnation = peer.node.incarnation;
    peer.former_repeats = peer.told.repeats;
  }
  peer.node.incarnation = incarnation;
}

/// Whom to name to `to`: a few, drawn anew each time. All of them from each to
/// each would be the cube of the number of nodes at every start.
std::vector<NodeAddress> PeerTable::SomeOthers(const std::string& to) {
  std::vector<NodeAddress> known;
  for (const PeerPointer& peer : this->peers) {
    if (!peer->is_self && peer->link != nullptr && peer->node.name != to) {
      known.push_back(peer->node);
    }
  }
  std::vector<NodeAddress> some;
  std::sample(known.begin(), known.end(), std::back_inserter(some), kMostOthers,
              this->random);
  return some;
}

void PeerTable::SendHello(PeerLink& link, const std::string& to) {
  HelloFrame hello;
  hello.self = this->self->node;
  hello.zone = this->settings.zone.Value();
  hello.deployment = this->settings.deployment;
  hello.others = this->SomeOthers(to);
  hello.dialect = kOwnDialect;
  const auto known = this->remembered.find(to);
  if (known != this->remembered.end()) {
    hello.remembered.assign(known->second.begin(), known->second.end());
  }
  const auto met = std::find_if(
      this->peers.begin(), this->peers.end(),
      [&to](const PeerPointer& peer) { return peer->node.name == to; });
  if (met != this->peers.end()) {
    const Peer& peer = **met;
    hello.known_incarnation = peer.node.incarnation;
    hello.former_incarnation = peer.former_incarnation;
    // Its last word, if no later start of it has spoken yet.
    hello.former_repeats = peer.former_incarnation != 0 ? peer.former_repeats
                           : peer.is_greeted ? std::vector<ServiceRepeats>()
                                             : peer.told.repeats;
  }
  Append(hello, link.Out());
  link.FlushSoon();
}

/// True if this start took a later number because of what the sender knows.
bool PeerTable::OnHello(const HelloFrame& hello) {
  const bool is_outnumbered =
      hello.known_incarnation > this->self->node.incarnation;
  if (is_outnumbered) {
    // The clock went back between the last start and this one.
    this->SetIncarnation(hello.known_incarnation + 1);
    this->events.on_incarnation(this->self->node.incarnation);
  }
  const bool has_memory =
      hello.former_incarnation != 0 ||
      (hello.known_incarnation != 0 &&
       hello.known_incarnation != this->self->node.incarnation);
  if (has_memory) {
    this->events.on_memory(hello.former_repeats);
  }
  this->Learn(hello.self);
  for (const NodeAddress& node : hello.others) {
    this->Learn(node);
  }
  for (const InstanceRecord& record : hello.remembered) {
    this->events.on_remembered(record);
  }
  return is_outnumbered;
}

/// A peer whose frames cannot be decoded is not understood any more: what
/// follows could be taken for something else, and an answer that was passed
/// over would leave its call waiting for its whole time.
void PeerTable::OnAcceptedFrame(const PeerLinkPointer& link,
                                const RawFrame& frame) {
  if (this->TakeAcceptedFrame(link, frame)) {
    return;
  }
  const auto entry = this->accepted.find(link->Id());
  LogEvent(kEventPeerRefused,
           {{"node", entry == this->accepted.end() ? "" : entry->second.node},
            {"frame", std::to_string(static_cast<unsigned>(frame.type))}});
  this->accepted.erase(link->Id());
  link->Close();
  this->events.on_accepted_closed(link->Id());
}

bool PeerTable::TakeAcceptedFrame(const PeerLinkPointer& link,
                                  const RawFrame& frame) {
  switch (frame.type) {
    case FrameType::kHello:
      return this->OnAcceptedHello(link, frame.payload);
    case FrameType::kPolicy:
      // From a node of the dialect before; others are asked.
      return this->OnPolicy(nullptr, frame.payload);
    case FrameType::kWantPolicy:
      return this->OnWantPolicy(link, frame.payload);
    case FrameType::kPing: {
      const auto entry = this->accepted.find(link->Id());
      if (entry != this->accepted.end()) {
        this->TellState(entry->second);
      }
      return true;
    }
    case FrameType::kSeen: {
      ReportNumber report;
      if (!DecodeSeen(frame.payload, report)) {
        return false;
      }
      this->events.on_seen(report);
      return true;
    }
    default:
      return this->events.on_call(link, frame);
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
  entry.dialect = hello.dialect;
  this->OnHello(hello);
  this->SendHello(*link, hello.self.name);
  this->TellState(entry);
  return true;
}

void PeerTable::OnDialledFrame(const PeerPointer& peer, const RawFrame& frame) {
  peer->is_suspect = false;
  if (!this->TakeDialledFrame(peer, frame)) {
    LogEvent(kEventPeerRefused,
             {{"node", peer->node.name},
              {"frame", std::to_string(static_cast<unsigned>(frame.type))}});
    this->LoseLink(peer);
  }
}

bool PeerTable::TakeDialledFrame(const PeerPointer& peer,
                                 const RawFrame& frame) {
  switch (frame.type) {
    case FrameType::kHello:
      return this->OnDialledHello(peer, frame.payload);
    case FrameType::kState:
      return this->OnState(peer, frame.payload);
    case FrameType::kLoad:
      return this->OnLoad(peer, frame.payload);
    case FrameType::kVersion:
      return this->OnVersion(peer, frame.payload);
    case FrameType::kNodes:
      return this->OnNodes(frame.payload);
    case FrameType::kPolicy:
      return this->OnPolicy(peer, frame.payload);
    default:
      return this->events.on_answer(peer, frame);
  }
}

bool PeerTable::OnDialledHello(const PeerPointer& peer,
                               std::string_view payload) {
  HelloFrame hello;
  if (!Decode(payload, hello)) {
    return false;
  }
  if (hello.self.name != peer->node.name) {
    // The address belongs to another node now.
    peer->node = hello.self;
  }
  NoteStart(hello.self.incarnation, *peer);
  peer->dialect = hello.dialect;
  if (this->OnHello(hello)) {
    // It takes this start for an earlier one until it hears the number.
    this->SendHello(*peer->link, peer->node.name);
  }
  return true;
}

bool PeerTable::OnState(const PeerPointer& peer, std::string_view payload) {
  StateFrame state;
  if (!Decode(payload, state)) {
    return false;
  }
  const bool is_first = !peer->is_greeted;
  const bool is_moved = peer->told.service != state.service;
  const bool is_other_start =
      peer->told.instance != state.instance || peer->told.born != state.born;
  peer->is_greeted = true;
  peer->dial_wait = Millis{0};
  peer->told = std::move(state);
  peer->told_at = BootTimeNow();
  peer->sent_since = 0;
  if (is_moved) {
    this->by_service.clear();
  }
  if (is_other_start) {
    // What was seen of the instance before says nothing of this one.
    peer->health = control::TargetHealth();
  }
  this->RememberLeaving(peer);
  this->events.on_state(peer, is_first);
  this->AskForPolicy(peer->told_at);
  return true;
}

/// What a peer tells of an instance that leaves is kept for it over a restart.
void PeerTable::RememberLeaving(const PeerPointer& peer) {
  if (peer->told.state != InstanceState::kDraining) {
    return;
  }
  const StateFrame& told = peer->told;
  std::deque<InstanceRecord>& records = this->remembered[peer->node.name];
  const auto known = std::find_if(
      records.begin(), records.end(), [&told](const InstanceRecord& record) {
        return record.instance == told.instance && record.born == told.born;
      });
  if (known != records.end()) {
    records.erase(known);
  }
  records.push_back(InstanceRecord{peer->node.name, told.instance,
                                   told.sequence, told.state, told.born});
  if (records.size() > kMostRemembered) {
    records.pop_front();
  }
  AppendSeen({told.born, told.sequence}, peer->link->Out());
  peer->link->FlushSoon();
}

bool PeerTable::OnLoad(const PeerPointer& peer, std::string_view payload) {
  LoadFrame load;
  if (!Decode(payload, load)) {
    return false;
  }
  if (!peer->is_greeted) {
    // Its state comes first; without one a load says nothing.
    return true;
  }
  ApplyLoad(std::move(load), peer->told);
  peer->told_at = BootTimeNow();
  peer->sent_since = 0;
  return true;
}

/// The load, with the calls of chains only when they have moved or were not
/// told for long: they are structure, and would be a third of it.
LoadFrame PeerTable::LoadToTell(const StateFrame& state) {
  const Millis now = BootTimeNow();
  LoadFrame load = LoadOf(state);
  if (now - this->chains_told < kChainsAgain &&
      !control::HaveChainsChanged(this->told_chains, load.roots)) {
    DropCalls(load.roots);
    return load;
  }
  this->told_chains = load.roots;
  this->chains_told = now;
  return load;
}

/// Tells all that has changed for this link.
void PeerTable::TellState(AcceptedLink& entry) {
  const StateFrame state = this->events.make_state();
  const bool is_load_only = entry.dialect >= kSpeaksLoad &&
                            entry.told_facts == this->facts &&
                            HaveSameFacts(state, this->self->told);
  if (is_load_only) {
    LoadFrame load = LoadOf(state);
    DropCalls(load.roots);
    Append(load, entry.link->Out());
  } else {
    Append(state, entry.link->Out());
    // Facts that are not counted yet are told again by TellNow.
    entry.told_facts = this->facts;
  }
  entry.link->FlushSoon();
}

void PeerTable::TellNow() {
  const StateFrame state = this->events.make_state();
  if (this->self->told.service != state.service) {
    this->by_service.clear();
  }
  const bool is_changed = !HaveSameFacts(state, this->self->told);
  const bool is_leaving = state.state == InstanceState::kDraining;
  if (is_changed && !is_leaving &&
      HaveSameFactsButVersion(state, this->self->told)) {
    ++this->facts;
    this->self->told = state;
    this->TellVersion();
    return;
  }
  if (this->self->told.instance != state.instance ||
      this->self->told.born != state.born) {
    this->self->health = control::TargetHealth();
  }
  this->facts += is_changed || is_leaving ? 1 : 0;
  this->self->told = state;
  this->self->told_at = BootTimeNow();
  this->self->sent_since = 0;
  this->last_told = this->self->told_at;
  std::string whole;
  std::string load;
  for (auto& [id, entry] : this->accepted) {
    const bool knows_facts = entry.told_facts == this->facts;
    std::string& frame =
        knows_facts && entry.dialect >= kSpeaksLoad ? load : whole;
    if (frame.empty() && &frame == &load) {
      Append(this->LoadToTell(state), load);
    } else if (frame.empty()) {
      Append(state, whole);
    }
    entry.told_facts = this->facts;
    entry.link->Out() += frame;
    entry.link->FlushSoon();
  }
}

}  // namespace almondlink::relay
