#include "almondlink/relay/peer_table.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "address.h"
#include "almondlink/base/event_log.h"
#include "almondlink/base/hash.h"
#include "almondlink/relay/socket_options.h"

namespace almondlink::relay {

namespace {

constexpr int kBacklog = 256;
/// Time until it is tried again to accept while no descriptor is free.
constexpr std::chrono::milliseconds kAcceptPause{100};
/// State is told this often while the target works, and otherwise.
constexpr Millis kTellBusy{200};
constexpr Millis kTellIdle{1000};
/// A busy node tells at most one state in so many milliseconds, over all links:
/// with many nodes each link gets one less often.
constexpr std::int64_t kTellPerLink = 3;
/// Silence after which a link is given up: two states of an idle node missed.
constexpr Millis kSilent{2200};
/// A tick that comes this late means that the host was suspended or starved.
constexpr Millis kSuspended{1000};
/// Silence with calls out after which a node is asked, and after which it is
/// suspect: three round trips of a busy node, and two unanswered questions.
constexpr Millis kAskAfter{300};
constexpr Millis kSuspectAfter{700};
constexpr Millis kDialTimeout{1000};
constexpr Millis kFirstDialWait{100};
constexpr Millis kLastDialWait{2000};
/// A node that could not be reached for so long is no longer dialled; it dials
/// us when it comes back.
constexpr Millis kForgetAfter{60'000};
/// Peers that are behind get the policy from us only after this time: most have
/// it from its source by then.
constexpr Millis kPolicyWait{250};
constexpr Millis kPolicyAgain{1000};
/// Instances remembered for each peer.
constexpr std::size_t kMostRemembered = 16;

}  // namespace

PeerTable::PeerTable(boost::asio::io_context& loop_in,
                     const RelaySettings& settings_in,
                     std::uint64_t incarnation,
                     PeerEvents events_in)
    : loop(loop_in),
      settings(settings_in),
      events(std::move(events_in)),
      acceptor(loop_in),
      accept_pause(loop_in),
      self(std::make_shared<Peer>()) {
  this->self->is_self = true;
  this->self->node.name = settings_in.node.Value();
  const bool is_advertised = settings_in.advertised_address.port() != 0;
  this->self->node.address =
      FormatAddress(is_advertised ? settings_in.advertised_address
                                  : settings_in.peer_address);
  this->self->node.incarnation = incarnation;
  this->peers.push_back(this->self);
}

Result<void> PeerTable::Listen() {
  boost::system::error_code error;
  this->acceptor.open(this->settings.peer_address.protocol(), error);
  if (!error) {
    this->acceptor.set_option(boost::asio::socket_base::reuse_address(true),
                              error);
    this->acceptor.bind(this->settings.peer_address, error);
  }
  if (!error) {
    this->acceptor.listen(kBacklog, error);
  }
  if (error) {
    return Fail(ErrorKind::kIo, "cannot listen at " +
                                    FormatAddress(this->settings.peer_address) +
                                    ": " + error.message());
  }
  this->last_tick = BootTimeNow();
  this->Accept();
  return {};
}

void PeerTable::Accept() {
  this->acceptor.async_accept([this](boost::system::error_code error,
                                     boost::asio::ip::tcp::socket socket) {
    if (this->is_closed || !this->acceptor.is_open()) {
      return;
    }
    if (IsShortage(error)) {
      this->AcceptLater();
      return;
    }
    if (!error) {
      LinkEvents link_events;
      link_events.on_frame = [this](const PeerLinkPointer& link,
                                    const RawFrame& frame) {
        this->OnAcceptedFrame(link, frame);
      };
      link_events.on_closed = [this](const PeerLinkPointer& link) {
        this->accepted.erase(link->Id());
        this->events.on_accepted_closed(link->Id());
      };
      const LinkId id = this->next_link++;
      const PeerLinkPointer link = std::make_shared<PeerLink>(
          std::move(socket), id, std::move(link_events));
      this->accepted[id].link = link;
      link->Start();
    }
    this->Accept();
  });
}

void PeerTable::AcceptLater() {
  this->accept_pause.expires_after(kAcceptPause);
  this->accept_pause.async_wait([this](boost::system::error_code error) {
    if (!error && !this->is_closed) {
      this->Accept();
    }
  });
}

void PeerTable::Learn(const NodeAddress& node) {
  if (node.name == this->self->node.name || node.address.empty()) {
    return;
  }
  const auto known = std::find_if(this->peers.begin(), this->peers.end(),
                                  [&node](const PeerPointer& peer) {
                                    return peer->node.name == node.name ||
                                           peer->node.address == node.address;
                                  });
  if (known == this->peers.end()) {
    const PeerPointer peer = std::make_shared<Peer>();
    peer->node = node;
    peer->lost_at = BootTimeNow();
    this->peers.push_back(peer);
    return;
  }
  const PeerPointer peer = *known;
  if (peer->is_self || node.incarnation <= peer->node.incarnation) {
    return;
  }
  // Started anew: what is known of the one before no longer holds.
  peer->node = node;
  peer->next_dial = Millis{0};
  peer->dial_wait = Millis{0};
  if (peer->link != nullptr) {
    this->LoseLink(peer);
  }
}

void PeerTable::Dial(Millis now, const PeerPointer& peer) {
  peer->is_dialling = true;
  peer->dial_wait =
      std::min(kLastDialWait, std::max(kFirstDialWait, peer->dial_wait * 2));
  peer->next_dial = now + kDialTimeout + peer->dial_wait;
  const std::shared_ptr<boost::asio::ip::tcp::socket> socket =
      std::make_shared<boost::asio::ip::tcp::socket>(this->loop);
  const std::weak_ptr<boost::asio::ip::tcp::socket> weak = socket;
  const std::shared_ptr<boost::asio::steady_timer> timer =
      std::make_shared<boost::asio::steady_timer>(
          this->loop, std::chrono::milliseconds(kDialTimeout.count));
  timer->async_wait([weak](boost::system::error_code error) {
    const std::shared_ptr<boost::asio::ip::tcp::socket> open = weak.lock();
    if (!error && open != nullptr) {
      boost::system::error_code ignored;
      open->close(ignored);
    }
  });
  socket->async_connect(
      ParseAddress(peer->node.address),
      [this, peer, socket, timer](boost::system::error_code error) {
        timer->cancel();
        peer->is_dialling = false;
        if (this->is_closed) {
          return;
        }
        if (error) {
          peer->next_dial = BootTimeNow() + peer->dial_wait;
          return;
        }
        this->Adopt(peer, std::move(*socket));
      });
}

void PeerTable::Adopt(const PeerPointer& peer,
                      boost::asio::ip::tcp::socket socket) {
  if (peer->link != nullptr) {
    return;
  }
  LinkEvents link_events;
  const std::weak_ptr<Peer> weak = peer;
  link_events.on_frame = [this, weak](const PeerLinkPointer& link,
                                      const RawFrame& frame) {
    const PeerPointer open = weak.lock();
    if (open != nullptr && open->link == link) {
      this->OnDialledFrame(open, frame);
    }
  };
  link_events.on_closed = [this, weak](const PeerLinkPointer& link) {
    const PeerPointer open = weak.lock();
    if (open != nullptr && open->link == link) {
      this->LoseLink(open);
    }
  };
  peer->link = std::make_shared<PeerLink>(std::move(socket), this->next_link++,
                                          std::move(link_events));
  peer->is_greeted = false;
  this->SendHello(*peer->link, peer->node.name);
  peer->link->Start();
  peer->link->FlushSoon();
}

void PeerTable::SendHello(PeerLink& link, const std::string& to) {
  HelloFrame hello;
  hello.self = this->self->node;
  hello.zone = this->settings.zone.Value();
  hello.deployment = this->settings.deployment;
  for (const PeerPointer& peer : this->peers) {
    if (!peer->is_self && peer->link != nullptr) {
      hello.others.push_back(peer->node);
    }
  }
  const auto known = this->remembered.find(to);
  if (known != this->remembered.end()) {
    for (const auto& [instance, record] : known->second) {
      hello.remembered.push_back(record);
    }
  }
  Append(hello, link.Out());
  link.FlushSoon();
}

void PeerTable::OnHello(const HelloFrame& hello) {
  this->Learn(hello.self);
  for (const NodeAddress& node : hello.others) {
    this->Learn(node);
  }
  for (const InstanceRecord& record : hello.remembered) {
    this->events.on_remembered(record);
  }
}

void PeerTable::OnAcceptedFrame(const PeerLinkPointer& link,
                                const RawFrame& frame) {
  if (frame.type == FrameType::kHello) {
    HelloFrame hello;
    if (!Decode(frame.payload, hello) ||
        hello.deployment != this->settings.deployment) {
      LogEvent(kEventPeerRefused, {{"node", hello.self.name}});
      this->accepted.erase(link->Id());
      link->Close();
      return;
    }
    this->accepted[link->Id()].node = hello.self.name;
    this->OnHello(hello);
    this->SendHello(*link, hello.self.name);
    Append(this->events.make_state(), link->Out());
    link->FlushSoon();
    return;
  }
  if (frame.type == FrameType::kPolicy && frame.payload.size() > 4) {
    // Its text stands behind four bytes of length.
    this->events.on_policy(std::string(frame.payload.substr(4)));
    return;
  }
  if (frame.type == FrameType::kPing) {
    Append(this->events.make_state(), link->Out());
    link->FlushSoon();
    return;
  }
  if (frame.type == FrameType::kSeen) {
    std::uint64_t sequence = 0;
    if (DecodeSeen(frame.payload, sequence)) {
      this->events.on_seen(sequence);
    }
    return;
  }
  this->events.on_call(link, frame);
}

void PeerTable::OnDialledFrame(const PeerPointer& peer, const RawFrame& frame) {
  peer->is_suspect = false;
  switch (frame.type) {
    case FrameType::kHello: {
      HelloFrame hello;
      if (Decode(frame.payload, hello)) {
        if (hello.self.name != peer->node.name) {
          // The address belongs to another node now.
          peer->node = hello.self;
        }
        peer->node.incarnation = hello.self.incarnation;
        this->OnHello(hello);
      }
      return;
    }
    case FrameType::kState:
      this->OnState(peer, frame.payload);
      return;
    default:
      this->events.on_answer(peer, frame);
  }
}

void PeerTable::OnState(const PeerPointer& peer, std::string_view payload) {
  StateFrame state;
  if (!Decode(payload, state)) {
    LogEvent(kEventPeerRefused, {{"node", peer->node.name}});
    this->LoseLink(peer);
    return;
  }
  const bool is_first = !peer->is_greeted;
  const bool is_moved = peer->told.service != state.service;
  peer->is_greeted = true;
  peer->dial_wait = Millis{0};
  peer->told = std::move(state);
  peer->told_at = BootTimeNow();
  peer->sent_since = 0;
  if (is_moved) {
    this->by_service.clear();
  }
  if (peer->told.state == InstanceState::kDraining) {
    std::map<std::string, InstanceRecord>& records =
        this->remembered[peer->node.name];
    if (records.size() >= kMostRemembered) {
      records.erase(records.begin());
    }
    records[peer->told.instance] =
        InstanceRecord{peer->node.name, peer->told.instance,
                       peer->told.sequence, peer->told.state};
    AppendSeen(peer->told.sequence, peer->link->Out());
    peer->link->FlushSoon();
  }
  this->events.on_state(peer, is_first);
}

void PeerTable::LoseLink(const PeerPointer& peer) {
  if (peer->link == nullptr) {
    return;
  }
  peer->link->Close();
  peer->link.reset();
  peer->is_greeted = false;
  peer->is_suspect = false;
  peer->lost_at = BootTimeNow();
  peer->next_dial = peer->lost_at + peer->dial_wait;
  LogEvent(kEventLinkLost, {{"peer", peer->node.name}});
  this->events.on_lost(peer);
}

const std::vector<PeerPointer>& PeerTable::Of(const std::string& service) {
  const auto found = this->by_service.find(service);
  if (found != this->by_service.end()) {
    return found->second;
  }
  std::vector<PeerPointer>& members = this->by_service[service];
  for (const PeerPointer& peer : this->peers) {
    if (peer->told.service == service) {
      members.push_back(peer);
    }
  }
  return members;
}

std::uint32_t PeerTable::CountLive() const {
  return static_cast<std::uint32_t>(std::count_if(
      this->peers.begin(), this->peers.end(),
      [](const PeerPointer& peer) { return peer->IsReachable(); }));
}

std::uint32_t PeerTable::OwnRank() const {
  const std::uint64_t own = StableHash(this->self->node.name);
  return static_cast<std::uint32_t>(std::count_if(
      this->peers.begin(), this->peers.end(), [own](const PeerPointer& peer) {
        return !peer->is_self && peer->IsReachable() && !peer->is_suspect &&
               StableHash(peer->node.name) < own;
      }));
}

void PeerTable::TellNow() {
  const StateFrame state = this->events.make_state();
  if (this->self->told.service != state.service) {
    this->by_service.clear();
  }
  this->self->told = state;
  this->self->told_at = BootTimeNow();
  this->self->sent_since = 0;
  this->last_told = this->self->told_at;
  if (this->accepted.empty()) {
    return;
  }
  std::string frame;
  Append(state, frame);
  for (const auto& [id, entry] : this->accepted) {
    entry.link->Out() += frame;
    entry.link->FlushSoon();
  }
}

void PeerTable::PassPolicy(Millis now, const PeerPointer& peer) {
  const std::string& text = this->events.policy_text();
  const bool is_behind =
      peer->is_greeted && !text.empty() &&
      peer->told.policy_version < this->self->told.policy_version;
  if (!is_behind) {
    peer->policy_sent = Millis{0};
    return;
  }
  if (peer->policy_sent == Millis{0}) {
    // A node that knows none needs it at once.
    const bool is_empty = peer->told.policy_version == 0;
    peer->policy_sent =
        is_empty ? now - kPolicyAgain : now - kPolicyAgain + kPolicyWait;
  }
  if (now - peer->policy_sent >= kPolicyAgain) {
    peer->policy_sent = now;
    AppendPolicy(text, peer->link->Out());
    peer->link->FlushSoon();
  }
}

void PeerTable::ForgetLost(Millis now) {
  const auto is_gone = [now](const PeerPointer& peer) {
    return !peer->is_self && peer->link == nullptr && !peer->is_dialling &&
           now - peer->lost_at > kForgetAfter;
  };
  const auto first =
      std::remove_if(this->peers.begin(), this->peers.end(), is_gone);
  if (first != this->peers.end()) {
    this->peers.erase(first, this->peers.end());
    this->by_service.clear();
  }
}

/// A node that is asked and says nothing is not sent more; it may only stand
/// still, so the link stays for a while.
void PeerTable::CheckSilence(Millis now, const PeerPointer& peer) {
  const Millis silence = now - peer->link->LastReceived();
  if (peer->outstanding == 0 || silence < kAskAfter || !peer->is_greeted) {
    return;
  }
  if (now - peer->pinged >= kAskAfter) {
    peer->pinged = now;
    AppendPing(peer->link->Out());
    peer->link->FlushSoon();
  }
  if (silence >= kSuspectAfter && !peer->is_suspect &&
      now >= this->patient_until) {
    peer->is_suspect = true;
    LogEvent(kEventLinkSilent,
             {{"peer", peer->node.name},
              {"silence_ms", std::to_string(silence.count)},
              {"calls_out", std::to_string(peer->outstanding)}});
    this->events.on_suspect(peer);
  }
}

void PeerTable::Tick(Millis now) {
  if (now - this->last_tick > kSuspended) {
    // This host stood still; what arrived meanwhile is still to be read.
    this->patient_until = now + kSilent;
  }
  this->last_tick = now;
  const bool is_busy = this->self->told.running + this->self->told.waiting > 0;
  const Millis by_links{static_cast<std::int64_t>(this->accepted.size()) *
                        kTellPerLink};
  const Millis busy_wait = std::clamp(by_links, kTellBusy, kTellIdle);
  if (now - this->last_told >= (is_busy ? busy_wait : kTellIdle)) {
    this->TellNow();
  }
  const std::vector<PeerPointer> all = this->peers;
  for (const PeerPointer& peer : all) {
    if (peer->is_self) {
      continue;
    }
    if (peer->link == nullptr) {
      if (!peer->is_dialling && now >= peer->next_dial) {
        this->Dial(now, peer);
      }
      continue;
    }
    this->CheckSilence(now, peer);
    if (now >= this->patient_until &&
        now - peer->link->LastReceived() > kSilent) {
      LogEvent(kEventLinkSilent, {{"peer", peer->node.name}});
      this->LoseLink(peer);
      continue;
    }
    this->PassPolicy(now, peer);
  }
  this->ForgetLost(now);
}

void PeerTable::Close() {
  this->is_closed = true;
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
  this->accept_pause.cancel();
  for (const PeerPointer& peer : this->peers) {
    if (peer->link != nullptr) {
      peer->link->Close();
    }
  }
  for (const auto& [id, entry] : this->accepted) {
    entry.link->Close();
  }
}

}  // namespace almondlink::relay
