#include "almondlink/mesh/peer_links.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <unordered_map>
#include <utility>
#include <vector>

#include "almondlink/base/event_log.h"
#include "almondlink/base/running_clock.h"
#include "link_proof.h"
#include "observed_clock.h"
#include "outgoing_link.h"

namespace almondlink::mesh {

class PeerLinks::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(boost::asio::io_context& loop, const PeerLinksConfig& config)
      : loop(loop), config(config), check_timer(loop) {
    this->endpoint.clear_access_channels(websocketpp::log::alevel::all);
    this->endpoint.clear_error_channels(websocketpp::log::elevel::all);
    this->endpoint.init_asio(&loop);
    this->endpoint.set_max_message_size(config.max_message);
    this->endpoint.set_open_handshake_timeout(config.connect_timeout.count);
    StartRunningClock(MonotonicNow(), this->clock);
  }

  /// Second step of construction: needs shared_from_this.
  void Start() { this->ScheduleCheck(); }

  CallId Send(const std::string& address,
              wire::Call call,
              Millis timeout,
              AnswerHandler on_answer) {
    const std::uint64_t id = ++this->last_id;
    call.id = id;
    Pending pending;
    pending.on_answer = std::move(on_answer);
    this->Enqueue(id, address, wire::Encode(std::move(call)), timeout,
                  std::move(pending));
    return CallId(id);
  }

  void Pull(const std::string& address,
            wire::StatePull pull,
            Millis timeout,
            StateHandler on_state) {
    const std::uint64_t id = ++this->last_id;
    pull.id = id;
    Pending pending;
    pending.on_state = std::move(on_state);
    this->Enqueue(id, address, wire::Encode(pull), timeout, std::move(pending));
  }

  void Cancel(CallId call) {
    const auto found = this->pending.find(call.Value());
    if (found == this->pending.end()) {
      return;
    }
    const LinkPointer link = found->second.link;
    const bool is_sent = found->second.is_sent;
    this->Forget(found);
    if (is_sent && link->state == LinkState::kOpen) {
      wire::Cancel cancel;
      cancel.id = call.Value();
      this->Write(*link, wire::Encode(cancel));
    }
  }

  void Close() {
    this->is_closing = true;
    this->check_timer.cancel();
    const std::vector<LinkPointer> open = this->AllLinks();
    for (const LinkPointer& link : open) {
      this->Drop(link, "closing", websocketpp::close::status::going_away);
    }
  }

  std::size_t LinkCount() const { return this->links.size(); }
  std::uint64_t LateAnswers() const { return this->late_answers; }
  LatencyMs PreciseRunningNow() { return PreciseNowOn(this->clock); }

 private:
  void Enqueue(std::uint64_t id,
               const std::string& address,
               std::vector<std::uint8_t> bytes,
               Millis timeout,
               Pending pending) {
    const LinkPointer link = this->LinkTo(address);
    pending.link = link;
    pending.deadline = NowOn(this->clock) + timeout;
    pending.timer = std::make_unique<boost::asio::steady_timer>(this->loop);
    this->StartTimer(id, timeout, *pending.timer);
    ++link->out;
    link->last_used = NowOn(this->clock);
    Pending& stored =
        this->pending.emplace(id, std::move(pending)).first->second;
    if (link->state == LinkState::kOpen) {
      stored.is_sent = true;
      this->Write(*link, bytes);
    } else {
      link->backlog.emplace_back(id, std::move(bytes));
    }
  }

  void StartTimer(std::uint64_t id,
                  Millis wait,
                  boost::asio::steady_timer& timer) {
    timer.expires_after(std::chrono::milliseconds(wait.count));
    timer.async_wait(
        [weak = this->weak_from_this(), id](boost::system::error_code error) {
          const std::shared_ptr<Impl> self = weak.lock();
          if (!error && self != nullptr) {
            self->OnTimer(id);
          }
        });
  }

  LinkPointer LinkTo(const std::string& address) {
    const auto found = this->links.find(address);
    if (found != this->links.end()) {
      return found->second;
    }
    LinkPointer link = std::make_shared<Link>();
    link->address = address;
    link->started = NowOn(this->clock);
    link->last_received = link->started;
    link->last_used = link->started;
    this->links.emplace(address, link);
    this->Connect(link);
    return link;
  }

  void Connect(const LinkPointer& link) {
    websocketpp::lib::error_code error;
    Endpoint::connection_ptr connection =
        this->endpoint.get_connection("ws://" + link->address + "/", error);
    if (error || this->is_closing) {
      boost::asio::post(this->loop, [weak = this->weak_from_this(), link]() {
        if (const std::shared_ptr<Impl> self = weak.lock()) {
          self->Drop(link, "bad address", 0);
        }
      });
      return;
    }
    link->handle = connection->get_handle();
    const std::weak_ptr<Impl> weak = this->weak_from_this();
    connection->set_open_handler([weak, link](const Handle& handle) {
      if (const std::shared_ptr<Impl> self = weak.lock()) {
        self->OnOpen(*link, handle);
      }
    });
    connection->set_fail_handler([weak, link](const Handle&) {
      if (const std::shared_ptr<Impl> self = weak.lock()) {
        self->Drop(link, "cannot connect", 0);
      }
    });
    connection->set_close_handler([weak, link](const Handle&) {
      if (const std::shared_ptr<Impl> self = weak.lock()) {
        self->Drop(link, "closed by the peer", 0);
      }
    });
    connection->set_pong_handler(
        [weak, link](const Handle&, const std::string&) {
          if (const std::shared_ptr<Impl> self = weak.lock()) {
            link->last_received = NowOn(self->clock);
            link->is_pinged = false;
          }
        });
    connection->set_message_handler(
        [weak, link](const Handle&, const MessagePointer& message) {
          if (const std::shared_ptr<Impl> self = weak.lock()) {
            self->OnMessage(link, message->get_payload());
          }
        });
    this->endpoint.connect(connection);
  }

  void OnOpen(Link& link, const Handle& handle) {
    websocketpp::lib::error_code error;
    Endpoint::connection_ptr connection =
        this->endpoint.get_con_from_hdl(handle, error);
    if (error) {
      return;
    }
    boost::system::error_code ignored;
    connection->get_raw_socket().set_option(
        boost::asio::ip::tcp::no_delay(true), ignored);
    link.state = LinkState::kProving;
    link.last_received = NowOn(this->clock);
  }

  void OnMessage(const LinkPointer& link, const std::string& payload) {
    link->last_received = NowOn(this->clock);
    link->is_pinged = false;
    const auto* data = reinterpret_cast<const std::uint8_t*>(payload.data());
    HandleFailure(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(this->Dispatch(link, data, payload.size()));
          return true;
        },
        [&](const Failure& failure) {
          LogEvent(kEventPeerRefused,
                   {{"peer", link->address}, {"reason", failure.detail}});
          this->Drop(link, failure.detail,
                     websocketpp::close::status::policy_violation);
          return false;
        });
  }

  Result<void> Dispatch(const LinkPointer& link,
                        const std::uint8_t* data,
                        std::size_t size) {
    BOOST_LEAF_AUTO(tag, wire::PeekTag(data, size));
    if (link->state == LinkState::kProving) {
      return this->Prove(link, tag, data, size);
    }
    if (tag == wire::Tag::kAnswer) {
      BOOST_LEAF_AUTO(answer, wire::DecodeAnswer(data, size));
      this->OnAnswer(std::move(answer));
      return {};
    }
    if (tag == wire::Tag::kStatePush) {
      BOOST_LEAF_AUTO(push, wire::DecodeStatePush(data, size));
      this->OnState(std::move(push));
      return {};
    }
    return Fail(ErrorKind::kBadMessage, "not a message for this side");
  }

  /// The accepting node sends a challenge first, then its own proof.
  Result<void> Prove(const LinkPointer& link,
                     wire::Tag tag,
                     const std::uint8_t* data,
                     std::size_t size) {
    const bool is_challenge = link->nonce.empty();
    if (is_challenge) {
      BOOST_LEAF_AUTO(challenge, wire::DecodeChallenge(data, size));
      link->nonce = policy::RandomBytes(kNonceBytes);
      this->Write(*link, wire::Encode(MakeHello(this->config.key,
                                                this->config.node.Value(),
                                                link->nonce, challenge)));
      return {};
    }
    if (tag != wire::Tag::kWelcome) {
      return Fail(ErrorKind::kBadMessage, "the peer did not prove the key");
    }
    BOOST_LEAF_AUTO(welcome, wire::DecodeWelcome(data, size));
    BOOST_LEAF_CHECK(CheckWelcome(this->config.key, link->nonce, welcome));
    link->state = LinkState::kOpen;
    LogEvent(kEventLinkOpen, {{"peer", welcome.node}});
    this->Flush(*link);
    return {};
  }

  void Flush(Link& link) {
    for (auto& [id, bytes] : link.backlog) {
      const auto found = this->pending.find(id);
      if (found != this->pending.end()) {
        found->second.is_sent = true;
        this->Write(link, bytes);
      }
    }
    link.backlog.clear();
  }

  void Write(Link& link, const std::vector<std::uint8_t>& bytes) {
    websocketpp::lib::error_code error;
    Endpoint::connection_ptr connection =
        this->endpoint.get_con_from_hdl(link.handle, error);
    if (!error) {
      connection->send(bytes.data(), bytes.size(),
                       websocketpp::frame::opcode::binary);
    }
  }

  void OnAnswer(wire::Answer answer) {
    const auto found = this->pending.find(answer.id);
    if (found == this->pending.end()) {
      ++this->late_answers;
      return;
    }
    const AnswerHandler handler = std::move(found->second.on_answer);
    this->Forget(found);
    if (handler) {
      handler(std::move(answer));
    }
  }

  void OnState(wire::StatePush push) {
    const auto found = this->pending.find(push.id);
    if (found == this->pending.end()) {
      return;
    }
    const StateHandler handler = std::move(found->second.on_state);
    this->Forget(found);
    if (handler) {
      handler(std::move(push));
    }
  }

  /// Ends an entry whose time is over, but for the time in which this loop did
  /// not run.
  void OnTimer(std::uint64_t id) {
    const auto found = this->pending.find(id);
    if (found == this->pending.end()) {
      return;
    }
    const Millis left = found->second.deadline - NowOn(this->clock);
    if (left > Millis{0}) {
      this->StartTimer(id, left, *found->second.timer);
      return;
    }
    const bool is_sent = found->second.is_sent;
    this->FailPending(
        id, is_sent ? ErrorKind::kTargetTimeout : ErrorKind::kPeerUnreachable);
  }

  /// Ends one pending entry with an error made here.
  void FailPending(std::uint64_t id, ErrorKind kind) {
    const auto found = this->pending.find(id);
    if (found == this->pending.end()) {
      return;
    }
    const AnswerHandler on_answer = std::move(found->second.on_answer);
    const StateHandler on_state = std::move(found->second.on_state);
    this->Forget(found);
    if (on_answer) {
      wire::Answer answer;
      answer.id = id;
      answer.error = static_cast<std::uint32_t>(kind);
      on_answer(std::move(answer));
    }
    if (on_state) {
      on_state(Fail(kind, "the peer did not answer"));
    }
  }

  void Forget(std::unordered_map<std::uint64_t, Pending>::iterator found) {
    --found->second.link->out;
    this->pending.erase(found);
  }

  /// Takes a link out of use and ends what waits on it. `status` 0 drops the
  /// connection without the closing handshake, which a silent peer would never
  /// answer.
  void Drop(const LinkPointer& link,
            const std::string& why,
            websocketpp::close::status::value status) {
    if (link->state == LinkState::kClosed) {
      return;
    }
    link->state = LinkState::kClosed;
    LogEvent(kEventLinkLost, {{"peer", link->address}, {"reason", why}});
    const auto found = this->links.find(link->address);
    if (found != this->links.end() && found->second == link) {
      this->links.erase(found);
    }
    this->suspects.erase(
        std::remove(this->suspects.begin(), this->suspects.end(), link),
        this->suspects.end());
    websocketpp::lib::error_code error;
    Endpoint::connection_ptr connection =
        this->endpoint.get_con_from_hdl(link->handle, error);
    if (!error && status != 0) {
      this->endpoint.close(link->handle, status, "", error);
    } else if (!error) {
      connection->terminate(error);
    }
    std::vector<std::pair<std::uint64_t, bool>> waiting;
    for (const auto& [id, entry] : this->pending) {
      if (entry.link == link) {
        waiting.emplace_back(id, entry.is_sent);
      }
    }
    for (const auto& [id, is_sent] : waiting) {
      this->FailPending(
          id, is_sent ? ErrorKind::kPeerLost : ErrorKind::kPeerUnreachable);
    }
  }

  void ScheduleCheck() {
    this->check_timer.expires_after(
        std::chrono::milliseconds(kRunningClockInterval.count));
    this->check_timer.async_wait(
        [weak = this->weak_from_this()](boost::system::error_code error) {
          const std::shared_ptr<Impl> self = weak.lock();
          if (error || self == nullptr || self->is_closing) {
            return;
          }
          self->CheckLinks();
          self->ScheduleCheck();
        });
  }

  std::vector<LinkPointer> AllLinks() const {
    std::vector<LinkPointer> all = this->suspects;
    for (const auto& [address, link] : this->links) {
      all.push_back(link);
    }
    return all;
  }

  void CheckLinks() {
    const Millis now = NowOn(this->clock);
    for (const LinkPointer& link : this->AllLinks()) {
      this->CheckLink(now, link);
    }
  }

  /// New calls go elsewhere; the calls on this link still have their chance.
  void Suspect(const LinkPointer& link) {
    const auto found = this->links.find(link->address);
    if (found != this->links.end() && found->second == link) {
      this->links.erase(found);
      this->suspects.push_back(link);
    }
  }

  void CheckLink(Millis now, const LinkPointer& link) {
    if (link->state != LinkState::kOpen) {
      if (now - link->started > this->config.connect_timeout) {
        this->Drop(link, "not open in time", 0);
      }
      return;
    }
    const auto suspect =
        std::find(this->suspects.begin(), this->suspects.end(), link);
    const bool is_replaced = link->out == 0 && suspect != this->suspects.end();
    if (is_replaced || IsIdle(*link, now, this->config.idle_after)) {
      this->Drop(link, "idle", websocketpp::close::status::normal);
      return;
    }
    if (IsUnanswered(*link, now, this->config.suspect_after)) {
      this->Suspect(link);
    }
    if (IsUnanswered(*link, now, this->config.silent_after)) {
      LogEvent(kEventLinkSilent, {{"peer", link->address}});
      this->Drop(link, "silent", 0);
      return;
    }
    if (NeedsPing(*link, now, this->config.ping_after)) {
      link->is_pinged = true;
      link->pinged = now;
      websocketpp::lib::error_code ignored;
      this->endpoint.ping(link->handle, "", ignored);
    }
  }

  boost::asio::io_context& loop;
  const PeerLinksConfig config;
  Endpoint endpoint;
  boost::asio::steady_timer check_timer;
  RunningClock clock;
  bool is_closing = false;
  std::uint64_t last_id = 0;
  std::uint64_t late_answers = 0;
  std::unordered_map<std::string, LinkPointer> links;
  std::vector<LinkPointer> suspects;
  std::unordered_map<std::uint64_t, Pending> pending;
};

PeerLinks::PeerLinks(boost::asio::io_context& loop,
                     const PeerLinksConfig& config)
    : impl(std::make_shared<Impl>(loop, config)) {
  this->impl->Start();
}

PeerLinks::~PeerLinks() {
  this->impl->Close();
}

CallId PeerLinks::Send(const std::string& address,
                       wire::Call call,
                       Millis timeout,
                       AnswerHandler on_answer) {
  return this->impl->Send(address, std::move(call), timeout,
                          std::move(on_answer));
}

void PeerLinks::Cancel(CallId call) {
  this->impl->Cancel(call);
}

void PeerLinks::Pull(const std::string& address,
                     wire::StatePull pull,
                     Millis timeout,
                     StateHandler on_state) {
  this->impl->Pull(address, pull, timeout, std::move(on_state));
}

void PeerLinks::Close() {
  this->impl->Close();
}

std::size_t PeerLinks::LinkCount() const {
  return this->impl->LinkCount();
}

std::uint64_t PeerLinks::LateAnswers() const {
  return this->impl->LateAnswers();
}

LatencyMs PeerLinks::RunningNow() {
  return this->impl->PreciseRunningNow();
}

}  // namespace almondlink::mesh
