#ifndef ALMONDLINK_SERVER_SRC_CALLER_CONNECTION_H_
#define ALMONDLINK_SERVER_SRC_CALLER_CONNECTION_H_

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <utility>

#include "almondlink/control/token_bucket.h"
#include "almondlink/server/caller_server.h"
#include "beast_http.h"

/// One connection of a caller, and the exchanges on it.
namespace almondlink::server {

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

/// What the sessions of a server share.
struct Shared {
  CallerServerConfig config;
  RequestHandler handler;
  std::atomic<bool> is_draining{false};
  std::atomic<bool> is_stopped{false};
  std::atomic<bool> is_door_closed{false};
  /// Requests that arrive are refused: a stop may end before their runs do.
  std::atomic<bool> is_refusing{false};
  std::atomic<std::uint64_t> open{0};
  std::atomic<std::uint64_t> requests{0};
  std::atomic<std::uint64_t> malformed{0};
  std::atomic<std::uint64_t> turned_away{0};
};

inline ErrorKind KindOf(beast::error_code error) {
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
    if (control::TakeToken(this->shared->config.max_rate, MonotonicNow(),
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
  control::TokenBucket rate;
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

inline void Session::Deliver() {
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
  if (this->shared->is_refusing) {
    this->Write(ErrorToAnswer(ErrorKind::kDraining, Millis{-1}, ""), true);
    return;
  }
  this->has_request = true;
  ++this->request_number;
  this->shared->requests.fetch_add(1, std::memory_order_relaxed);
  this->WatchCaller();
  this->shared->handler(this->loop, std::move(request),
                        std::make_shared<Exchange>(this->shared_from_this(),
                                                   this->request_number));
}

}  // namespace almondlink::server

#endif  // ALMONDLINK_SERVER_SRC_CALLER_CONNECTION_H_
