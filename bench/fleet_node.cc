#include <gflags/gflags.h>
#include <sys/resource.h>

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "almondlink/relay/peer_frames.h"
#include "test/support/process.h"

/// bench_fleet_node: what a relay costs that knows many other nodes while no
/// request comes: processor time and memory. The other nodes are sockets of
/// this program that send a hello and a state and read what comes.
///
/// Aim: at 2,000 nodes less than 2 % of a core.

DEFINE_string(peers, "100 1000 2000", "numbers of other nodes");
DEFINE_int32(seconds, 5, "time that is measured");

namespace {

using almondlink::relay::HelloFrame;
using almondlink::relay::StateFrame;
using Tcp = boost::asio::ip::tcp;

constexpr int kBasePort = 20'600;
constexpr int kPeerPort = kBasePort + 3;
constexpr int kFarPort = kBasePort + 90;
constexpr int kZones = 5;
/// Addresses of the loopback network that are used in each of its blocks.
constexpr int kPerBlock = 250;

std::string AddressOf(int peer) {
  return "127.0." + std::to_string(1 + peer / kPerBlock) + "." +
         std::to_string(1 + peer % kPerBlock);
}

std::string ZoneOf(int peer) {
  return "zone-" + std::to_string(peer % kZones);
}

std::string HelloOf(int peer) {
  HelloFrame hello;
  hello.self = {"host-" + std::to_string(peer),
                AddressOf(peer) + ":" + std::to_string(kFarPort), 1};
  hello.zone = ZoneOf(peer);
  hello.deployment = "bench";
  hello.protocol_version = almondlink::relay::kProtocolVersion;
  std::string bytes;
  Append(hello, bytes);
  return bytes;
}

std::string StateOf(int peer) {
  StateFrame state;
  state.service = "stock";
  state.zone = ZoneOf(peer);
  state.instance = "i-" + std::to_string(peer);
  state.state = almondlink::relay::InstanceState::kReady;
  state.slots = 72;
  state.is_load_summed = true;
  std::string bytes;
  Append(state, bytes);
  return bytes;
}

/// Number of the peer that has this address.
int PeerAt(const boost::asio::ip::address& address) {
  const auto bytes = address.to_v4().to_bytes();
  return (bytes[2] - 1) * kPerBlock + bytes[3] - 1;
}

/// A link that the node under test opened to a peer.
struct FarLink {
  explicit FarLink(Tcp::socket socket_in) : socket(std::move(socket_in)) {}
  Tcp::socket socket;
  int peer = 0;
  std::string input;
};

/// All other nodes. They answer pings, and the one that gets the node's load
/// sends it totals.
class FarNodes {
 public:
  explicit FarNodes(int count)
      : acceptor(this->loop,
                 {Tcp::v4(), static_cast<unsigned short>(kFarPort)}),
        totals_timer(this->loop) {
    this->acceptor.listen(count);
    this->Accept();
    this->SendTotals();
    this->thread = std::thread([this]() { this->loop.run(); });
  }
  ~FarNodes() {
    this->loop.stop();
    this->thread.join();
  }

  /// Dials the node under test as the peers below `count` do.
  void DialAll(int count) {
    for (int peer = 0; peer < count; ++peer) {
      const std::shared_ptr<Tcp::socket> socket =
          std::make_shared<Tcp::socket>(this->loop);
      socket->connect({boost::asio::ip::make_address("127.0.0.1"),
                       static_cast<unsigned short>(kPeerPort)});
      boost::asio::write(*socket, boost::asio::buffer(HelloOf(peer)));
      boost::asio::post(this->loop, [this, socket]() { this->Read(socket); });
    }
  }

 private:
  void Accept() {
    this->acceptor.async_accept(
        [this](boost::system::error_code error, Tcp::socket accepted) {
          if (error) {
            return;
          }
          const std::shared_ptr<FarLink> link =
              std::make_shared<FarLink>(std::move(accepted));
          link->peer = PeerAt(link->socket.local_endpoint().address());
          Send(*link, HelloOf(link->peer) + StateOf(link->peer));
          this->ReadFrames(link);
          this->Accept();
        });
  }

  static void Send(FarLink& link, const std::string& bytes) {
    boost::system::error_code ignored;
    boost::asio::write(link.socket, boost::asio::buffer(bytes), ignored);
  }

  void ReadFrames(const std::shared_ptr<FarLink>& link) {
    link->socket.async_read_some(
        boost::asio::buffer(this->buffer),
        [this, link](boost::system::error_code error, std::size_t size) {
          if (error) {
            return;
          }
          link->input.append(this->buffer.data(), size);
          this->TakeFrames(link);
          this->ReadFrames(link);
        });
  }

  void TakeFrames(const std::shared_ptr<FarLink>& link) {
    bool is_bad = false;
    while (const std::optional<almondlink::relay::RawFrame> frame =
               almondlink::relay::NextFrame(link->input, is_bad)) {
      if (frame->type == almondlink::relay::FrameType::kPing) {
        Send(*link, StateOf(link->peer));
      } else if (frame->type == almondlink::relay::FrameType::kLoadReport) {
        this->aggregated = link;
      }
      link->input.erase(0, frame->size);
    }
  }

  void SendTotals() {
    if (this->aggregated != nullptr) {
      std::string bytes;
      almondlink::relay::AppendSums(almondlink::relay::FrameType::kLoadTotals,
                                    almondlink::control::LoadSums(), bytes);
      Send(*this->aggregated, bytes);
    }
    this->totals_timer.expires_after(
        std::chrono::milliseconds(almondlink::control::kAggregation.count));
    this->totals_timer.async_wait([this](boost::system::error_code error) {
      if (!error) {
        this->SendTotals();
      }
    });
  }

  void Read(const std::shared_ptr<Tcp::socket>& socket) {
    socket->async_read_some(
        boost::asio::buffer(this->buffer),
        [this, socket](boost::system::error_code error, std::size_t) {
          if (!error) {
            this->Read(socket);
          }
        });
  }

  boost::asio::io_context loop;
  Tcp::acceptor acceptor;
  boost::asio::steady_timer totals_timer;
  std::shared_ptr<FarLink> aggregated;
  std::array<char, 4096> buffer{};
  std::thread thread;
};

std::string WriteSettings() {
  const std::string folder = std::string(ALMONDLINK_BUILD_DIR) + "/bench";
  std::filesystem::create_directories(folder);
  std::string path = folder + "/fleet-node.ini";
  const auto at = [](int offset) {
    return "127.0.0.1:" + std::to_string(kBasePort + offset);
  };
  std::ofstream out(path);
  out << "[node]\nid = host-x\ndeployment = bench\nzone = zone-0\n"
      << "caller_address = " << at(0) << "\npeer_address = " << at(3)
      << "\nadmin_address = " << at(1) << "\n[target]\nservice = stock\n"
      << "address = " << at(5) << "\n[log]\naddress = " << at(6)
      << "\n[relay]\nenabled = true\nreport_address = " << at(2)
      << "\nmetrics_address = " << at(4) << "\n";
  return path;
}

/// Processor time of a process so far, in seconds.
double SecondsOf(int pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/schedstat");
  double nanos = 0;
  file >> nanos;
  return nanos / 1e9;
}

double ResidentMb(int pid) {
  std::ifstream file("/proc/" + std::to_string(pid) + "/status");
  std::string word;
  double kilobytes = 0;
  while (file >> word) {
    if (word == "VmRSS:") {
      file >> kilobytes;
    }
  }
  return kilobytes / 1024;
}

void Measure(int peers) {
  FarNodes far(peers);
  almondlink::test::Process node(
      {std::string(ALMONDLINK_BUILD_DIR) + "/almondlinkd/almondlinkd",
       "--config", WriteSettings()},
      std::string(ALMONDLINK_BUILD_DIR) + "/bench/fleet-node.log");
  std::this_thread::sleep_for(std::chrono::seconds(1));
  const double alone_mb = ResidentMb(node.Id());
  far.DialAll(peers);
  std::this_thread::sleep_for(std::chrono::seconds(4));
  const double before = SecondsOf(node.Id());
  std::this_thread::sleep_for(std::chrono::seconds(FLAGS_seconds));
  const double used = SecondsOf(node.Id()) - before;
  std::printf("%6d %12.2f %12.1f %12.1f\n", peers, 100 * used / FLAGS_seconds,
              alone_mb, ResidentMb(node.Id()));
  std::fflush(stdout);
  node.Kill();
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  setrlimit(RLIMIT_NOFILE, &files);
  std::printf("%6s %12s %12s %12s\n", "peers", "% of a core", "MB alone",
              "MB with them");
  std::istringstream words(FLAGS_peers);
  int peers = 0;
  while (words >> peers) {
    Measure(peers);
  }
  return 0;
}
