#include <poll.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <fstream>
#include <functional>
#include <string>
#include <thread>
#include <vector>

#include "almondlink/relay/peer_frames.h"
#include "test/support/relay_cluster.h"

/// What another node says that cannot be read: frames that are cut, and a
/// policy of a later form. Found on reading. A cut answer was passed over
/// without a word, and its call waited for its whole time; a policy that cannot
/// be read was asked for ten times a second, the whole text each time.
namespace almondlink::test {
namespace {

using relay::FrameType;
using relay::RawFrame;
using Tcp = boost::asio::ip::tcp;
using Clock = std::chrono::steady_clock;

constexpr std::uint64_t kLaterVersion = 99;

const std::vector<RouteSpec> kRoutes = []() {
  RouteSpec route;
  route.name = "stock";
  route.host = "stock.example";
  route.prefix = "/stock/";
  route.service = "stock";
  return std::vector<RouteSpec>{route};
}();

Tcp::endpoint Loopback(int port) {
  return {boost::asio::ip::make_address("127.0.0.1"),
          static_cast<std::uint16_t>(port)};
}

/// A frame of one byte: too short for any that has fields.
std::string CutFrame(FrameType type) {
  std::string frame{0, 0, 0, 2, static_cast<char>(type), 'x'};
  return frame;
}

/// Whether the other end closes within two seconds; what it sends is dropped.
bool IsClosedSoon(Tcp::socket& socket) {
  const Clock::time_point until = Clock::now() + std::chrono::seconds(2);
  while (Clock::now() < until) {
    pollfd entry{socket.native_handle(), POLLIN, 0};
    if (poll(&entry, 1, 50) != 1) {
      continue;
    }
    char bytes[4096];
    boost::system::error_code error;
    socket.read_some(boost::asio::buffer(bytes), error);
    if (error) {
      return true;
    }
  }
  return false;
}

/// Another node, as far as frames go: it dials the node under test, which then
/// dials it.
class FakePeer {
 public:
  /// Called for each link that the node under test opened; it closes when this
  /// returns.
  using Speaker = std::function<void(FakePeer& self, Tcp::socket& link)>;

  FakePeer(const RelayCluster& cluster, int port_in, Speaker speak_in)
      : port(port_in),
        speak(std::move(speak_in)),
        acceptor(this->loop, Loopback(port_in)),
        dialled(this->loop) {
    this->dialled.connect(Loopback(cluster.PeerPort(0)));
    this->Send(this->dialled, this->Hello());
    this->thread = std::thread([this]() { this->Accept(); });
  }
  ~FakePeer() {
    this->is_stopped = true;
    ::shutdown(this->acceptor.native_handle(), SHUT_RDWR);
    this->thread.join();
  }

  Tcp::socket& Dialled() { return this->dialled; }

  static void Send(Tcp::socket& socket, const std::string& bytes) {
    boost::system::error_code error;
    boost::asio::write(socket, boost::asio::buffer(bytes), error);
  }

  std::string Hello() const {
    relay::HelloFrame hello;
    hello.self = {"far", "127.0.0.1:" + std::to_string(this->port), 1};
    hello.zone = "zone-a";
    hello.deployment = "test";
    hello.protocol_version = relay::kProtocolVersion;
    std::string bytes;
    Append(hello, bytes);
    return bytes;
  }

  static std::string State(std::uint64_t policy_version) {
    relay::StateFrame state;
    state.policy_version = policy_version;
    state.service = "far";
    state.zone = "zone-a";
    std::string bytes;
    Append(state, bytes);
    return bytes;
  }

 private:
  void Accept() {
    while (!this->is_stopped) {
      boost::system::error_code error;
      Tcp::socket socket(this->loop);
      this->acceptor.accept(socket, error);
      if (!error) {
        this->speak(*this, socket);
      }
    }
  }

  const int port;
  const Speaker speak;
  std::atomic<bool> is_stopped{false};
  boost::asio::io_context loop;
  Tcp::acceptor acceptor;
  Tcp::socket dialled;
  std::thread thread;
};

std::size_t CountEvents(const std::string& path, const std::string& name) {
  std::ifstream in(path);
  std::size_t count = 0;
  std::string line;
  while (std::getline(in, line)) {
    count += line.find("\"" + name + "\"") != std::string::npos ? 1 : 0;
  }
  return count;
}

/// One node whose log tells what it refused.
struct Alone {
  RelayCluster cluster;
  explicit Alone(int port, const std::string& name) : cluster(port, name) {
    this->cluster.Add(Spec("i-a", "stock"));
    this->cluster.Configure(1, kRoutes);
    this->cluster.WaitReady();
  }
  std::size_t Refused() {
    return CountEvents(this->cluster.LogPath(0), "peer-refused");
  }
};

TEST_CASE("a frame that is cut ends the link that a peer opened, with a line") {
  Alone alone(23900, "frames-accepted");
  for (const FrameType type :
       {FrameType::kHello, FrameType::kCall, FrameType::kCancel,
        FrameType::kWindow, FrameType::kStateConfirmed,
        FrameType::kPolicyRequest, FrameType::kPolicy, FrameType::kQuotaRequest,
        FrameType::kQuarantine, FrameType::kTrialRequest,
        FrameType::kTrialEnded, FrameType::kLeavesConfirmed}) {
    INFO("type " << static_cast<int>(type));
    const std::size_t before = alone.Refused();
    FakePeer peer(alone.cluster, 23929,
                  [](FakePeer& /*self*/, Tcp::socket& /*link*/) {});
    FakePeer::Send(peer.Dialled(), CutFrame(type));
    CHECK(IsClosedSoon(peer.Dialled()));
    CHECK(Soon([&]() { return alone.Refused() > before; }));
  }
}

TEST_CASE(
    "a frame that is cut ends the link that the node opened, with a line") {
  Alone alone(23930, "frames-dialled");
  for (const FrameType type :
       {FrameType::kHello, FrameType::kState, FrameType::kLeaves,
        FrameType::kLoad, FrameType::kPolicyVersion, FrameType::kNodes,
        FrameType::kPolicy, FrameType::kAnswer, FrameType::kData,
        FrameType::kQuotaLoan, FrameType::kTrialResponse}) {
    INFO("type " << static_cast<int>(type));
    const std::size_t before = alone.Refused();
    std::atomic<int> links{0};
    std::atomic<int> closed{0};
    FakePeer peer(alone.cluster, 23959, [&](FakePeer& self, Tcp::socket& link) {
      ++links;
      FakePeer::Send(link, self.Hello() + FakePeer::State(1) + CutFrame(type));
      closed += IsClosedSoon(link) ? 1 : 0;
    });
    CHECK(Soon([&]() { return links > 0; }));
    CHECK(Soon([&]() { return closed > 0; }));
    CHECK(Soon([&]() { return alone.Refused() > before; }));
  }
}

TEST_CASE("a frame of a type that is not known is passed over") {
  Alone alone(23960, "frames-unknown");
  FakePeer peer(alone.cluster, 23989,
                [](FakePeer& /*self*/, Tcp::socket& /*link*/) {});
  FakePeer::Send(peer.Dialled(), CutFrame(static_cast<FrameType>(200)));
  CHECK_FALSE(IsClosedSoon(peer.Dialled()));
}

/// Answers questions for the policy: `unreadable` times with what nobody reads,
/// then with a configuration of that version.
class PolicyPeer {
 public:
  PolicyPeer(const RelayCluster& cluster, int port, int unreadable_in)
      : unreadable(unreadable_in),
        peer(cluster, port, [this](FakePeer& self, Tcp::socket& link) {
          this->Speak(self, link);
        }) {}
  ~PolicyPeer() { this->is_stopped = true; }

  std::atomic<int> asked{0};

 private:
  void Speak(const FakePeer& self, Tcp::socket& socket) {
    FakePeer::Send(socket, self.Hello() + FakePeer::State(kLaterVersion));
    std::string input;
    while (!this->is_stopped) {
      pollfd entry{socket.native_handle(), POLLIN, 0};
      if (poll(&entry, 1, 50) != 1) {
        continue;
      }
      char bytes[4096];
      boost::system::error_code error;
      const std::size_t count =
          socket.read_some(boost::asio::buffer(bytes), error);
      if (error) {
        return;
      }
      input.append(bytes, count);
      this->TakeFrames(input, socket);
    }
  }

  void TakeFrames(std::string& input, Tcp::socket& socket) {
    bool is_bad = false;
    while (const std::optional<RawFrame> frame =
               relay::NextFrame(input, is_bad)) {
      const bool is_question = frame->type == FrameType::kPolicyRequest;
      const bool is_ping = frame->type == FrameType::kPing;
      input.erase(0, frame->size);
      if (is_ping) {
        FakePeer::Send(socket, FakePeer::State(kLaterVersion));
      }
      if (is_question) {
        const bool is_readable = ++this->asked > this->unreadable;
        std::string bytes;
        relay::AppendPolicy(
            is_readable ? MakeConfig(kLaterVersion, kRoutes) : "{\"later\":",
            bytes);
        FakePeer::Send(socket, bytes);
      }
    }
  }

  const int unreadable;
  std::atomic<bool> is_stopped{false};
  FakePeer peer;
};

TEST_CASE("a policy that cannot be read is asked for once a second") {
  Alone alone(25400, "policy-unreadable");
  PolicyPeer peer(alone.cluster, 25429, 1000);
  REQUIRE(Soon([&]() { return peer.asked > 0; }));
  std::this_thread::sleep_for(std::chrono::seconds(4));
  CHECK(peer.asked <= 6);
  CHECK(peer.asked >= 2);
  CHECK(alone.cluster.Metric(0, "almondlink_policy_version") == 1);
}

TEST_CASE("a policy that can be read on a later question comes into force") {
  Alone alone(25430, "policy-read-later");
  PolicyPeer peer(alone.cluster, 25459, 2);
  CHECK(Soon([&]() {
    return alone.cluster.Metric(0, "almondlink_policy_version") ==
           static_cast<double>(kLaterVersion);
  }));
}

}  // namespace
}  // namespace almondlink::test
