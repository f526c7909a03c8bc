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
/// Delay before accepting again after descriptors ran out.
constexpr std::chrono::milliseconds kAcceptPause{100};
/// Interval of state reports while the target works, and while it is idle.
constexpr Millis kBusyReportInterval{200};
constexpr Millis kIdleReportInterval{1000};
/// A busy node sends at most one report in this many milliseconds over all
/// links, so with many nodes each link gets fewer reports.
constexpr std::int64_t kReportMillisPerLink = 3;
/// Silence after which a link is closed: two reports of an idle node were
/// missed.
constexpr Millis kLinkTimeout{2200};
/// A tick that is this late means that the host was suspended or the process
/// got no CPU time.
constexpr Millis kSuspensionGap{1000};
constexpr Millis kDialTimeout{1000};
constexpr Millis kMinDialBackoff{100};
constexpr Millis kMaxDialBackoff{2000};
/// A node that was unreachable for this long is removed and no longer dialled;
/// it dials this node when it returns.
constexpr Millis kRemoveAfter{60'000};
/// A node that was unreachable for this long counts as ended rather than
/// partitioned: twice the observed duration of network partitions.
constexpr Millis kMaxPartitionTime{30'000};

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
    if (IsResourceShortage(error)) {
      this->RetryAcceptLater();
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

void PeerTable::RetryAcceptLater() {
  this->accept_pause.expires_after(kAcceptPause);
  this->accept_pause.async_wait([this](boost::system::error_code error) {
    if (!error && !this->is_closed) {
      this->Accept();
    }
  });
}

bool PeerTable::AddNode(const NodeAddress& node) {
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
    peer->disconnected_at = BootTimeNow();
    this->peers.push_back(peer);
    return true;
  }
  const PeerPointer peer = *known;
  if (peer->is_self || node.incarnation <= peer->node.incarnation) {
    return false;
  }
  // The node has restarted; what is known of the previous incarnation no longer
  // holds.
  UpdateIncarnation(node.incarnation, *peer);
  peer->node = node;
  peer->next_dial = Millis{0};
  peer->dial_backoff = Millis{0};
  if (peer->link != nullptr) {
    this->DropLink(peer);
  }
  return false;
}

void PeerTable::Dial(Millis now, const PeerPointer& peer) {
  peer->is_dialling = true;
  peer->dial_backoff = std::min(
      kMaxDialBackoff, std::max(kMinDialBackoff, peer->dial_backoff * 2));
  peer->next_dial = now + kDialTimeout + peer->dial_backoff;
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
        peer->is_connection_refused =
            error == boost::asio::error::connection_refused;
        if (error) {
          peer->next_dial = BootTimeNow() + peer->dial_backoff;
          return;
        }
        this->AttachLink(peer, std::move(*socket));
      });
}

void PeerTable::AttachLink(const PeerPointer& peer,
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
      this->DropLink(open);
    }
  };
  peer->link = std::make_shared<PeerLink>(std::move(socket), this->next_link++,
                                          std::move(link_events));
  peer->has_reported = false;
  this->SendHello(*peer->link, peer->node.name);
  peer->link->Start();
  peer->link->ScheduleFlush();
}

void PeerTable::DropLink(const PeerPointer& peer) {
  if (peer->link == nullptr) {
    return;
  }
  peer->link->Close();
  peer->link.reset();
  peer->has_reported = false;
  peer->is_suspect = false;
  peer->disconnected_at = BootTimeNow();
  peer->next_dial = peer->disconnected_at + peer->dial_backoff;
  LogEvent(kEventLinkLost, {{"peer", peer->node.name}});
  this->events.on_link_lost(peer);
}

const std::vector<PeerPointer>& PeerTable::PeersOfService(
    const std::string& service) {
  const auto found = this->by_service.find(service);
  if (found != this->by_service.end()) {
    return found->second;
  }
  std::vector<PeerPointer>& members = this->by_service[service];
  for (const PeerPointer& peer : this->peers) {
    if (peer->reported.service == service) {
      members.push_back(peer);
    }
  }
  return members;
}

std::uint32_t PeerTable::CountReachable() const {
  return static_cast<std::uint32_t>(std::count_if(
      this->peers.begin(), this->peers.end(),
      [](const PeerPointer& peer) { return peer->IsReachable(); }));
}

PeerTable::Reachability PeerTable::MeasureReachability(Millis now) const {
  Reachability reach;
  for (const PeerPointer& peer : this->peers) {
    const bool is_reached = peer->IsReachable();
    const bool may_be_cut_off =
        !peer->is_connection_refused && !peer->reported.is_stopping &&
        now - peer->disconnected_at <= kMaxPartitionTime;
    reach.reachable += is_reached ? 1 : 0;
    reach.known += is_reached || may_be_cut_off ? 1 : 0;
  }
  return reach;
}

void PeerTable::RemoveUnreachable(Millis now) {
  const auto is_gone = [now](const PeerPointer& peer) {
    return !peer->is_self && peer->link == nullptr && !peer->is_dialling &&
           now - peer->disconnected_at > kRemoveAfter;
  };
  const auto first =
      std::remove_if(this->peers.begin(), this->peers.end(), is_gone);
  if (first != this->peers.end()) {
    this->peers.erase(first, this->peers.end());
    this->by_service.clear();
  }
}

/// Pings a silent peer and marks it as suspect if it does not answer. A suspect
/// gets no more calls, but its link is kept for a while, since the node may
/// only be suspended.
void PeerTable::CheckSilence(Millis now, const PeerPointer& peer) {
  const Millis heard = peer->link->LastReceived();
  const std::uint32_t answers_due = peer->last_query_at > heard ? 1 : 0;
  const control::LinkSilence silence{now, heard, peer->last_pinged,
                                     peer->first_pinged,
                                     peer->outstanding + answers_due};
  const control::SilenceAction step = peer->has_reported
                                          ? control::EvaluateSilence(silence)
                                          : control::SilenceAction::kNothing;
  const bool is_asked = peer->first_pinged > heard;
  if (step == control::SilenceAction::kPing ||
      (step == control::SilenceAction::kSuspect &&
       now < this->silence_tolerated_until)) {
    peer->last_pinged = now;
    peer->first_pinged = is_asked ? peer->first_pinged : now;
    AppendPing(peer->link->OutputBuffer());
    peer->link->ScheduleFlush();
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
  if (now - this->last_tick > kSuspensionGap) {
    // This host was suspended; frames that arrived meanwhile have yet to be
    // read.
    this->silence_tolerated_until = now + kLinkTimeout;
  }
  this->last_tick = now;
  const bool is_busy =
      this->self->reported.running + this->self->reported.waiting > 0;
  const Millis by_links{static_cast<std::int64_t>(this->accepted.size()) *
                        kReportMillisPerLink};
  const Millis busy_wait =
      std::clamp(by_links, kBusyReportInterval, kIdleReportInterval);
  if (now - this->last_announced >=
      (is_busy ? busy_wait : kIdleReportInterval)) {
    this->AnnounceState();
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
    if (now >= this->silence_tolerated_until &&
        now - peer->link->LastReceived() > kLinkTimeout) {
      LogEvent(kEventLinkSilent, {{"peer", peer->node.name}});
      this->DropLink(peer);
      continue;
    }
    this->PushPolicy(now, peer);
  }
  this->RequestPolicy(now);
  this->RemoveUnreachable(now);
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
