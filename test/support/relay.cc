#include "test/support/relay.h"

#include <array>
#include <utility>

namespace almondlink::test {

namespace asio = boost::asio;
using tcp = asio::ip::tcp;

struct Relay::Pair {
  Pair(tcp::socket near_in, asio::io_context& context)
      : near(std::move(near_in)), far(context) {}

  /// Carries bytes one way until an end closes.
  static void Carry(const std::shared_ptr<Pair>& pair,
                    tcp::socket& from,
                    tcp::socket& to) {
    std::array<char, 16384> buffer{};
    boost::system::error_code error;
    while (!error) {
      const std::size_t size = from.read_some(asio::buffer(buffer), error);
      if (!error && !pair->is_silent) {
        asio::write(to, asio::buffer(buffer.data(), size), error);
      }
    }
    pair->Shutdown();
  }

  void Shutdown() {
    boost::system::error_code ignored;
    this->near.shutdown(tcp::socket::shutdown_both, ignored);
    this->far.shutdown(tcp::socket::shutdown_both, ignored);
  }

  tcp::socket near;
  tcp::socket far;
  std::atomic<bool> is_silent{false};
};

Relay::Relay(std::uint16_t port, std::uint16_t to)
    : acceptor(context, {asio::ip::make_address("127.0.0.1"), port}), to(to) {
  this->threads.emplace_back([this]() { this->Accept(); });
}

Relay::~Relay() {
  ::shutdown(this->acceptor.native_handle(), SHUT_RDWR);
  this->threads.front().join();
  this->Cut();
  for (std::size_t i = 1; i < this->threads.size(); ++i) {
    this->threads[i].join();
  }
}

void Relay::Accept() {
  while (true) {
    boost::system::error_code error;
    tcp::socket near(this->context);
    this->acceptor.accept(near, error);
    if (error) {
      return;
    }
    auto pair = std::make_shared<Pair>(std::move(near), this->context);
    pair->far.connect({asio::ip::make_address("127.0.0.1"), this->to}, error);
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->pairs.push_back(pair);
    this->threads.emplace_back(
        [pair]() { Pair::Carry(pair, pair->near, pair->far); });
    this->threads.emplace_back(
        [pair]() { Pair::Carry(pair, pair->far, pair->near); });
    ++this->accepted;
  }
}

void Relay::Silence() {
  const std::lock_guard<std::mutex> guard(this->mutex);
  for (const std::shared_ptr<Pair>& pair : this->pairs) {
    pair->is_silent = true;
  }
}

void Relay::Cut() {
  const std::lock_guard<std::mutex> guard(this->mutex);
  for (const std::shared_ptr<Pair>& pair : this->pairs) {
    pair->Shutdown();
  }
}

}  // namespace almondlink::test
