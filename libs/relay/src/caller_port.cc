#include "almondlink/relay/caller_port.h"

#include <utility>
#include <vector>

#include "address.h"
#include "caller_session.h"

namespace almondlink::relay {

namespace {

/// Connections that wait to be accepted: a burst of one tick of all callers.
constexpr int kBacklog = 1024;

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

namespace {

void Accept(const std::shared_ptr<CallerPort::State>& state) {
  state->acceptor.async_accept([state](boost::system::error_code error,
                                       boost::asio::ip::tcp::socket socket) {
    if (!state->acceptor.is_open()) {
      return;
    }
    if (!error) {
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
