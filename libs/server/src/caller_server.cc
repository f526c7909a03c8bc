#include "almondlink/server/caller_server.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <optional>
#include <set>
#include <utility>

#include "almondlink/control/rate_limit.h"
#include "beast_http.h"
#include "listen_filter.h"

namespace almondlink::server {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

using Parser = http::request_parser<http::vector_body<std::uint8_t>>;
using Response = http::response<http::vector_body<std::uint8_t>>;

constexpr Millis kRatePause{10};
/// A stop waits so long for the first request of a connection that was just
/// opened: the caller is about to send it, and could not tell whether it was
/// read if the connection ended instead.
constexpr Millis kFirstRequest{500};
/// Idle connections are looked for this often after a stop.
constexpr std::chrono::milliseconds kIdleSweep{50};
/// Time in which handshakes that had begun end, in round trips of a region.
constexpr std::chrono::milliseconds kHandshakes{20};

/// What the sessions of a server share.
struct Shared {
  CallerServerConfig config;
  RequestHandler handler;
  std::atomic<bool> is_draining{false};
  std::atomic<bool> is_stopped{false};
  std::atomic<bool> is_door_closed{false};
  std::atomic<std::uint64_t> open{0};
  std::atomic<std::uint64_t> requests{0};
  std::atomic<std::uint64_t> malformed{0};
  std::atomic<std::uint64_t> turned_away{0};
};

ErrorKind KindOf(beast::error_code error) {
  if (error == http::error::header_limit) {
    return ErrorKind::kHeaderTooLarge;
  }
  if (error == http::error::body_limit) {
    return ErrorKind::kBodyTooLarge;
  }
  return ErrorKind::kMalformedRequest;
}

class Session;

/// Sessions of one loop, so that idle ones can be closed. Only on the loop.
using SessionSet = std::set<Session*>;

/// One caller connection; all of it runs on one loop.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(tcp::socket socket,
          std::size_t loop,
          std::shared_ptr<Shared> shared,
          std::shared_ptr<SessionSet> sessions)
      : stream(std::move(socket)),
        pause(this->stream.get_executor()),
        loop(loop),
        shared(std::move(shared)),
        sessions(std::move(sessions)),
        opened(MonotonicNow()) {}

  ~Session() {
    this->shared->open.fetch_sub(1);
    this->sessions->erase(this);
  }

  void Start() {
    this->sessions->insert(this);
    beast::error_code ignored;
    this->stream.socket().set_option(tcp::no_delay(true), ignored);
    this->ReadHeader();
  }

  /// Closes the connection if nothing is under way on it.
  void CloseIfIdle() {
    beast::error_code ignored;
    const bool is_between_requests =
        this->is_waiting && this->buffer.size() == 0 &&
        this->stream.socket().available(ignored) == 0;
    const bool is_expected = this->request_number == 0 &&
                             MonotonicNow() - this->opened < kFirstRequest;
    if (is_between_requests && !is_expected) {
      this->Close();
    }
  }

  /// Sends one answer; `number` tells a late answer to an earlier request.
  void Answer(std::uint64_t number, CallerAnswer answer) {
    if (number != this->request_number || !this->has_request) {
      return;
    }
    this->has_request = false;
    this->on_gone = nullptr;
    beast::error_code ignored;
    // Ends the watch for the caller's leaving; nothing else is pending.
    this->stream.socket().cancel(ignored);
    const bool is_close =
        !this->is_keep_alive || this->shared->is_draining.load();
    this->Write(std::move(answer), is_close);
  }

  void SetGoneHandler(std::uint64_t number, std::function<void()> handler) {
    if (number == this->request_number && this->has_request) {
      this->on_gone = std::move(handler);
    }
  }

 private:
  void ReadHeader() {
    this->is_waiting = true;
    this->parser.emplace();
    this->parser->header_limit(
        static_cast<std::uint32_t>(this->shared->config.max_header));
    this->parser->body_limit(this->shared->config.max_body);
    this->stream.expires_after(
        std::chrono::milliseconds(this->shared->config.idle_timeout.count));
    http::async_read_header(
        this->stream, this->buffer, *this->parser,
        [self = this->shared_from_this()](
            beast::error_code error, std::size_t) { self->OnHeader(error); });
  }

  void OnHeader(beast::error_code error) {
    this->is_waiting = false;
    if (error) {
      this->OnReadError(error);
      return;
    }
    const std::string expect(this->parser->get()[http::field::expect]);
    if (IsSameToken(expect, "100-continue") && !this->parser->is_done()) {
      this->SendContinue();
      return;
    }
    this->ReadBody();
  }

  void SendContinue() {
    auto response = std::make_shared<http::response<http::empty_body>>(
        http::status::continue_, kHttp11);
    http::async_write(this->stream, *response,
                      [self = this->shared_from_this(), response](
                          beast::error_code error, std::size_t) {
                        if (!error) {
                          self->ReadBody();
                        }
                      });
  }

  void ReadBody() {
    if (this->parser->is_done()) {
      this->Deliver();
      return;
    }
    http::async_read(this->stream, this->buffer, *this->parser,
                     [self = this->shared_from_this()](beast::error_code error,
                                                       std::size_t) {
                       if (error) {
                         self->OnReadError(error);
                         return;
                       }
                       self->Deliver();
                     });
  }

  /// A request that is not valid HTTP is answered; a connection that ends or
  /// stays silent between requests is closed.
  void OnReadError(beast::error_code error) {
    const bool is_answerable = IsHttpError(error) &&
                               error != http::error::end_of_stream &&
                               error != http::error::partial_message;
    if (!is_answerable) {
      this->Close();
      return;
    }
    this->shared->malformed.fetch_add(1);
    this->Write(ErrorToAnswer(KindOf(error), Millis{-1}, ""), true);
  }

  void Deliver();

  /// While the request is worked on, a readable socket without bytes means that
  /// the caller has left. With bytes it is the next request; it waits.
  void WatchCaller() {
    this->stream.socket().async_wait(
        tcp::socket::wait_read,
        [self = this->shared_from_this(),
         number = this->request_number](beast::error_code error) {
          if (error || number != self->request_number || !self->has_request) {
            return;
          }
          beast::error_code ignored;
          if (self->stream.socket().available(ignored) == 0) {
            self->OnGone();
          }
        });
  }

  void OnGone() {
    this->has_request = false;
    const std::function<void()> handler = std::move(this->on_gone);
    this->on_gone = nullptr;
    this->Close();
    if (handler) {
      handler();
    }
  }

  void Write(CallerAnswer answer, bool is_close) {
    auto response = std::make_shared<Response>();
    response->version(kHttp11);
    response->result(answer.status);
    for (wire::Header& header : answer.headers) {
      if (!IsHopByHop(header.name)) {
        response->insert(header.name, header.value);
      }
    }
    response->body() = std::move(answer.body);
    response->keep_alive(!is_close);
    if (this->is_head) {
      response->content_length(response->body().size());
      response->body().clear();
    } else {
      response->prepare_payload();
    }
    this->stream.expires_after(
        std::chrono::milliseconds(this->shared->config.idle_timeout.count));
    http::async_write(this->stream, *response,
                      [self = this->shared_from_this(), response, is_close](
                          beast::error_code error, std::size_t) {
                        if (error) {
                          self->Close();
                        } else if (is_close) {
                          self->CloseGracefully();
                        } else {
                          self->ReadNext();
                        }
                      });
  }

  /// Reads on, after a pause if the caller sends too fast.
  void ReadNext() {
    if (control::TakeFromRate(this->shared->config.max_rate, MonotonicNow(),
                              this->rate)) {
      this->ReadHeader();
      return;
    }
    this->pause.expires_after(std::chrono::milliseconds(kRatePause.count));
    this->pause.async_wait(
        [self = this->shared_from_this()](beast::error_code error) {
          if (!error) {
            self->ReadNext();
          }
        });
  }

  /// Closes after the answer; what the caller still sends is read first, since
  /// closing on unread bytes resets the connection and may destroy the answer
  /// on its way.
  void CloseGracefully() {
    beast::error_code ignored;
    this->stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
    this->stream.expires_after(std::chrono::seconds(1));
    this->Discard();
  }

  void Discard() {
    this->buffer.clear();
    this->stream.async_read_some(
        this->buffer.prepare(this->shared->config.max_header),
        [self = this->shared_from_this()](beast::error_code error,
                                          std::size_t) {
          if (error) {
            self->Close();
          } else {
            self->Discard();
          }
        });
  }

  void Close() {
    beast::error_code ignored;
    this->stream.socket().close(ignored);
  }

  beast::tcp_stream stream;
  asio::steady_timer pause;
  control::RateLimit rate;
  beast::flat_buffer buffer;
  std::optional<Parser> parser;
  const std::size_t loop;
  const std::shared_ptr<Shared> shared;
  const std::shared_ptr<SessionSet> sessions;
  const Millis opened;
  /// For the head of a request, of which no byte may have come yet.
  bool is_waiting = false;
  std::uint64_t request_number = 0;
  bool has_request = false;
  bool is_keep_alive = true;
  bool is_head = false;
  std::function<void()> on_gone;
};

/// Ties an exchange to one request of a session.
class Exchange : public CallerExchange {
 public:
  Exchange(std::shared_ptr<Session> session, std::uint64_t number)
      : session(std::move(session)), number(number) {}

  void Send(CallerAnswer answer) override {
    this->session->Answer(this->number, std::move(answer));
  }

  void SetGoneHandler(std::function<void()> on_gone) override {
    this->session->SetGoneHandler(this->number, std::move(on_gone));
  }

 private:
  const std::shared_ptr<Session> session;
  const std::uint64_t number;
};

void Session::Deliver() {
  this->stream.expires_never();
  http::request<http::vector_body<std::uint8_t>> message =
      this->parser->release();
  CallerRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  request.headers = TakeHeaders(message);
  request.body = std::move(message.body());
  this->is_keep_alive = message.keep_alive();
  this->is_head = message.method() == http::verb::head;
  this->has_request = true;
  ++this->request_number;
  this->shared->requests.fetch_add(1, std::memory_order_relaxed);
  this->WatchCaller();
  this->shared->handler(this->loop, std::move(request),
                        std::make_shared<Exchange>(this->shared_from_this(),
                                                   this->request_number));
}

}  // namespace

class CallerServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(std::vector<asio::io_context*> loops,
       const CallerServerConfig& config,
       RequestHandler handler)
      : loops(std::move(loops)),
        acceptor(*this->loops.front()),
        handshakes(*this->loops.front()),
        shared(std::make_shared<Shared>()) {
    this->shared->config = config;
    this->shared->handler = std::move(handler);
    for (std::size_t i = 0; i < this->loops.size(); ++i) {
      this->sessions.push_back(std::make_shared<SessionSet>());
    }
  }

  Result<void> Listen() {
    const config::Endpoint& address = this->shared->config.address;
    beast::error_code error;
    const tcp::endpoint where(asio::ip::make_address(address.ip, error),
                              address.port);
    if (!error) {
      this->acceptor.open(where.protocol(), error);
    }
    if (!error) {
      this->acceptor.set_option(asio::socket_base::reuse_address(true), error);
    }
    if (!error) {
      this->acceptor.bind(where, error);
    }
    if (!error) {
      this->acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
      return Fail(ErrorKind::kIo,
                  address.Text() + ": cannot listen: " + error.message());
    }
    this->Accept();
    return {};
  }

  void SetDraining(bool is_draining) {
    this->shared->is_draining = is_draining;
  }

  /// Connections that wait to be accepted would be reset by closing the port,
  /// with requests in them. So new ones are held off first, then all that came
  /// before are taken, then the port is closed.
  void StopAccepting() {
    this->shared->is_stopped = true;
    asio::post(*this->loops.front(), [self = this->shared_from_this()]() {
      HoldOffConnections(self->acceptor.native_handle());
      self->handshakes.expires_after(kHandshakes);
      self->handshakes.async_wait(
          [self](beast::error_code /*error*/) { self->CloseDoor(); });
    });
    for (std::size_t i = 0; i < this->loops.size(); ++i) {
      asio::post(*this->loops[i], [self = this->shared_from_this(), i]() {
        self->SweepIdle(i);
      });
    }
  }

  bool IsDone() const {
    return this->shared->is_door_closed.load() &&
           this->shared->open.load() == 0;
  }

  CallerServerStats Stats() const {
    CallerServerStats stats;
    stats.open_connections = this->shared->open.load();
    stats.requests = this->shared->requests.load();
    stats.malformed = this->shared->malformed.load();
    stats.turned_away = this->shared->turned_away.load();
    return stats;
  }

 private:
  void Accept() {
    const std::size_t loop = this->next_loop++ % this->loops.size();
    this->acceptor.async_accept(
        *this->loops[loop], [self = this->shared_from_this(), loop](
                                beast::error_code error, tcp::socket socket) {
          if (error == asio::error::operation_aborted) {
            return;
          }
          if (!error) {
            self->OnAccept(loop, std::move(socket));
          }
          if (self->acceptor.is_open()) {
            self->Accept();
          }
        });
  }

  void CloseDoor() {
    beast::error_code error;
    this->acceptor.non_blocking(true, error);
    while (!error) {
      const std::size_t loop = this->next_loop++ % this->loops.size();
      tcp::socket socket(*this->loops[loop]);
      this->acceptor.accept(socket, error);
      if (!error) {
        this->OnAccept(loop, std::move(socket));
      }
    }
    beast::error_code ignored;
    this->acceptor.close(ignored);
    this->shared->is_door_closed = true;
  }

  /// Closes what is idle on one loop, until nothing is left of it.
  void SweepIdle(std::size_t loop) {
    const SessionSet open = *this->sessions[loop];
    for (Session* session : open) {
      session->CloseIfIdle();
    }
    const auto timer = std::make_shared<asio::steady_timer>(*this->loops[loop]);
    timer->expires_after(kIdleSweep);
    timer->async_wait([self = this->shared_from_this(), loop,
                       timer](beast::error_code error) {
      if (!error) {
        self->SweepIdle(loop);
      }
    });
  }

  void OnAccept(std::size_t loop, tcp::socket socket) {
    if (this->shared->open.load() >= this->shared->config.max_connections) {
      this->shared->turned_away.fetch_add(1);
      return;
    }
    this->shared->open.fetch_add(1);
    auto session = std::make_shared<Session>(
        std::move(socket), loop, this->shared, this->sessions[loop]);
    asio::post(*this->loops[loop], [session]() { session->Start(); });
  }

  const std::vector<asio::io_context*> loops;
  tcp::acceptor acceptor;
  /// Runs while handshakes end before the port is closed.
  asio::steady_timer handshakes;
  const std::shared_ptr<Shared> shared;
  std::vector<std::shared_ptr<SessionSet>> sessions;
  std::size_t next_loop = 0;
};

CallerServer::CallerServer(std::vector<asio::io_context*> loops,
                           const CallerServerConfig& config,
                           RequestHandler handler)
    : impl(std::make_shared<Impl>(std::move(loops),
                                  config,
                                  std::move(handler))) {}

CallerServer::~CallerServer() = default;

Result<void> CallerServer::Listen() {
  return this->impl->Listen();
}

void CallerServer::StartDraining() {
  this->impl->SetDraining(true);
}

void CallerServer::StopDraining() {
  this->impl->SetDraining(false);
}

void CallerServer::StopAccepting() {
  this->impl->StopAccepting();
}

bool CallerServer::IsDone() const {
  return this->impl->IsDone();
}

CallerServerStats CallerServer::Stats() const {
  return this->impl->Stats();
}

}  // namespace almondlink::server
