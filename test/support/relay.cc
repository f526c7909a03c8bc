#include "test/support/relay.h"

#include <array>
#include <chrono>
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
                    tcp::socket& to,
                    const std::atomic<bool>& is_silent,
                    const std::atomic<int>& delay_ms) {
    std::array<char, 16384> buffer{};
    boost::system::error_code error;
    while (!error) {
      const std::size_t size = from.read_some(asio::buffer(buffer), error);
      if (!error && delay_ms > 0) {
        std::this_thread::sleep_for(std::chrono::milliseconds(delay_ms));
      }
      if (!error && !is_silent) {
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
  std::atomic<bool> is_silent_out{false};
  std::atomic<bool> is_silent_back{false};
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
    if (error) {
      // Nobody there: the caller sees a close, as it would without the relay.
      continue;
    }
    const std::lock_guard<std::mutex> guard(this->mutex);
    this->pairs.push_back(pair);
    this->threads.emplace_back([this, pair]() {
      Pair::Carry(pair, pair->near, pair->far, pair->is_silent_out,
                  this->delay_ms);
    });
    this->threads.emplace_back([this, pair]() {
      Pair::Carry(pair, pair->far, pair->near, pair->is_silent_back,
                  this->delay_ms);
    });
    ++this->accepted;
  }
}

void Relay::Silence() {
  const std::lock_guard<std::mutex> guard(this->mutex);
  for (const std::shared_ptr<Pair>& pair : this->pairs) {
    pair->is_silent_out = true;
    pair->is_silent_back = true;
  }
}

void Relay::SilenceOneWay() {
  const std::lock_guard<std::mutex> guard(this->mutex);
  for (const std::shared_ptr<Pair>& pair : this->pairs) {
    pair->is_silent_out = true;
  }
}

void Relay::Cut() {
  const std::lock_guard<std::mutex> guard(this->mutex);
  for (const std::shared_ptr<Pair>& pair : this->pairs) {
    pair->Shutdown();
  }
}

}  // namespace almondlink::test
