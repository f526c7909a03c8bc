#include "almondlink/relay/target_probe.h"

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <memory>
#include <utility>

namespace almondlink::relay {

namespace {

/// All connections of a process that has ended are closed at once; after this
/// delay the event loop has processed all of them.
constexpr std::chrono::milliseconds kProbeDelay{2};
/// A connection attempt on the same host is answered within a millisecond; the
/// rest is for an overloaded host. Requests whose connection closed wait for
/// the result.
constexpr std::chrono::milliseconds kProbeTimeout{100};

struct Probe {
  explicit Probe(boost::asio::io_context& loop) : socket(loop), timer(loop) {}
  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  std::function<void(TargetProbeResult)> done;
};

void Finish(Probe& probe, TargetProbeResult result) {
  if (!probe.done) {
    return;
  }
  const std::function<void(TargetProbeResult)> done =
      std::exchange(probe.done, nullptr);
  probe.timer.cancel();
  boost::system::error_code ignored;
  probe.socket.close(ignored);
  done(result);
}

void Connect(const std::shared_ptr<Probe>& probe,
             const boost::asio::ip::tcp::endpoint& address) {
  probe->timer.expires_after(kProbeTimeout);
  probe->timer.async_wait([probe](boost::system::error_code error) {
    if (!error) {
      Finish(*probe, TargetProbeResult::kUnknown);
    }
  });
  probe->socket.async_connect(
      address, [probe](boost::system::error_code error) {
        const bool is_refused = error == boost::asio::error::connection_refused;
        Finish(*probe, !error       ? TargetProbeResult::kListening
                       : is_refused ? TargetProbeResult::kNotListening
                                    : TargetProbeResult::kUnknown);
      });
}

}  // namespace

void ProbeTarget(boost::asio::io_context& loop,
                 const boost::asio::ip::tcp::endpoint& address,
                 std::function<void(TargetProbeResult)> done) {
  const std::shared_ptr<Probe> probe = std::make_shared<Probe>(loop);
  probe->done = std::move(done);
  probe->timer.expires_after(kProbeDelay);
  probe->timer.async_wait([probe, address](boost::system::error_code error) {
    if (!error) {
      Connect(probe, address);
    }
  });
}

}  // namespace almondlink::relay
