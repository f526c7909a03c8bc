#include "almondlink/relay/caller_port.h"

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

/// Connections that wait to be accepted: a burst of one tick of all callers.
constexpr int kBacklog = 1024;
/// Idle connections that are closed together when descriptors are short: some
/// more than one, so that a steady stream of new callers does not search all
/// connections for each.
constexpr std::size_t kCloseAtOnce = 16;
/// A connection that was just opened or used is about to be used.
constexpr Millis kLeastIdle{300};
/// Time until it is tried again to accept while every descriptor is in work.
constexpr std::chrono::milliseconds kAcceptPause{50};
/// Part of the descriptors that callers may use; links to other nodes and
/// connections to the target need the rest.
constexpr std::size_t kCallersPart = 2;

/// Connections of callers above which idle ones are closed.
std::size_t MostSessions() {
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 ||
      limit.rlim_cur == RLIM_INFINITY) {
    return std::numeric_limits<std::size_t>::max();
  }
  return static_cast<std::size_t>(limit.rlim_cur) / kCallersPart;
}

void Accept(const std::shared_ptr<CallerPort::State>& state);

}  // namespace

CallerExchange::CallerExchange(std::weak_ptr<CallerSession> session_in)
    : session(std::move(session_in)) {}

void CallerExchange::Answer(std::uint32_t status,
                            std::string_view status_text,
                            std::string_view fields,
                            std::string_view body) {
  if (const std::shared_ptr<CallerSession> open = this->session.lock()) {
    this->on_gone = nullptr;
    open->WriteAnswer(status, status_text, fields, body);
  }
}

void CallerExchange::BeginLong(std::uint32_t status,
                               std::string_view status_text,
                               std::string_view fields,
                               std::string_view first_part) {
  if (const std::shared_ptr<CallerSession> open = this->session.lock()) {
    open->BeginLong(status, status_text, fields, first_part);
  }
}

void CallerExchange::Part(std::string_view body) {
  if (const std::shared_ptr<CallerSession> open = this->session.lock()) {
    open->Part(body);
  }
}

void CallerExchange::EndLong(bool is_broken) {
  if (const std::shared_ptr<CallerSession> open = this->session.lock()) {
    this->on_gone = nullptr;
    open->EndLong(is_broken);
  }
}

void CallerExchange::CloseAfter() {
  if (const std::shared_ptr<CallerSession> open = this->session.lock()) {
    open->CloseAfter();
  }
}

std::size_t CallerPort::State::CloseLongestIdle() {
  std::vector<std::shared_ptr<CallerSession>> idle;
  const Millis since = BootTimeNow() - kLeastIdle;
  for (const std::shared_ptr<CallerSession>& session : this->sessions) {
    if (session->IsIdle() && session->LastActive() < since &&
        !session->HasUnread()) {
      idle.push_back(session);
    }
  }
  const std::size_t count = std::min(idle.size(), kCloseAtOnce);
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

void AcceptLater(const std::shared_ptr<CallerPort::State>& state) {
  state->pause.expires_after(kAcceptPause);
  state->pause.async_wait([state](boost::system::error_code error) {
    if (!error && state->acceptor.is_open()) {
      Accept(state);
    }
  });
}

void Accept(const std::shared_ptr<CallerPort::State>& state) {
  state->acceptor.async_accept([state](boost::system::error_code error,
                                       boost::asio::ip::tcp::socket socket) {
    if (!state->acceptor.is_open()) {
      return;
    }
    if (IsResourceShortage(error) && state->CloseLongestIdle() == 0) {
      // All are in work: the next one waits in the kernel's queue.
      AcceptLater(state);
      return;
    }
    if (!error) {
      if (state->sessions.size() >= MostSessions()) {
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

CallerPort::CallerPort(boost::asio::io_context& loop,
                       const HeaderNames& names,
                       RequestHandler handler)
    : state(std::make_shared<State>(loop, names, std::move(handler))) {}

CallerPort::~CallerPort() {
  boost::system::error_code ignored;
  this->state->acceptor.close(ignored);
}

Result<void> CallerPort::Listen(const boost::asio::ip::tcp::endpoint& address) {
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
    return Fail(ErrorKind::kIo, "cannot listen at " + FormatAddress(address) +
                                    ": " + error.message());
  }
  Accept(this->state);
  return {};
}

void CallerPort::SetLimits(const policy::CallerLimits& limits) {
  this->state->limits = limits;
}

void CallerPort::Sweep(Millis now) {
  const std::vector<std::shared_ptr<CallerSession>> all(
      this->state->sessions.begin(), this->state->sessions.end());
  for (const std::shared_ptr<CallerSession>& session : all) {
    session->Sweep(now);
  }
}

void CallerPort::StartClosing() {
  this->state->is_closing = true;
}

void CallerPort::CloseIdle() {
  boost::system::error_code ignored;
  this->state->acceptor.close(ignored);
  const std::vector<std::shared_ptr<CallerSession>> all(
      this->state->sessions.begin(), this->state->sessions.end());
  for (const std::shared_ptr<CallerSession>& session : all) {
    session->CloseIfIdle();
  }
}

std::size_t CallerPort::Open() const {
  return this->state->sessions.size();
}

std::size_t CallerPort::Busy() const {
  std::size_t busy = 0;
  for (const std::shared_ptr<CallerSession>& session : this->state->sessions) {
    busy += session->IsBusy() ? 1 : 0;
  }
  return busy;
}

}  // namespace almondlink::relay
