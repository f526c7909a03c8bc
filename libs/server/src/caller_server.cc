#include "almondlink/server/caller_server.h"

#include <atomic>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <utility>

#include "caller_connection.h"
#include "listen_filter.h"

namespace almondlink::server {

namespace {

/// Idle connections are looked for this often after a stop.
constexpr std::chrono::milliseconds kIdleSweep{50};
/// A stop asks this often whether the last connections are closed.
constexpr Millis kDonePoll{20};
/// Time in which handshakes that had begun end, in round trips of a region.
constexpr std::chrono::milliseconds kHandshakes{20};

}  // namespace

class CallerServer::Impl : public std::enable_shared_from_this<Impl> {
 public:
  Impl(std::vector<asio::io_context*> loops,
       const CallerServerConfig& config,
       RequestHandler handler)
      : loops(std::move(loops)),
        acceptor(*this->loops.front()),
        handshakes(*this->loops.front()),
        first_requests(*this->loops.front()),
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
    this->first_requests.expires_after(
        std::chrono::milliseconds(kFirstRequest.count));
    this->first_requests.async_wait(
        [self = this->shared_from_this()](beast::error_code failed) {
          self->shared->is_refusing = !failed;
        });
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
  /// Ends the time in which a connection that was just opened is expected to
  /// send its first request.
  asio::steady_timer first_requests;
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

void CallerServer::WaitUntilDone(Millis longest) const {
  const Millis until = MonotonicNow() + longest;
  while (MonotonicNow() < until && !this->IsDone()) {
    SleepFor(kDonePoll);
  }
}

CallerServerStats CallerServer::Stats() const {
  return this->impl->Stats();
}

}  // namespace almondlink::server
