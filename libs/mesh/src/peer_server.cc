#include "almondlink/mesh/peer_server.h"

#include <unordered_map>
#include <utility>
#include <websocketpp/config/asio_no_tls.hpp>
#include <websocketpp/server.hpp>

#include "almondlink/base/event_log.h"
#include "almondlink/control/token_bucket.h"
#include "link_proof.h"

namespace almondlink::mesh {

namespace {

using Endpoint = websocketpp::server<websocketpp::config::asio>;
using Handle = websocketpp::connection_hdl;
using MessagePointer = Endpoint::message_ptr;

/// Time a new link has to prove the key.
constexpr long kHandshakeTimeoutMs = 5000;

/// One accepted link.
struct Link {
  Handle handle;
  policy::Bytes nonce;
  bool is_proved = false;
  control::TokenBucket rate;
  std::string node;
};

}  // namespace

class PeerServer::Impl {
 public:
  Impl(boost::asio::io_context& loop,
       const PeerServerConfig& config,
       PeerHandlers handlers)
      : config(config), handlers(std::move(handlers)) {
    this->endpoint.clear_access_channels(websocketpp::log::alevel::all);
    this->endpoint.clear_error_channels(websocketpp::log::elevel::all);
    this->endpoint.init_asio(&loop);
    this->endpoint.set_reuse_addr(true);
    this->endpoint.set_max_message_size(config.max_message);
    this->endpoint.set_open_handshake_timeout(kHandshakeTimeoutMs);
    this->endpoint.set_validate_handler([this](const Handle&) {
      return this->links.size() < this->config.max_links;
    });
    this->endpoint.set_open_handler(
        [this](const Handle& handle) { this->OnOpen(handle); });
    this->endpoint.set_close_handler(
        [this](const Handle& handle) { this->OnClose(handle); });
    this->endpoint.set_message_handler(
        [this](const Handle& handle, const MessagePointer& message) {
          this->OnMessage(handle, message);
        });
  }

  Result<void> Listen() {
    try {
      websocketpp::lib::error_code error;
      const boost::asio::ip::tcp::endpoint where(
          boost::asio::ip::make_address(this->config.address.ip),
          this->config.address.port);
      this->endpoint.listen(where, error);
      if (error) {
        return Fail(ErrorKind::kIo, this->config.address.Text() +
                                        ": cannot listen: " + error.message());
      }
      this->endpoint.start_accept(error);
      if (error) {
        return Fail(ErrorKind::kIo, error.message());
      }
    } catch (const std::exception& error) {
      return Fail(ErrorKind::kIo,
                  this->config.address.Text() + ": " + error.what());
    }
    return {};
  }

  void Answer(LinkId link, wire::Answer answer) {
    const auto found = this->links.find(link);
    if (found != this->links.end()) {
      this->Send(found->second.handle, wire::Encode(std::move(answer)));
    }
  }

  void Close() {
    websocketpp::lib::error_code ignored;
    if (this->endpoint.is_listening()) {
      this->endpoint.stop_listening(ignored);
    }
    for (auto& [id, link] : this->links) {
      this->endpoint.close(link.handle, websocketpp::close::status::going_away,
                           "", ignored);
    }
  }

  std::size_t LinkCount() const { return this->links.size(); }

 private:
  void OnOpen(const Handle& handle) {
    websocketpp::lib::error_code error;
    Endpoint::connection_ptr connection =
        this->endpoint.get_con_from_hdl(handle, error);
    if (error) {
      return;
    }
    boost::system::error_code ignored;
    connection->get_raw_socket().set_option(
        boost::asio::ip::tcp::no_delay(true), ignored);
    const LinkId id(++this->last_id);
    Link link;
    link.handle = handle;
    link.nonce = policy::RandomBytes(kNonceBytes);
    wire::Challenge challenge;
    challenge.nonce = link.nonce;
    this->ids[handle] = id;
    this->links.emplace(id, std::move(link));
    this->Send(handle, wire::Encode(std::move(challenge)));
  }

  void OnClose(const Handle& handle) {
    const auto found = this->ids.find(handle);
    if (found == this->ids.end()) {
      return;
    }
    const LinkId id = found->second;
    this->ids.erase(found);
    this->links.erase(id);
    this->handlers.on_closed(id);
  }

  void OnMessage(const Handle& handle, const MessagePointer& message) {
    const auto found = this->ids.find(handle);
    if (found == this->ids.end()) {
      return;
    }
    const LinkId id = found->second;
    const std::string& payload = message->get_payload();
    const auto* data = reinterpret_cast<const std::uint8_t*>(payload.data());
    HandleFailure(
        [&]() -> Result<bool> {
          BOOST_LEAF_CHECK(this->Dispatch(id, data, payload.size()));
          return true;
        },
        [&](const Failure& failure) {
          this->Refuse(id, failure.detail);
          return false;
        });
  }

  Result<void> Dispatch(LinkId id, const std::uint8_t* data, std::size_t size) {
    Link& link = this->links.at(id);
    if (!control::TakeToken(this->config.max_rate, MonotonicNow(), link.rate)) {
      return Fail(ErrorKind::kBadMessage, "too many messages a second");
    }
    BOOST_LEAF_AUTO(tag, wire::PeekTag(data, size));
    if (!link.is_proved) {
      BOOST_LEAF_AUTO(hello, wire::DecodeHello(data, size));
      return this->Prove(link, hello);
    }
    switch (tag) {
      case wire::Tag::kCall: {
        BOOST_LEAF_AUTO(call, wire::DecodeCall(data, size));
        this->handlers.on_call(id, std::move(call));
        return {};
      }
      case wire::Tag::kCancel: {
        BOOST_LEAF_AUTO(cancel, wire::DecodeCancel(data, size));
        this->handlers.on_cancel(id, cancel);
        return {};
      }
      case wire::Tag::kStatePull: {
        BOOST_LEAF_AUTO(pull, wire::DecodeStatePull(data, size));
        wire::StatePush push = this->handlers.on_state_pull(pull);
        push.id = pull.id;
        this->Send(link.handle, wire::Encode(std::move(push)));
        return {};
      }
      default:
        return Fail(ErrorKind::kBadMessage, "not a message for this side");
    }
  }

  Result<void> Prove(Link& link, const wire::Hello& hello) {
    const policy::Bytes expected =
        ProofInput(kDialRole, link.nonce, hello.node);
    if (!policy::IsMac(this->config.key, expected, hello.mac)) {
      return Fail(ErrorKind::kBadSignature,
                  "the peer does not hold the deployment key");
    }
    link.is_proved = true;
    link.node = hello.node;
    wire::Welcome welcome;
    welcome.node = this->config.node.Value();
    welcome.incarnation = this->config.incarnation.Value();
    welcome.mac = policy::Mac(
        this->config.key,
        ProofInput(kAcceptRole, hello.nonce, this->config.node.Value()));
    this->Send(link.handle, wire::Encode(std::move(welcome)));
    return {};
  }

  void Refuse(LinkId id, const std::string& why) {
    const auto found = this->links.find(id);
    if (found == this->links.end()) {
      return;
    }
    LogEvent(kEventPeerRefused,
             {{"peer", found->second.node}, {"reason", why}});
    websocketpp::lib::error_code ignored;
    this->endpoint.close(found->second.handle,
                         websocketpp::close::status::policy_violation, "",
                         ignored);
  }

  void Send(const Handle& handle, const std::vector<std::uint8_t>& bytes) {
    websocketpp::lib::error_code error;
    Endpoint::connection_ptr connection =
        this->endpoint.get_con_from_hdl(handle, error);
    if (error) {
      return;
    }
    if (connection->get_buffered_amount() > this->config.max_buffered) {
      connection->terminate(error);
      return;
    }
    connection->send(bytes.data(), bytes.size(),
                     websocketpp::frame::opcode::binary);
  }

  const PeerServerConfig config;
  PeerHandlers handlers;
  Endpoint endpoint;
  std::uint64_t last_id = 0;
  std::map<Handle, LinkId, std::owner_less<Handle>> ids;
  std::unordered_map<LinkId, Link> links;
};

PeerServer::PeerServer(boost::asio::io_context& loop,
                       const PeerServerConfig& config,
                       PeerHandlers handlers)
    : impl(std::make_unique<Impl>(loop, config, std::move(handlers))) {}

PeerServer::~PeerServer() = default;

Result<void> PeerServer::Listen() {
  return this->impl->Listen();
}

void PeerServer::Answer(LinkId link, wire::Answer answer) {
  this->impl->Answer(link, std::move(answer));
}

void PeerServer::Close() {
  this->impl->Close();
}

std::size_t PeerServer::LinkCount() const {
  return this->impl->LinkCount();
}

}  // namespace almondlink::mesh
