#include "libs/relay/tests/scripted_target.h"

#include <sys/socket.h>

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <memory>
#include <utility>

namespace almondlink::relay {

namespace {

using Tcp = boost::asio::ip::tcp;

const HeaderNames kNames = {
    "Request-Id",    "Deadline-Ms",   "Caller-Service", "Target-Instance",
    "Response-Seal", "Not-Executed",  "Instance-Id",    "Tenant",
    "Server-Limit",  "Server-Leaving"};

}  // namespace

std::string ScriptedConnection::ReadHead() {
  std::size_t end = std::string::npos;
  while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
    if (!this->Receive()) {
      return {};
    }
  }
  std::string head = this->buffer.substr(0, end + 4);
  this->buffer.erase(0, end + 4);
  return head;
}

bool ScriptedConnection::ReadBody(std::size_t size) {
  while (this->buffer.size() < size) {
    if (!this->Receive()) {
      return false;
    }
  }
  this->buffer.erase(0, size);
  return true;
}

bool ScriptedConnection::Receive() {
  std::array<char, 65536> bytes{};
  boost::system::error_code error;
  const std::size_t count =
      this->socket.read_some(boost::asio::buffer(bytes), error);
  this->buffer.append(bytes.data(), count);
  return !error;
}

bool ScriptedConnection::Send(const std::string& bytes) {
  boost::system::error_code error;
  boost::asio::write(this->socket, boost::asio::buffer(bytes), error);
  return !error;
}

std::size_t ScriptedConnection::SendEndlessly(const std::string& bytes,
                                              std::size_t limit) {
  std::size_t sent = 0;
  while (sent < limit && this->Send(bytes)) {
    sent += bytes.size();
  }
  return sent;
}

void ScriptedConnection::Reset() {
  boost::system::error_code ignored;
  this->socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  this->socket.close(ignored);
}

void ScriptedConnection::ShutdownSend() {
  boost::system::error_code ignored;
  this->socket.shutdown(Tcp::socket::shutdown_send, ignored);
}

void ScriptedConnection::Abort() {
  ::shutdown(this->socket.native_handle(), SHUT_RDWR);
}

ScriptedTarget::ScriptedTarget(Script script_in)
    : script(std::move(script_in)),
      acceptor(loop,
               Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0)),
      thread([this]() { this->Accept(); }) {}

ScriptedTarget::~ScriptedTarget() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->is_stopped = true;
    ::shutdown(this->acceptor.native_handle(), SHUT_RDWR);
    for (Served& entry : this->served) {
      entry.connection.Abort();
    }
  }
  this->thread.join();
  for (Served& entry : this->served) {
    entry.thread.join();
  }
}

Tcp::endpoint ScriptedTarget::Address() const {
  return this->acceptor.local_endpoint();
}

void ScriptedTarget::Accept() {
  while (true) {
    boost::system::error_code error;
    Tcp::socket socket(this->loop);
    this->acceptor.accept(socket, error);
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->is_stopped) {
      return;
    }
    if (error) {
      continue;
    }
    socket.set_option(Tcp::no_delay(true), error);
    Served& entry = this->served.emplace_back(std::move(socket));
    const int number = this->accepted++;
    entry.thread = std::thread([this, &entry, number]() {
      this->script(entry.connection, number);
      entry.connection.Abort();
    });
  }
}

PoolDriver::PoolDriver(const ScriptedTarget& target)
    : pool(this->loop, kNames) {
  this->pool.SetAddress(target.Address());
}

ExchangeResult PoolDriver::Send(const std::string& id,
                                const std::string& bytes,
                                Millis wait,
                                bool is_repeatable) {
  // Events may come after this call has given up.
  const auto result = std::make_shared<ExchangeResult>();
  const auto exchange = std::make_shared<TargetExchange>();
  TargetRequest request;
  request.id = id;
  request.bytes = bytes;
  request.is_repeatable = is_repeatable;
  request.time_left = wait;
  TargetEvents events;
  events.on_answer = [result, exchange](const AnswerHead& head,
                                        const std::string& body,
                                        bool has_more) {
    result->head = head;
    result->body = body;
    result->is_over = !has_more;
    if (has_more) {
      TargetPool::OnConsumed(*exchange, body.size());
    }
  };
  events.on_part = [result, exchange](const std::string& part, bool is_last,
                                      bool is_broken) {
    result->body += part;
    result->is_over = is_last;
    result->is_broken = is_broken;
    TargetPool::OnConsumed(*exchange, part.size());
  };
  events.on_failed = [result](CallReason reason, bool was_sent) {
    result->failure = reason;
    result->was_sent = was_sent;
    result->is_over = true;
  };
  events.may_send = [this]() { return this->may_send; };
  *exchange =
      this->pool.Send(BootTimeNow(), std::move(request), std::move(events));
  const Millis until = BootTimeNow() + wait;
  while (!result->is_over && BootTimeNow() < until) {
    this->Run(Millis{5});
  }
  if (!result->is_over) {
    TargetPool::Cancel(*exchange);
  }
  return *result;
}

void PoolDriver::Run(Millis time) {
  // Without open work the loop would return at once.
  const auto work = boost::asio::make_work_guard(this->loop);
  this->loop.restart();
  this->loop.run_for(std::chrono::milliseconds(time.count));
}

std::string MakeTargetRequest(const std::string& id, std::size_t body_size) {
  return "POST /pay HTTP/1.1\r\nRequest-Id: " + id +
         "\r\nContent-Length: " + std::to_string(body_size) + "\r\n\r\n" +
         std::string(body_size, 'u');
}

std::string MakeSuccess(const std::string& id,
                        const std::string& framing,
                        const std::string& body) {
  return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Seal: s\r\n" +
         framing + "\r\n" + body;
}

std::string MakeRefusal(const std::string& id) {
  return "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id +
         "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n";
}

std::string IdIn(const std::string& head) {
  const std::string name = "Request-Id: ";
  const std::size_t at = head.find(name);
  if (at == std::string::npos) {
    return {};
  }
  const std::size_t start = at + name.size();
  return head.substr(start, head.find("\r\n", start) - start);
}

}  // namespace almondlink::relay
