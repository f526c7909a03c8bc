#include "almondlink/server/target_client.h"

#include <sodium.h>

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

#include "almondlink/base/event_log.h"
#include "almondlink/base/running_clock.h"
#include "answer_reader.h"
#include "beast_http.h"

namespace almondlink::server {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using tcp = asio::ip::tcp;

using Request = http::request<http::vector_body<std::uint8_t>>;

constexpr std::size_t kReadSize = 16 * 1024;
constexpr std::size_t kAttemptIdBytes = 16;

/// One connection to the target.
struct Connection {
  explicit Connection(asio::io_context& loop) : socket(loop) {}
  tcp::socket socket;
  beast::flat_buffer buffer;
  bool is_idle = false;
  /// No request was sent on it yet.
  bool is_fresh = true;
};

using ConnectionPointer = std::shared_ptr<Connection>;

/// One request under way.
struct Exchange {
  explicit Exchange(asio::io_context& loop) : timer(loop) {}
  std::uint64_t id = 0;
  Request request;
  std::optional<AnswerReader> reader;
  ConnectionPointer connection;
  asio::steady_timer timer;
  Millis timeout;
  /// On the running clock.
  Millis deadline;
  /// From here on the target may have run the request.
  bool is_handed_over = false;
  bool is_written = false;
  bool is_fresh_needed = false;
  TargetHandler on_answer;
};

using ExchangePointer = std::shared_ptr<Exchange>;

/// Not to be guessed: a caller that can choose bytes of an answer must not be
/// able to write one for another request.
std::string MakeAttemptId() {
  std::array<unsigned char, kAttemptIdBytes> bytes{};
  randombytes_buf(bytes.data(), bytes.size());
  std::array<char, 2 * kAttemptIdBytes + 1> text{};
  sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
  return text.data();
}

}  // namespace

class TargetClient::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(asio::io_context& loop, const TargetClientConfig& config)
      : loop(loop),
        reading_timer(loop),
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
    exchange->request.set(kAttemptIdHeader, MakeAttemptId());
    // Told, a target need not keep a connection that is not used again.
    exchange->request.keep_alive(this->returns_id || this->config.needs_no_id);
    this->StartReadings();
    exchange->deadline = this->RunningNow() + exchange->timeout;
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
  TargetClientCounts Counts() const { return this->counts; }
  LatencyMs PreciseRunningNow() {
    this->StartReadings();
    return ReadRunningClock(PreciseNow(), this->clock);
  }

  void Close() {
    this->is_closed = true;
    this->reading_timer.cancel();
    for (const auto& [id, exchange] : this->exchanges) {
      exchange->timer.cancel();
      this->Discard(exchange);
    }
    this->exchanges.clear();
    while (this->DropIdle()) {
    }
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

  Millis RunningNow() { return ReadRunningClock(MonotonicNow(), this->clock); }

  /// Starts the clock and reads it at its interval for as long as requests are
  /// out.
  void StartReadings() {
    if (!this->is_reading) {
      this->is_reading = true;
      StartRunningClock(MonotonicNow(), this->clock);
      this->ScheduleReading();
    }
  }

  void ScheduleReading() {
    this->reading_timer.expires_after(
        std::chrono::milliseconds(kRunningClockInterval.count));
    this->reading_timer.async_wait(
        [weak = this->weak_from_this()](beast::error_code error) {
          const std::shared_ptr<Impl> self = weak.lock();
          if (error || self == nullptr) {
            return;
          }
          self->is_reading = !self->exchanges.empty();
          if (self->is_reading) {
            self->RunningNow();
            self->ScheduleReading();
          }
        });
  }

  void StartTimer(const ExchangePointer& exchange, Millis wait) {
    exchange->timer.expires_after(std::chrono::milliseconds(wait.count));
    exchange->timer.async_wait(
        [self = this->shared_from_this(), exchange](beast::error_code error) {
          if (!error && self->IsLive(exchange)) {
            self->OnTimer(exchange);
          }
        });
  }

  /// Ends an exchange whose time is over, but for the time in which this loop
  /// did not run.
  void OnTimer(const ExchangePointer& exchange) {
    const Millis left = exchange->deadline - this->RunningNow();
    if (left > Millis{0}) {
      this->StartTimer(exchange, left);
      return;
    }
    this->Finish(exchange, exchange->is_handed_over
                               ? ErrorKind::kTargetTimeout
                               : ErrorKind::kConnectFailed);
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
      if (connection->socket.available(ignored) > 0) {
        this->DropSurplus(*connection);
        continue;
      }
      ++this->counts.reuses;
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
    ++this->counts.connects;
    exchange->connection = std::make_shared<Connection>(this->loop);
    const Millis wait =
        std::min(exchange->timeout, this->config.connect_timeout);
    auto timer = std::make_shared<asio::steady_timer>(
        this->loop, std::chrono::milliseconds(wait.count));
    timer->async_wait(
        [self = this->shared_from_this(), exchange](beast::error_code error) {
          // Both may be due at once after a standstill, and the connect's
          // handler may have sent the request already.
          if (!error && self->IsLive(exchange) && !exchange->is_handed_over) {
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
    this->ExpectAnswer(exchange);
    http::async_write(exchange->connection->socket, exchange->request,
                      [self = this->shared_from_this(), exchange](
                          beast::error_code error, std::size_t) {
                        // After a failed write too: the target may have
                        // answered early and closed, and its answer, if any,
                        // tells more than the error.
                        if (self->IsLive(exchange)) {
                          exchange->is_written = !error;
                          self->Read(exchange);
                        }
                      });
  }

  void ExpectAnswer(const ExchangePointer& exchange) {
    ExpectedAnswer expected;
    expected.id = std::string(exchange->request[kAttemptIdHeader]);
    expected.is_to_head = exchange->request.method() == http::verb::head;
    expected.trust.is_first_request = exchange->connection->is_fresh;
    expected.trust.is_id_optional = this->config.needs_no_id;
    const AnswerLimits limits{this->config.max_header, this->config.max_body};
    exchange->reader.emplace(std::move(expected), limits);
    exchange->connection->is_fresh = false;
  }

  void Read(const ExchangePointer& exchange) {
    Connection& connection = *exchange->connection;
    connection.socket.async_read_some(
        connection.buffer.prepare(kReadSize),
        [self = this->shared_from_this(), exchange](beast::error_code error,
                                                    std::size_t count) {
          if (self->IsLive(exchange)) {
            self->OnRead(exchange, error, count);
          }
        });
  }

  void OnRead(const ExchangePointer& exchange,
              beast::error_code error,
              std::size_t count) {
    if (error) {
      this->Finish(exchange, ErrorKind::kTargetLost);
      return;
    }
    beast::flat_buffer& buffer = exchange->connection->buffer;
    buffer.commit(count);
    switch (exchange->reader->Feed(buffer)) {
      case ReadStep::kNeedMore:
        this->Read(exchange);
        return;
      case ReadStep::kFailed:
        this->Finish(exchange, exchange->reader->Fault());
        return;
      case ReadStep::kDone:
        this->Succeed(exchange);
        return;
    }
  }

  void Succeed(const ExchangePointer& exchange) {
    this->exchanges.erase(exchange->id);
    exchange->timer.cancel();
    this->NoteAnswer(*exchange);
    const bool is_over = exchange->connection->buffer.size() > 0;
    this->counts.surplus += is_over ? 1 : 0;
    const bool is_reusable = exchange->reader->MayFollow() && !is_over &&
                             exchange->is_written && !exchange->is_fresh_needed;
    TargetAnswer answer = exchange->reader->Take();
    answer.foreign = exchange->reader->Foreign();
    if (is_reusable) {
      this->KeepIdle(exchange->connection);
    } else {
      this->Discard(exchange);
    }
    exchange->on_answer(std::move(answer));
  }

  /// Learns from each answer whether the target returns ids: it may be replaced
  /// by one that does, or does not.
  void NoteAnswer(const Exchange& exchange) {
    const bool has_id = exchange.reader->HasOwnId();
    this->counts.without_id += has_id ? 0 : 1;
    this->counts.surplus += exchange.reader->Foreign();
    if (this->returns_id && !has_id) {
      LogEvent(kEventTargetWithoutId);
    }
    this->returns_id = has_id;
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
            self->DropSurplus(*connection);
          }
        });
  }

  /// Closes a connection on which the target closed or sent what nobody asked
  /// for.
  void DropSurplus(Connection& connection) {
    beast::error_code ignored;
    this->counts.surplus += connection.socket.available(ignored) > 0 ? 1 : 0;
    this->CloseConnection(connection);
  }

  void Finish(const ExchangePointer& exchange, ErrorKind kind) {
    this->exchanges.erase(exchange->id);
    exchange->timer.cancel();
    this->Discard(exchange);
    TargetAnswer answer;
    answer.error = kind;
    if (exchange->reader.has_value()) {
      answer.foreign = exchange->reader->Foreign();
      this->counts.surplus += answer.foreign;
    }
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
  RunningClock clock;
  asio::steady_timer reading_timer;
  bool is_reading = false;
  const TargetClientConfig config;
  const tcp::endpoint where;
  std::uint64_t last_id = 0;
  std::size_t connections = 0;
  TargetClientCounts counts;
  /// Whether the last answer came with its request's attempt id; believed of
  /// the first one.
  bool returns_id = true;
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

TargetClientCounts TargetClient::Counts() const {
  return this->impl->Counts();
}

LatencyMs TargetClient::RunningNow() {
  return this->impl->PreciseRunningNow();
}

}  // namespace almondlink::server
