#ifndef ALMONDLINK_TEST_SUPPORT_RELAY_H_
#define ALMONDLINK_TEST_SUPPORT_RELAY_H_

#include <atomic>
#include <boost/asio.hpp>
#include <cstdint>
#include <memory>
#include <thread>
#include <vector>

namespace almondlink::test {

/// A TCP relay on loopback that can lose track of connections: from then on it
/// keeps them open and carries nothing, while new ones work. It can also cut
/// them. Blocking, two threads a connection.
class Relay {
 public:
  Relay(std::uint16_t port, std::uint16_t to);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  /// Connections open now carry nothing any more.
  void Silence();
  /// Of connections open now, nothing goes from the callers' side to the other
  /// any more; the other way still works.
  void SilenceOneWay();
  /// Closes connections open now.
  void Cut();
  /// Delays all that is carried from now on.
  void SetDelay(int milliseconds) { this->delay_ms = milliseconds; }
  /// Connections accepted so far.
  int Accepted() const { return this->accepted.load(); }

 private:
  struct Pair;
  void Accept();

  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor;
  const std::uint16_t to;
  std::atomic<int> accepted{0};
  std::atomic<int> delay_ms{0};
  std::mutex mutex;
  std::vector<std::shared_ptr<Pair>> pairs;
  std::vector<std::thread> threads;
};

}  // namespace almondlink::test

#endif  // ALMONDLINK_TEST_SUPPORT_RELAY_H_
