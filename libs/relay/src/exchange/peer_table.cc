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

/// All other nodes of a fleet may connect within the same moment. The system
/// may limit it further.
constexpr int kBacklog = 4096;
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
/// The same for a node that reports only to its aggregator, since the first
/// ping that was not answered.
constexpr Millis kPingTimeout{1900};
/// A tick that is this late means that the host was suspended or the process
/// got no CPU time.
constexpr Millis kSuspensionGap{1000};
constexpr Millis kDialTimeout{1000};
/// Delay of the second node of a pair that may share a link. The first knows
/// and dials the other within this time unless it has just started.
constexpr Millis kSecondDialDelay{500};
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
  this->AddToIndex(this->self);
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
        this->CloseAccepted(link);
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

void PeerTable::AddToIndex(const PeerPointer& peer) {
  this->by_name[peer->node.name] = peer;
  this->by_address[peer->node.address] = peer;
}

void PeerTable::RemoveFromIndex(const PeerPointer& peer) {
  const auto named = this->by_name.find(peer->node.name);
  if (named != this->by_name.end() && named->second == peer) {
    this->by_name.erase(named);
  }
  const auto addressed = this->by_address.find(peer->node.address);
  if (addressed != this->by_address.end() && addressed->second == peer) {
    this->by_address.erase(addressed);
  }
}

void PeerTable::Rename(const PeerPointer& peer, const NodeAddress& node) {
  this->RemoveFromIndex(peer);
  peer->node = node;
  this->AddToIndex(peer);
}

PeerPointer PeerTable::FindPeer(const std::string& name) const {
  const auto found = this->by_name.find(name);
  return found == this->by_name.end() ? nullptr : found->second;
}

/// The entry with that name, or else with that address.
PeerPointer PeerTable::FindNode(const NodeAddress& node) const {
  const auto named = this->by_name.find(node.name);
  if (named != this->by_name.end()) {
    return named->second;
  }
  const auto addressed = this->by_address.find(node.address);
  return addressed == this->by_address.end() ? nullptr : addressed->second;
}

bool PeerTable::AddNode(const NodeAddress& node) {
  if (node.name == this->self->node.name || node.address.empty()) {
    return false;
  }
  const PeerPointer known = this->FindNode(node);
  if (known == nullptr) {
    const PeerPointer peer = std::make_shared<Peer>();
    peer->node = node;
    peer->disconnected_at = BootTimeNow();
    if (!this->DialsFirst(*peer)) {
      peer->next_dial = peer->disconnected_at + kSecondDialDelay;
    }
    this->peers.push_back(peer);
    this->AddToIndex(peer);
    return true;
  }
  const PeerPointer& peer = known;
  if (peer->is_self || node.incarnation <= peer->node.incarnation) {
    return false;
  }
  // The node has restarted; what is known of the previous incarnation no longer
  // holds.
  UpdateIncarnation(node.incarnation, *peer);
  this->Rename(peer, node);
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

bool PeerTable::IsLargeFleet() const {
  return this->peers.size() > this->settings.decisions.direct_nodes;
}

/// Whether this node dials the peer at once. In a large fleet one node of each
/// pair waits for the link of the other.
bool PeerTable::DialsFirst(const Peer& peer) const {
  return !this->IsLargeFleet() || this->self->node.name < peer.node.name;
}

/// Uses an accepted link for calls to its peer too, if there is no other link.
void PeerTable::ShareAcceptedLink(const PeerLinkPointer& link,
                                  AcceptedLink& entry) {
  const PeerPointer peer = this->FindPeer(entry.node);
  const bool can_share = this->IsLargeFleet() && peer != nullptr &&
                         !peer->is_self && peer->link == nullptr &&
                         !peer->is_dialling &&
                         entry.protocol_version >= kVersionLoadSums;
  if (can_share) {
    entry.shared_with = peer;
    peer->link = link;
    peer->has_reported = false;
    peer->is_connection_refused = false;
    peer->protocol_version = entry.protocol_version;
  }
}

/// The peer uses the link that this node dialled for its calls too.
void PeerTable::ShareDialledLink(const PeerPointer& peer) {
  AcceptedLink& entry = this->accepted[peer->link->Id()];
  if (entry.link != nullptr) {
    return;
  }
  entry.link = peer->link;
  entry.node = peer->node.name;
  entry.protocol_version = peer->protocol_version;
  entry.shared_with = peer;
  this->SendState(entry);
}

/// Removes a closed accepted link. If it was shared, the peer loses its link.
void PeerTable::CloseAccepted(const PeerLinkPointer& link) {
  const auto entry = this->accepted.find(link->Id());
  if (entry == this->accepted.end()) {
    return;
  }
  const PeerPointer peer = entry->second.shared_with.lock();
  if (peer != nullptr && peer->link == link) {
    this->DropLink(peer);
    return;
  }
  this->accepted.erase(entry);
  this->events.on_accepted_closed(link->Id());
}

void PeerTable::DropLink(const PeerPointer& peer) {
  if (peer->link == nullptr) {
    return;
  }
  const PeerLinkPointer link = std::move(peer->link);
  peer->link.reset();
  link->Close();
  if (this->accepted.erase(link->Id()) > 0) {
    this->events.on_accepted_closed(link->Id());
  }
  peer->has_reported = false;
  peer->is_suspect = false;
  peer->disconnected_at = BootTimeNow();
  peer->next_dial = peer->disconnected_at + peer->dial_backoff;
  if (!this->DialsFirst(*peer)) {
    peer->next_dial = peer->next_dial + kSecondDialDelay;
  }
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

bool PeerTable::IsGreeted() const {
  return std::any_of(
             this->accepted.begin(), this->accepted.end(),
             [](const auto& entry) { return !entry.second.node.empty(); }) ||
         this->CountReachable() > 1;
}

void PeerTable::DialDue(Millis now) {
  for (const PeerPointer& peer : this->peers) {
    if (!peer->is_self && peer->link == nullptr && !peer->is_dialling &&
        now >= peer->next_dial) {
      this->Dial(now, peer);
    }
  }
}

std::size_t PeerTable::CountLinks() const {
  const auto dialled = std::count_if(
      this->peers.begin(), this->peers.end(), [this](const PeerPointer& peer) {
        return peer->link != nullptr &&
               this->accepted.count(peer->link->Id()) == 0;
      });
  return this->accepted.size() + static_cast<std::size_t>(dialled);
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
  const auto first = std::stable_partition(
      this->peers.begin(), this->peers.end(),
      [&is_gone](const PeerPointer& peer) { return !is_gone(peer); });
  if (first != this->peers.end()) {
    std::for_each(first, this->peers.end(), [this](const PeerPointer& peer) {
      this->RemoveFromIndex(peer);
    });
    this->peers.erase(first, this->peers.end());
    this->by_service.clear();
  }
}

/// Pings a silent peer and marks it as suspect if it does not answer. A suspect
/// gets no more calls, but its link is kept for a while, since the node may
/// only be suspended.
void PeerTable::CheckSilence(Millis now, const PeerPointer& peer) {
  // A node that does not report to this one is silent until a call is sent.
  const Millis received = peer->link->LastReceived();
  const Millis heard = peer->reported.is_load_summed
                           ? std::max(received, peer->awaited_since)
                           : received;
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

/// Whether the link has been silent for so long that it must be replaced.
bool PeerTable::IsLinkDead(Millis now, const Peer& peer) const {
  if (now < this->silence_tolerated_until) {
    return false;
  }
  const Millis heard = peer.link->LastReceived();
  if (peer.has_reported && peer.reported.is_load_summed) {
    return peer.first_pinged > heard && now - peer.first_pinged > kPingTimeout;
  }
  return now - heard > kLinkTimeout;
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
  // By index, since a lost link may add nodes.
  const std::size_t count = this->peers.size();
  for (std::size_t i = 0; i < count; ++i) {
    const PeerPointer peer = this->peers[i];
    if (peer->is_self || peer->link == nullptr) {
      continue;
    }
    this->CheckSilence(now, peer);
    if (this->IsLinkDead(now, *peer)) {
      LogEvent(kEventLinkSilent, {{"peer", peer->node.name}});
      this->DropLink(peer);
      continue;
    }
    this->PushPolicy(now, peer);
  }
  this->DialDue(now);
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
