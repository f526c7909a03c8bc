#include "almondlink/server/target_client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

#include "beast_http.h"

namespace almondlink::server {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

using Parser = http::response_parser<http::vector_body<std::uint8_t>>;
using Request = http::request<http::vector_body<std::uint8_t>>;

/// One connection to the target.
struct Connection {
  explicit Connection(asio::io_context& loop) : socket(loop) {}
  tcp::socket socket;
  beast::flat_buffer buffer;
  bool is_idle = false;
};

using ConnectionPointer = std::shared_ptr<Connection>;

/// One request under way.
struct Exchange {
  explicit Exchange(asio::io_context& loop) : timer(loop) {}
  std::uint64_t id = 0;
  Request request;
  std::optional<Parser> parser;
  ConnectionPointer connection;
  asio::steady_timer timer;
  Millis timeout;
  /// From here on the target may have run the request.
  bool is_handed_over = false;
  bool is_fresh_needed = false;
  TargetHandler on_answer;
};

using ExchangePointer = std::shared_ptr<Exchange>;

ErrorKind KindOf(beast::error_code error) {
  if (error == http::error::body_limit || error == http::error::header_limit) {
    return ErrorKind::kAnswerTooLarge;
  }
  const bool is_cut = error == http::error::end_of_stream ||
                      error == http::error::partial_message;
  return IsHttpError(error) && !is_cut ? ErrorKind::kTargetBadAnswer
                                       : ErrorKind::kTargetLost;
}

}  // namespace

class TargetClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& loop, const TargetClientConfig& config)
      : loop(loop),
        config(config),
        where(asio::ip::make_address(config.address.ip), config.address.port) {}

  TargetCallId Send(TargetRequest request, TargetHandler on_answer) {
    const ExchangePointer exchange = std::make_shared<Exchange>(this->loop);
    exchange->id = ++this->last_id;
    exchange->timeout = request.timeout;
    exchange->is_fresh_needed = request.needs_fresh_connection;
    exchange->on_answer = std::move(on_answer);
    Fill(std::move(request), exchange->request);
    exchange->request.set(http::field::host, this->config.address.Text());
    this->exchanges[exchange->id] = exchange;
    this->StartTimer(exchange, exchange->timeout);
    this->Start(exchange);
    return TargetCallId(exchange->id);
  }

  bool Cancel(TargetCallId call) {
    const auto found = this->exchanges.find(call.Value());
    if (found == this->exchanges.end()) {
      return false;
    }
    const ExchangePointer exchange = found->second;
    this->exchanges.erase(found);
    exchange->timer.cancel();
    this->Discard(exchange);
    return exchange->is_handed_over;
  }

  std::size_t ConnectionCount() const { return this->connections; }

  void Close() {
    this->is_closed = true;
    for (const auto& [id, exchange] : this->exchanges) {
      exchange->timer.cancel();
      this->Discard(exchange);
    }
    this->exchanges.clear();
    this->idle.clear();
  }

 private:
  static void Fill(TargetRequest from, Request& request) {
    request.version(kHttp11);
    request.method_string(from.method);
    request.target(from.target);
    for (wire::Header& header : from.headers) {
      request.insert(header.name, header.value);
    }
    request.body() = std::move(from.body);
    request.keep_alive(true);
    const bool has_body = !request.body().empty() || from.method == "POST" ||
                          from.method == "PUT" || from.method == "PATCH";
    if (has_body) {
      request.content_length(request.body().size());
    }
  }

  /// Whether the exchange is still wanted.
  bool IsLive(const ExchangePointer& exchange) const {
    return this->exchanges.count(exchange->id) != 0;
  }

  void StartTimer(const ExchangePointer& exchange, Millis timeout) {
    exchange->timer.expires_after(std::chrono::milliseconds(timeout.count));
    exchange->timer.async_wait(
        [self = this->shared_from_this(), exchange](beast::error_code error) {
          if (!error && self->IsLive(exchange)) {
            self->Finish(exchange, exchange->is_handed_over
                                       ? ErrorKind::kTargetTimeout
                                       : ErrorKind::kConnectFailed);
          }
        });
  }

  void Start(const ExchangePointer& exchange) {
    while (!exchange->is_fresh_needed && !this->idle.empty()) {
      const ConnectionPointer connection = this->idle.back();
      this->idle.pop_back();
      if (!connection->is_idle) {
        continue;
      }
      connection->is_idle = false;
      beast::error_code ignored;
      // Ends the watch for a close by the target.
      connection->socket.cancel(ignored);
      exchange->connection = connection;
      this->Write(exchange);
      return;
    }
    this->Connect(exchange);
  }

  void Connect(const ExchangePointer& exchange) {
    if (this->connections >= this->config.max_connections &&
        !this->DropIdle()) {
      this->FinishSoon(exchange, ErrorKind::kConnectFailed);
      return;
    }
    ++this->connections;
    exchange->connection = std::make_shared<Connection>(this->loop);
    const Millis wait =
        std::min(exchange->timeout, this->config.connect_timeout);
    auto timer = std::make_shared<asio::steady_timer>(
        this->loop, std::chrono::milliseconds(wait.count));
    timer->async_wait(
        [self = this->shared_from_this(), exchange](beast::error_code error) {
          if (!error && self->IsLive(exchange)) {
            self->Finish(exchange, ErrorKind::kConnectFailed);
          }
        });
    exchange->connection->socket.async_connect(
        this->where, [self = this->shared_from_this(), exchange,
                      timer](beast::error_code error) {
          timer->cancel();
          if (!self->IsLive(exchange)) {
            return;
          }
          if (error) {
            self->Finish(exchange, ErrorKind::kConnectFailed);
            return;
          }
          beast::error_code ignored;
          exchange->connection->socket.set_option(tcp::no_delay(true), ignored);
          self->Write(exchange);
        });
  }

  /// Closes the oldest idle connection to make room.
  bool DropIdle() {
    while (!this->idle.empty()) {
      const ConnectionPointer connection = this->idle.front();
      this->idle.pop_front();
      if (connection->is_idle) {
        connection->is_idle = false;
        this->CloseConnection(*connection);
        return true;
      }
    }
    return false;
  }

  void Write(const ExchangePointer& exchange) {
    exchange->is_handed_over = true;
    http::async_write(exchange->connection->socket, exchange->request,
                      [self = this->shared_from_this(), exchange](
                          beast::error_code, std::size_t) {
                        // After a failed write too: the target may have
                        // answered early and closed, and its answer, if any,
                        // tells more than the error.
                        if (self->IsLive(exchange)) {
                          self->Read(exchange);
                        }
                      });
  }

  void Read(const ExchangePointer& exchange) {
    exchange->parser.emplace();
    exchange->parser->header_limit(
        static_cast<std::uint32_t>(this->config.max_header));
    exchange->parser->body_limit(this->config.max_body);
    http::async_read(exchange->connection->socket, exchange->connection->buffer,
                     *exchange->parser,
                     [self = this->shared_from_this(), exchange](
                         beast::error_code error, std::size_t) {
                       if (self->IsLive(exchange)) {
                         self->OnRead(exchange, error);
                       }
                     });
  }

  void OnRead(const ExchangePointer& exchange, beast::error_code error) {
    if (error) {
      this->Finish(exchange, KindOf(error));
      return;
    }
    const auto& message = exchange->parser->get();
    if (message.result_int() < 200) {
      this->Read(exchange);
      return;
    }
    // Without a length only the close would end the body, and a cut answer
    // could not be told from a whole one.
    if (message.need_eof()) {
      this->Finish(exchange, ErrorKind::kTargetBadAnswer);
      return;
    }
    const bool is_reusable = message.keep_alive() &&
                             exchange->connection->buffer.size() == 0 &&
                             !exchange->is_fresh_needed;
    this->Succeed(exchange, is_reusable);
  }

  void Succeed(const ExchangePointer& exchange, bool is_reusable) {
    auto message = exchange->parser->release();
    TargetAnswer answer;
    answer.status = message.result_int();
    answer.headers = TakeHeaders(message);
    answer.body = std::move(message.body());
    this->exchanges.erase(exchange->id);
    exchange->timer.cancel();
    if (is_reusable) {
      this->KeepIdle(exchange->connection);
    } else {
      this->Discard(exchange);
    }
    exchange->on_answer(std::move(answer));
  }

  void KeepIdle(const ConnectionPointer& connection) {
    connection->is_idle = true;
    this->idle.push_back(connection);
    connection->socket.async_wait(
        tcp::socket::wait_read,
        [self = this->shared_from_this(), connection](beast::error_code error) {
          // Readable while idle: closed, or bytes that nobody asked for.
          if (!error && connection->is_idle && !self->is_closed) {
            connection->is_idle = false;
            self->CloseConnection(*connection);
          }
        });
  }

  void Finish(const ExchangePointer& exchange, ErrorKind kind) {
    this->exchanges.erase(exchange->id);
    exchange->timer.cancel();
    this->Discard(exchange);
    TargetAnswer answer;
    answer.error = kind;
    exchange->on_answer(std::move(answer));
  }

  void FinishSoon(const ExchangePointer& exchange, ErrorKind kind) {
    asio::post(this->loop, [self = this->shared_from_this(), exchange, kind]() {
      if (self->IsLive(exchange)) {
        self->Finish(exchange, kind);
      }
    });
  }

  void Discard(const ExchangePointer& exchange) {
    if (exchange->connection != nullptr) {
      this->CloseConnection(*exchange->connection);
    }
  }

  void CloseConnection(Connection& connection) {
    beast::error_code ignored;
    connection.socket.close(ignored);
    --this->connections;
  }

  asio::io_context& loop;
  const TargetClientConfig config;
  const tcp::endpoint where;
  std::uint64_t last_id = 0;
  std::size_t connections = 0;
  bool is_closed = false;
  std::unordered_map<std::uint64_t, ExchangePointer> exchanges;
  std::deque<ConnectionPointer> idle;
};

TargetClient::TargetClient(asio::io_context& loop,
                           const TargetClientConfig& config)
    : impl(std::make_shared<Impl>(loop, config)) {}

TargetClient::~TargetClient() {
  this->impl->Close();
}

TargetCallId TargetClient::Send(TargetRequest request,
                                TargetHandler on_answer) {
  return this->impl->Send(std::move(request), std::move(on_answer));
}

bool TargetClient::Cancel(TargetCallId call) {
  return this->impl->Cancel(call);
}

std::size_t TargetClient::ConnectionCount() const {
  return this->impl->ConnectionCount();
}

}  // namespace almondlink::server
