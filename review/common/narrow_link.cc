#include "review/common/narrow_link.h"

#include <algorithm>
#include <chrono>
#include <mutex>
#include <thread>
#include <utility>

namespace almondlink::review {

namespace {

constexpr double kBytesPerMbit = 125'000;
constexpr std::int64_t kForeverMs = 600'000;
constexpr int kSocketBuffer = 64 * 1024;

/// Time slots of a link, given out one after the other.
class Pace {
 public:
  explicit Pace(double bytes_per_s_in) : bytes_per_s(bytes_per_s_in) {}

  /// Waits until `bytes` have passed the link.
  void Pass(std::size_t bytes) {
    const auto time = std::chrono::duration_cast<Clock::duration>(
        std::chrono::duration<double>(static_cast<double>(bytes) /
                                      this->bytes_per_s));
    Clock::time_point done;
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->free_at = std::max(this->free_at, Clock::now()) + time;
      done = this->free_at;
    }
    std::this_thread::sleep_until(done);
  }

 private:
  using Clock = std::chrono::steady_clock;
  double bytes_per_s;
  std::mutex mutex;
  Clock::time_point free_at;
};

/// Passes bytes on until either end closes.
void Pump(Socket& from, Socket& to, Pace& pace) {
  while (true) {
    std::string part;
    const long size = from.Receive(part, kForeverMs);
    if (size <= 0) {
      break;
    }
    pace.Pass(part.size());
    if (!to.Send(part, kForeverMs)) {
      break;
    }
  }
  from.Shutdown();
  to.Shutdown();
}

}  // namespace

NarrowLink::NarrowLink(const std::string& ip,
                       int port,
                       int target_port,
                       double mbps) {
  const auto in = std::make_shared<Pace>(mbps * kBytesPerMbit);
  const auto out = std::make_shared<Pace>(mbps * kBytesPerMbit);
  this->server = std::make_unique<Server>(
      ip, port, [ip, target_port, in, out](Socket& caller) {
        Socket node = Socket::Connect(ip, target_port);
        if (!node.IsOpen()) {
          caller.Reset();
          return;
        }
        caller.SetBuffers(kSocketBuffer);
        node.SetBuffers(kSocketBuffer);
        std::thread back([&]() { Pump(node, caller, *out); });
        Pump(caller, node, *in);
        back.join();
      });
}

}  // namespace almondlink::review
