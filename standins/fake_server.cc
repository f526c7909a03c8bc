#include "standins/fake_server.h"

#include <poll.h>
#include <sys/socket.h>

#include <boost/asio/write.hpp>
#include <boost/beast/core.hpp>
#include <utility>

namespace almondlink::standins {

namespace {

using Tcp = boost::asio::ip::tcp;
namespace http = boost::beast::http;

/// Whether the other end has closed, without reading what it may have sent.
bool IsClosedByPeer(int handle) {
  pollfd entry{handle, POLLIN | POLLRDHUP, 0};
  if (poll(&entry, 1, 0) != 1) {
    return false;
  }
  return (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

}  // namespace

struct FakeServer::Connection {
  explicit Connection(Tcp::socket socket_in) : socket(std::move(socket_in)) {}
  Tcp::socket socket;
  std::thread thread;
};

FakeServer::FakeServer(int port,
                       FakeHandler handler_in,
                       FakeBodyHandler body_handler_in,
                       FakeStrayBytes stray_bytes_in)
    : handler(std::move(handler_in)),
      body_handler(std::move(body_handler_in)),
      stray_bytes(std::move(stray_bytes_in)),
      acceptor(loop,
               Tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"),
                             static_cast<std::uint16_t>(port))),
      thread([this]() { this->Accept(); }) {}

FakeServer::~FakeServer() {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->is_stopped = true;
    // Ends the accept and the reads; the threads then leave by themselves.
    ::shutdown(this->acceptor.native_handle(), SHUT_RDWR);
    for (Connection& connection : this->connections) {
      ::shutdown(connection.socket.native_handle(), SHUT_RDWR);
    }
  }
  this->thread.join();
  for (Connection& connection : this->connections) {
    connection.thread.join();
  }
}

void FakeServer::Accept() {
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
    this->connections.emplace_back(std::move(socket));
    Connection& connection = this->connections.back();
    connection.thread =
        std::thread([this, &connection]() { this->Serve(connection); });
  }
}

void FakeServer::Serve(Connection& connection) {
  boost::beast::flat_buffer buffer;
  boost::system::error_code error;
  bool is_silent = false;
  bool is_first = true;
  while (true) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    http::read_header(connection.socket, buffer, parser, error);
    const bool has_body =
        !error && !parser.is_done() && this->body_handler != nullptr;
    const std::optional<BodyReaction> early =
        has_body ? this->body_handler(parser.get().base()) : std::nullopt;
    if (early.has_value()) {
      while (!error && !parser.is_done() &&
             parser.get().body().size() < early->after) {
        http::read_some(connection.socket, buffer, parser, error);
      }
      boost::asio::write(connection.socket, boost::asio::buffer(early->bytes),
                         error);
      if (early->stops) {
        early->on_stop();
        return;
      }
      std::this_thread::sleep_for(early->pause);
      if (early->resets) {
        connection.socket.set_option(boost::asio::socket_base::linger(true, 0),
                                     error);
      } else {
        http::read(connection.socket, buffer, parser, error);
        boost::asio::write(connection.socket,
                           boost::asio::buffer(early->last_bytes), error);
      }
      if (early->resets || !early->last_bytes.empty()) {
        const std::lock_guard<std::mutex> lock(this->mutex);
        if (!this->is_stopped) {
          connection.socket.close(error);
        }
        return;
      }
      if (error) {
        return;
      }
      continue;
    }
    if (!error) {
      http::read(connection.socket, buffer, parser, error);
    }
    if (error) {
      return;
    }
    const FakeRequest request = parser.release();
    if (!std::exchange(is_first, false) && this->stray_bytes != nullptr) {
      boost::asio::write(connection.socket,
                         boost::asio::buffer(this->stray_bytes()), error);
    }
    const int handle = connection.socket.native_handle();
    const Reaction reaction =
        this->handler(request, [handle]() { return IsClosedByPeer(handle); });
    is_silent = is_silent || reaction.hangs;
    if (!is_silent) {
      boost::asio::write(connection.socket, boost::asio::buffer(reaction.bytes),
                         error);
    }
    while (!error && !reaction.endless_bytes.empty()) {
      boost::asio::write(connection.socket,
                         boost::asio::buffer(reaction.endless_bytes), error);
    }
    if (!reaction.late_bytes.empty()) {
      std::this_thread::sleep_for(reaction.pause);
      boost::asio::write(connection.socket,
                         boost::asio::buffer(reaction.late_bytes), error);
    }
    if (reaction.resets) {
      connection.socket.set_option(boost::asio::socket_base::linger(true, 0),
                                   error);
    }
    if (reaction.closes || reaction.resets) {
      const std::lock_guard<std::mutex> lock(this->mutex);
      if (!this->is_stopped) {
        connection.socket.close(error);
      }
      return;
    }
  }
}

std::string MakeAnswer(unsigned status,
                       const std::string& fields,
                       const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Text\r\n" + fields +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string QueryValue(const std::string& target, const std::string& name) {
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t start = at + 1;
    at = target.find('&', start);
    const std::string part = target.substr(start, at - start);
    if (part.compare(0, name.size() + 1, name + "=") == 0) {
      return part.substr(name.size() + 1);
    }
  }
  return {};
}

}  // namespace almondlink::standins
