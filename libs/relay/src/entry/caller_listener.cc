#include "almondlink/relay/caller_listener.h"

#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <limits>
#include <utility>
#include <vector>

#include "address.h"
#include "almondlink/base/event_log.h"
#include "almondlink/relay/socket_options.h"
#include "caller_session.h"

namespace almondlink::relay {

namespace {

/// Accept backlog; holds a burst in which all callers connect within one loop
/// tick.
constexpr int kBacklog = 1024;
/// Idle connections closed at a time when file descriptors run short. Closing
/// more than one avoids a search of all connections for each new caller.
constexpr std::size_t kIdleCloseBatch = 16;
/// Minimum idle time before a connection may be closed: one that was just
/// opened or used is likely to be used again.
constexpr Millis kMinIdleTime{300};
/// Delay before the next accept while no descriptor is free and no connection
/// is idle.
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
/// Callers may use one in this many file descriptors; links to other nodes and
/// connections to the target need the rest.
constexpr std::size_t kDescriptorDivisor = 2;

/// Number of connections above which idle ones are closed.
std::size_t MaxSessions() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return std::numeric_limits<std::size_t>::max();
  }
  return static_cast<std::size_t>(limit.rlim_cur) / kDescriptorDivisor;
}

void Accept(const std::shared_ptr<CallerListener::State>& state);

}  // namespace

CallerExchange::CallerExchange(std::weak_ptr<CallerSession> session_in)
    : session(std::move(session_in)) {}

void CallerExchange::SendAnswer(std::uint32_t status,
                                std::string_view status_text,
                                std::string_view fields,
                                std::string_view body) {
  if (const std::shared_ptr<CallerSession> open = this->session.lock()) {
    this->on_disconnect = nullptr;
    open->WriteAnswer(status, status_text, fields, body);
  }
}

void CallerExchange::BeginStreamedAnswer(std::uint32_t status,
                                         std::string_view status_text,
                                         std::string_view fields,
                                         std::string_view first_part) {
  if (const std::shared_ptr<CallerSession> open = this->session.lock()) {
    open->BeginStreamedAnswer(status, status_text, fields, first_part);
  }
}

void CallerExchange::SendPart(std::string_view body) {
  if (const std::shared_ptr<CallerSession> open = this->session.lock()) {
    open->SendPart(body);
  }
}

void CallerExchange::EndStreamedAnswer(bool is_broken) {
  if (const std::shared_ptr<CallerSession> open = this->session.lock()) {
    this->on_disconnect = nullptr;
    open->EndStreamedAnswer(is_broken);
  }
}

void CallerExchange::CloseAfterAnswer() {
  if (const std::shared_ptr<CallerSession> open = this->session.lock()) {
    open->CloseAfterAnswer();
  }
}

std::size_t CallerListener::State::CloseLongestIdle() {
  std::vector<std::shared_ptr<CallerSession>> idle;
  const Millis since = BootTimeNow() - kMinIdleTime;
  for (const std::shared_ptr<CallerSession>& session : this->sessions) {
    if (session->IsIdle() && session->LastActive() < since &&
        !session->HasUnread()) {
      idle.push_back(session);
    }
  }
  const std::size_t count = std::min(idle.size(), kIdleCloseBatch);
  std::partial_sort(idle.begin(), idle.begin() + static_cast<long>(count),
                    idle.end(),
                    [](const std::shared_ptr<CallerSession>& a,
                       const std::shared_ptr<CallerSession>& b) {
                      return a->LastActive() < b->LastActive();
                    });
  for (std::size_t i = 0; i < count; ++i) {
    idle[i]->Close();
  }
  if (count > 0) {
    LogEvent(kEventCallersClosed,
             {{"closed", std::to_string(count)},
              {"open", std::to_string(this->sessions.size())}});
  }
  return count;
}

namespace {

void ScheduleAccept(const std::shared_ptr<CallerListener::State>& state) {
  state->accept_retry_timer.expires_after(kAcceptRetryDelay);
  state->accept_retry_timer.async_wait(
      [state](boost::system::error_code error) {
        if (!error && state->acceptor.is_open()) {
          Accept(state);
        }
      });
}

void Accept(const std::shared_ptr<CallerListener::State>& state) {
  state->acceptor.async_accept([state](boost::system::error_code error,
                                       boost::asio::ip::tcp::socket socket) {
    if (!state->acceptor.is_open()) {
      return;
    }
    if (IsResourceShortage(error) && state->CloseLongestIdle() == 0) {
      // All connections are busy: new ones wait in the kernel's accept queue.
      ScheduleAccept(state);
      return;
    }
    if (!error) {
      if (state->sessions.size() >= MaxSessions()) {
        state->CloseLongestIdle();
      }
      const std::shared_ptr<CallerSession> session =
          std::make_shared<CallerSession>(state, std::move(socket));
      state->sessions.insert(session);
      session->Start();
    }
    Accept(state);
  });
}

}  // namespace

CallerListener::CallerListener(boost::asio::io_context& loop,
                               const HeaderNames& names,
                               RequestHandler handler)
    : state(std::make_shared<State>(loop, names, std::move(handler))) {}

CallerListener::~CallerListener() {
  boost::system::error_code ignored;
  this->state->acceptor.close(ignored);
}

Result<void> CallerListener::Listen(
    const boost::asio::ip::tcp::endpoint& address) {
  boost::system::error_code error;
  boost::asio::ip::tcp::acceptor& acceptor = this->state->acceptor;
  acceptor.open(address.protocol(), error);
  if (!error) {
    acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
    acceptor.bind(address, error);
  }
  if (!error) {
    acceptor.listen(kBacklog, error);
  }
  if (error) {
    return Fail(ErrorKind::kIo, "cannot listen on " + FormatAddress(address) +
                                    ": " + error.message());
  }
  Accept(this->state);
  return {};
}

void CallerListener::SetLimits(const policy::CallerLimits& limits) {
  this->state->limits = limits;
}

void CallerListener::Sweep(Millis now) {
  const std::vector<std::shared_ptr<CallerSession>> all(
      this->state->sessions.begin(), this->state->sessions.end());
  for (const std::shared_ptr<CallerSession>& session : all) {
    session->Sweep(now);
  }
}

void CallerListener::StartClosing() {
  this->state->is_closing = true;
}

void CallerListener::Stop() {
  boost::system::error_code ignored;
  this->state->acceptor.close(ignored);
  this->state->is_stopped = true;
  const std::vector<std::shared_ptr<CallerSession>> all(
      this->state->sessions.begin(), this->state->sessions.end());
  for (const std::shared_ptr<CallerSession>& session : all) {
    session->EndUpload();
    session->CloseIfIdle();
  }
}

std::size_t CallerListener::ConnectionCount() const {
  return this->state->sessions.size();
}

std::size_t CallerListener::BusyConnectionCount() const {
  std::size_t busy = 0;
  for (const std::shared_ptr<CallerSession>& session : this->state->sessions) {
    busy += session->IsBusy() || session->IsLingering() ? 1 : 0;
  }
  return busy;
}

}  // namespace almondlink::relay
