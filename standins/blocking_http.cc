#include "standins/blocking_http.h"

#include <algorithm>
#include <boost/asio.hpp>
#include <boost/beast.hpp>
#include <cctype>
#include <optional>

namespace almondlink::standins {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;

std::string Lower(std::string text) {
  std::transform(text.begin(), text.end(), text.begin(),
                 [](unsigned char c) { return std::tolower(c); });
  return text;
}

}  // namespace

struct BlockingHttp::Impl {
  config::Endpoint server;
  std::chrono::milliseconds timeout;
  asio::io_context context;
  std::optional<asio::ip::tcp::socket> socket;
  beast::flat_buffer buffer;

  bool Connect(beast::error_code& error) {
    this->socket.emplace(this->context);
    this->socket->connect(
        {asio::ip::make_address(this->server.ip), this->server.port}, error);
    if (error) {
      this->socket.reset();
      return false;
    }
    this->socket->set_option(asio::ip::tcp::no_delay(true));
    this->buffer.clear();
    return true;
  }
};

/// Reads one answer; the read is ended after the timeout, which SO_RCVTIMEO
/// would not do under Asio's blocking calls.
void ReadWithin(std::chrono::milliseconds timeout,
                asio::io_context& context,
                asio::ip::tcp::socket& socket,
                beast::flat_buffer& buffer,
                http::response<http::string_body>& response,
                beast::error_code& error) {
  bool is_done = false;
  http::async_read(socket, buffer, response,
                   [&](beast::error_code failed, std::size_t) {
                     is_done = true;
                     error = failed;
                   });
  context.restart();
  context.run_for(timeout);
  if (!is_done) {
    beast::error_code ignored;
    socket.close(ignored);
    context.restart();
    context.run();
    error = beast::error::timeout;
  }
}

std::string PlainAnswer::Header(const std::string& lower_name) const {
  const auto found = this->headers.find(lower_name);
  return found == this->headers.end() ? std::string() : found->second;
}

BlockingHttp::BlockingHttp(const config::Endpoint& server,
                           std::chrono::milliseconds timeout)
    : impl(std::make_unique<Impl>()) {
  this->impl->server = server;
  this->impl->timeout = timeout;
}

BlockingHttp::~BlockingHttp() = default;
BlockingHttp::BlockingHttp(BlockingHttp&&) noexcept = default;

bool BlockingHttp::Connect() {
  beast::error_code error;
  return this->impl->socket.has_value() || this->impl->Connect(error);
}

PlainAnswer BlockingHttp::Send(const PlainRequest& request) {
  PlainAnswer answer;
  beast::error_code error;
  if (!this->impl->socket.has_value() && !this->impl->Connect(error)) {
    answer.error = "connect: " + error.message();
    return answer;
  }
  http::request<http::string_body> message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  message.set(http::field::host, this->impl->server.Text());
  for (const auto& [name, value] : request.headers) {
    message.set(name, value);
  }
  message.body() = request.body;
  message.prepare_payload();
  http::write(*this->impl->socket, message, error);
  http::response<http::string_body> response;
  if (!error) {
    ReadWithin(this->impl->timeout, this->impl->context, *this->impl->socket,
               this->impl->buffer, response, error);
  }
  if (error) {
    this->impl->socket.reset();
    answer.error = error.message();
    return answer;
  }
  answer.status = response.result_int();
  for (const auto& field : response) {
    answer.headers[Lower(std::string(field.name_string()))] =
        std::string(field.value());
  }
  answer.body = std::move(response.body());
  if (!response.keep_alive()) {
    this->impl->socket.reset();
  }
  return answer;
}

}  // namespace almondlink::standins
