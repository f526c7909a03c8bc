#include "almondlink/relay/peer_table.h"

#include <algorithm>
#include <chrono>
#include <utility>

#include "address.h"
#include "almondlink/base/event_log.h"
#include "almondlink/control/link_silence.h"
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
constexpr Millis kDialTimeout{1000};
constexpr Millis kFirstDialWait{100};
constexpr Millis kLastDialWait{2000};
/// A node that could not be reached for so long is no longer dialled; it dials
/// us when it comes back.
constexpr Millis kForgetAfter{60'000};
/// A node that was not reached for so long counts as gone rather than cut off:
/// as long as the parts of a network were seen to lose each other, twice over.
constexpr Millis kCutOffAtMost{30'000};

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
      self(std::make_shared<Peer>()),
      random(std::random_device()()) {
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

bool PeerTable::Learn(const NodeAddress& node) {
  if (node.name == this->self->node.name || node.address.empty()) {
    return false;
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
    return true;
  }
  const PeerPointer peer = *known;
  if (peer->is_self || node.incarnation <= peer->node.incarnation) {
    return false;
  }
  // Started anew: what is known of the one before no longer holds.
  NoteStart(node.incarnation, *peer);
  peer->node = node;
  peer->next_dial = Millis{0};
  peer->dial_wait = Millis{0};
  if (peer->link != nullptr) {
    this->LoseLink(peer);
  }
  return false;
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
        peer->is_refused = error == boost::asio::error::connection_refused;
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

PeerTable::Reach PeerTable::ReachOfNodes(Millis now) const {
  Reach reach;
  for (const PeerPointer& peer : this->peers) {
    const bool is_reached = peer->IsReachable();
    const bool may_be_cut_off = !peer->is_refused && !peer->told.is_stopping &&
                                now - peer->lost_at <= kCutOffAtMost;
    reach.reached += is_reached ? 1 : 0;
    reach.known += is_reached || may_be_cut_off ? 1 : 0;
  }
  return reach;
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
  const Millis heard = peer->link->LastReceived();
  const std::uint32_t answers_due = peer->answer_due > heard ? 1 : 0;
  const control::LinkSilence silence{now, heard, peer->pinged,
                                     peer->first_pinged,
                                     peer->outstanding + answers_due};
  const control::SilenceAction step = peer->is_greeted
                                          ? control::EvaluateSilence(silence)
                                          : control::SilenceAction::kNothing;
  const bool is_asked = peer->first_pinged > heard;
  if (step == control::SilenceAction::kPing ||
      (step == control::SilenceAction::kSuspect && now < this->patient_until)) {
    peer->pinged = now;
    peer->first_pinged = is_asked ? peer->first_pinged : now;
    AppendPing(peer->link->Out());
    peer->link->FlushSoon();
    return;
  }
  if (step == control::SilenceAction::kSuspect && !peer->is_suspect &&
      this->settings.decisions.has_suspects) {
    peer->is_suspect = true;
    LogEvent(kEventLinkSilent,
             {{"peer", peer->node.name},
              {"silence_ms", std::to_string((now - heard).count)},
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
    this->PushPolicy(now, peer);
  }
  this->AskForPolicy(now);
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
