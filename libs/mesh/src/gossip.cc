#include "almondlink/mesh/gossip.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <map>
#include <random>
#include <utility>

#include "almondlink/base/event_log.h"
#include "almondlink/control/token_bucket.h"

namespace almondlink::mesh {

namespace {

using boost::asio::ip::udp;

constexpr std::size_t kMacBytes = 32;
constexpr std::size_t kMaxDatagram = 8 * 1024;
/// Every so many intervals a member held failed is asked, too.
constexpr std::uint64_t kRoundsPerFailed = 4;
/// Members told at once of an announcement.
constexpr std::size_t kAnnounceFanout = 8;
/// Jitter of the probe interval: between 0.75 and 1.25 of it.
constexpr double kLeastJitter = 0.75;
constexpr double kJitterSpan = 0.5;

Result<udp::endpoint> ToUdp(const std::string& address) {
  BOOST_LEAF_AUTO(endpoint, config::ParseEndpoint(address));
  boost::system::error_code error;
  const boost::asio::ip::address ip =
      boost::asio::ip::make_address(endpoint.ip, error);
  if (error) {
    return Fail(ErrorKind::kBadMessage, address + ": " + error.message());
  }
  return udp::endpoint(ip, endpoint.port);
}

/// A probe that is out.
struct ProbeOut {
  wire::Member member;
  Millis sent;
  bool is_indirect = false;
  /// For a probe made on behalf of another: where to send the ack.
  std::string asker_address;
  std::uint64_t asker_sequence = 0;
};

}  // namespace

class Gossip::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& loop,
       const GossipConfig& config,
       const wire::Member& self,
       GossipHandlers handlers)
      : config(config),
        handlers(std::move(handlers)),
        socket(loop),
        probe_timer(loop),
        check_timer(loop),
        random(std::random_device()()) {
    control::StartMembership(self, MonotonicNow(), this->membership);
  }

  Result<void> Start() {
    boost::system::error_code error;
    const boost::asio::ip::address ip =
        boost::asio::ip::make_address(this->config.address.ip, error);
    const udp::endpoint where(ip, this->config.address.port);
    this->socket.open(where.protocol(), error);
    if (!error) {
      this->socket.bind(where, error);
    }
    if (!error) {
      this->socket.non_blocking(true, error);
    }
    if (error) {
      return Fail(ErrorKind::kIo,
                  this->config.address.Text() + " (UDP): " + error.message());
    }
    this->Receive();
    this->ScheduleProbe();
    this->ScheduleCheck();
    return {};
  }

  void Stop() {
    this->is_stopped = true;
    boost::system::error_code ignored;
    this->socket.close(ignored);
    this->probe_timer.cancel();
    this->check_timer.cancel();
  }

  void Merge(const std::vector<wire::Member>& members) {
    bool is_changed = false;
    for (const wire::Member& member : members) {
      is_changed |= this->MergeOne(member);
    }
    if (is_changed) {
      this->handlers.on_change();
    }
  }

  void Announce(const wire::Member& changed) {
    control::AnnounceSelf(changed, MonotonicNow(), this->membership);
    const std::vector<wire::Member> told = control::PickHelpers(
        "", kAnnounceFanout, this->Draw(), this->membership);
    for (const wire::Member& member : told) {
      this->SendProbe(member, ++this->sequence);
    }
    this->handlers.on_change();
  }

  void TellAll(const wire::EndsNews& news) {
    const policy::Bytes message = wire::Encode(news);
    for (const auto& [node, entry] : this->membership.members) {
      const bool is_told =
          node != this->membership.self.Value() &&
          entry.member.state ==
              static_cast<std::uint32_t>(control::MemberState::kAlive);
      if (is_told) {
        this->SendTo(entry.member.address, message);
      }
    }
  }

  void SetBundleOffset(std::uint64_t offset) { this->bundle_offset = offset; }
  const control::Membership& Members() const { return this->membership; }
  GossipStats Stats() const { return this->stats; }

 private:
  double Draw() {
    return std::uniform_real_distribution<double>(0, 1)(this->random);
  }

  bool MergeOne(const wire::Member& member) {
    const control::MergeResult result = control::MergeMember(
        this->config.rules, member, MonotonicNow(), this->membership);
    if (result.is_refuted) {
      LogEvent(kEventRefuted, {{"state", std::to_string(member.state)}});
    } else if (result.is_changed) {
      LogEvent(kEventMemberChanged,
               {{"member", member.node},
                {"service", member.service},
                {"zone", member.zone},
                {"state", std::to_string(member.state)},
                {"draining", member.is_draining ? "true" : "false"}});
    }
    return result.is_changed;
  }

  void Receive() {
    this->socket.async_receive_from(
        boost::asio::buffer(this->buffer), this->sender,
        [self = this->shared_from_this()](boost::system::error_code error,
                                          std::size_t size) {
          if (self->is_stopped) {
            return;
          }
          if (!error) {
            self->OnDatagram(size);
          }
          self->Receive();
        });
  }

  void OnDatagram(std::size_t size) {
    ++this->stats.received_messages;
    this->stats.received_bytes += size;
    const bool is_taken_in =
        size > kMacBytes &&
        control::TakeToken(this->config.max_rate, MonotonicNow(), this->rate);
    if (!is_taken_in) {
      ++this->stats.refused_messages;
      return;
    }
    const policy::Bytes mac(this->buffer.begin(),
                            this->buffer.begin() + kMacBytes);
    const policy::Bytes message(
        this->buffer.begin() + kMacBytes,
        this->buffer.begin() + static_cast<std::ptrdiff_t>(size));
    if (!policy::IsMac(this->config.key, message, mac)) {
      ++this->stats.refused_messages;
      return;
    }
    const bool is_taken = HandleFailure(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(this->Dispatch(message));
          return true;
        },
        [](const Failure&) { return false; });
    this->stats.refused_messages += is_taken ? 0 : 1;
  }

  Result<void> Dispatch(const policy::Bytes& message) {
    BOOST_LEAF_AUTO(tag, wire::PeekTag(message.data(), message.size()));
    switch (tag) {
      case wire::Tag::kProbe: {
        BOOST_LEAF_AUTO(probe,
                        wire::DecodeProbe(message.data(), message.size()));
        this->OnProbe(probe);
        return {};
      }
      case wire::Tag::kProbeAck: {
        BOOST_LEAF_AUTO(ack,
                        wire::DecodeProbeAck(message.data(), message.size()));
        this->OnAck(ack);
        return {};
      }
      case wire::Tag::kProbeRequest: {
        BOOST_LEAF_AUTO(
            request, wire::DecodeProbeRequest(message.data(), message.size()));
        this->OnProbeRequest(request);
        return {};
      }
      case wire::Tag::kEndsNews: {
        BOOST_LEAF_AUTO(news,
                        wire::DecodeEndsNews(message.data(), message.size()));
        if (this->handlers.on_ends) {
          this->handlers.on_ends(news);
        }
        return {};
      }
      default:
        return Fail(ErrorKind::kBadMessage, "not a gossip message");
    }
  }

  void TakeNews(const wire::Member& from,
                std::uint64_t peer_bundle,
                const std::vector<wire::Member>& updates) {
    std::vector<wire::Member> news = updates;
    news.push_back(from);
    this->Merge(news);
    if (peer_bundle > this->bundle_offset) {
      this->handlers.on_newer_bundle(from, peer_bundle);
    }
  }

  void OnProbe(const wire::Probe& probe) {
    this->TakeNews(probe.from, probe.bundle_offset, probe.updates);
    wire::ProbeAck ack;
    ack.sequence = probe.sequence;
    ack.from = control::SelfMember(this->membership);
    ack.bundle_offset = this->bundle_offset;
    ack.updates = this->UpdatesFor(probe.from.node);
    this->SendTo(probe.from.address, wire::Encode(std::move(ack)));
  }

  /// Updates for one receiver. One that is held suspect or failed is always
  /// told so: only it can refute that.
  std::vector<wire::Member> UpdatesFor(const std::string& node) {
    std::vector<wire::Member> updates =
        control::PickUpdates(this->config.rules, this->membership);
    const auto found = this->membership.members.find(node);
    const bool is_held_alive =
        found == this->membership.members.end() ||
        found->second.member.state ==
            static_cast<std::uint32_t>(control::MemberState::kAlive);
    if (!is_held_alive) {
      updates.push_back(found->second.member);
    }
    return updates;
  }

  void OnAck(const wire::ProbeAck& ack) {
    this->TakeNews(ack.from, ack.bundle_offset, ack.updates);
    const auto found = this->probes.find(ack.sequence);
    if (found == this->probes.end()) {
      return;
    }
    const ProbeOut probe = found->second;
    this->probes.erase(found);
    if (!probe.asker_address.empty()) {
      // Passed on as the probed node's own words.
      wire::ProbeAck passed = ack;
      passed.sequence = probe.asker_sequence;
      this->SendTo(probe.asker_address, wire::Encode(std::move(passed)));
    }
  }

  void OnProbeRequest(const wire::ProbeRequest& request) {
    ProbeOut probe;
    probe.member.address = request.address;
    probe.sent = MonotonicNow();
    probe.is_indirect = true;
    probe.asker_address = request.from.address;
    probe.asker_sequence = request.sequence;
    const std::uint64_t id = ++this->sequence;
    this->probes[id] = probe;
    this->SendProbe(probe.member, id);
  }

  void SendProbe(const wire::Member& member, std::uint64_t id) {
    wire::Probe probe;
    probe.sequence = id;
    probe.from = control::SelfMember(this->membership);
    probe.bundle_offset = this->bundle_offset;
    probe.updates = this->UpdatesFor(member.node);
    this->SendTo(member.address, wire::Encode(std::move(probe)));
  }

  void SendTo(const std::string& address, const policy::Bytes& message) {
    if (this->config.is_lost && this->config.is_lost(address)) {
      return;
    }
    HandleFailure(
        [&]() -> Result<bool> {
          BOOST_LEAF_AUTO(where, ToUdp(address));
          policy::Bytes datagram = policy::Mac(this->config.key, message);
          datagram.insert(datagram.end(), message.begin(), message.end());
          boost::system::error_code ignored;
          this->socket.send_to(boost::asio::buffer(datagram), where, 0,
                               ignored);
          ++this->stats.sent_messages;
          this->stats.sent_bytes += datagram.size();
          return true;
        },
        [](const Failure&) { return false; });
  }

  void ScheduleProbe() {
    const double jitter = kLeastJitter + kJitterSpan * this->Draw();
    const auto wait = static_cast<std::int64_t>(
        static_cast<double>(this->config.probe_interval.count) * jitter);
    this->probe_timer.expires_after(std::chrono::milliseconds(wait));
    this->probe_timer.async_wait(
        [self = this->shared_from_this()](boost::system::error_code error) {
          if (error || self->is_stopped) {
            return;
          }
          self->ProbeNext();
          self->ScheduleProbe();
        });
  }

  void ProbeNext() {
    if (++this->rounds % kRoundsPerFailed == 0) {
      const std::optional<wire::Member> failed =
          control::PickFailed(this->Draw(), this->membership);
      if (failed.has_value()) {
        this->SendProbe(*failed, ++this->sequence);
      }
    }
    const std::optional<wire::Member> member =
        control::NextProbe(this->Draw(), this->membership);
    if (!member.has_value()) {
      return;
    }
    const std::uint64_t id = ++this->sequence;
    ProbeOut probe;
    probe.member = *member;
    probe.sent = MonotonicNow();
    this->probes[id] = probe;
    this->SendProbe(*member, id);
  }

  void ScheduleCheck() {
    this->check_timer.expires_after(
        std::chrono::milliseconds(this->config.probe_timeout.count / 2 + 1));
    this->check_timer.async_wait(
        [self = this->shared_from_this()](boost::system::error_code error) {
          if (error || self->is_stopped) {
            return;
          }
          self->CheckProbes();
          self->ScheduleCheck();
        });
  }

  /// A probe without ack is tried through others, then counts against the
  /// member.
  void CheckProbes() {
    const Millis now = MonotonicNow();
    bool is_changed = false;
    for (auto it = this->probes.begin(); it != this->probes.end();) {
      ProbeOut& probe = it->second;
      if (now - probe.sent <= this->config.probe_timeout) {
        ++it;
        continue;
      }
      const bool is_first = !probe.is_indirect;
      if (is_first) {
        this->AskHelpers(it->first, probe);
        probe.is_indirect = true;
        probe.sent = now + this->config.probe_timeout;
        ++it;
        continue;
      }
      if (probe.asker_address.empty()) {
        is_changed |=
            control::SuspectMember(probe.member.node, now, this->membership);
      }
      it = this->probes.erase(it);
    }
    const std::vector<std::string> failed =
        control::ExpireMembers(this->config.rules, now, this->membership);
    for (const std::string& node : failed) {
      LogEvent(kEventMemberChanged, {{"member", node}, {"state", "2"}});
    }
    if (is_changed || !failed.empty()) {
      this->handlers.on_change();
    }
  }

  void AskHelpers(std::uint64_t id, const ProbeOut& probe) {
    const std::vector<wire::Member> helpers =
        control::PickHelpers(probe.member.node, this->config.helpers,
                             this->Draw(), this->membership);
    for (const wire::Member& helper : helpers) {
      wire::ProbeRequest request;
      request.sequence = id;
      request.from = control::SelfMember(this->membership);
      request.address = probe.member.address;
      this->SendTo(helper.address, wire::Encode(std::move(request)));
    }
  }

  const GossipConfig config;
  GossipHandlers handlers;
  udp::socket socket;
  boost::asio::steady_timer probe_timer;
  boost::asio::steady_timer check_timer;
  std::mt19937_64 random;
  control::Membership membership;
  std::map<std::uint64_t, ProbeOut> probes;
  std::uint64_t sequence = 0;
  std::uint64_t rounds = 0;
  control::TokenBucket rate;
  std::uint64_t bundle_offset = 0;
  bool is_stopped = false;
  udp::endpoint sender;
  std::array<std::uint8_t, kMaxDatagram> buffer{};
  GossipStats stats;
};

Gossip::Gossip(boost::asio::io_context& loop,
               const GossipConfig& config,
               const wire::Member& self,
               GossipHandlers handlers)
    : impl(std::make_shared<Impl>(loop, config, self, std::move(handlers))) {}

Gossip::~Gossip() {
  this->impl->Stop();
}

Result<void> Gossip::Start() {
  return this->impl->Start();
}

void Gossip::Stop() {
  this->impl->Stop();
}

void Gossip::Merge(const std::vector<wire::Member>& members) {
  this->impl->Merge(members);
}

void Gossip::Announce(const wire::Member& changed) {
  this->impl->Announce(changed);
}

void Gossip::TellAll(const wire::EndsNews& news) {
  this->impl->TellAll(news);
}

void Gossip::SetBundleOffset(std::uint64_t offset) {
  this->impl->SetBundleOffset(offset);
}

const control::Membership& Gossip::Members() const {
  return this->impl->Members();
}

GossipStats Gossip::Stats() const {
  return this->impl->Stats();
}

}  // namespace almondlink::mesh
