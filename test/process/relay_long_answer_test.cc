#include <signal.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "test/support/process_memory.h"
#include "test/support/relay_cluster.h"

/// Guards against answers that a node passes on in parts and never ends: those
/// whose target fell silent had no time limit, those without end lasted as long
/// as their callers, and a node that stopped wrote the head of its own 504 into
/// them.
namespace almondlink::test {
namespace {

using standins::FakeInstance;
using standins::InstanceFault;
using Tcp = boost::asio::ip::tcp;

constexpr int kFront = 0;
constexpr int kBesideTarget = 1;
constexpr std::size_t kDownloads = 4;
/// Above the size up to which an answer is collected before it is passed on.
constexpr int kBodySize = 2 * 1024 * 1024;
/// A node at rest, two windows for each download, and room for the allocator.
constexpr std::size_t kMaxPeak = 40 * 1024 * 1024;
const std::string kVersion = "HTTP/1.1 ";

/// One request; what comes until the node closes the connection.
struct Download {
  Tcp::socket socket;
  std::string bytes;
  bool has_ended = false;

  Download(boost::asio::io_context& loop, int port, const std::string& id)
      : socket(loop) {
    this->socket.connect({boost::asio::ip::make_address("127.0.0.1"),
                          static_cast<std::uint16_t>(port)});
    const std::string head =
        "GET /get/1 HTTP/1.1\r\nHost: files.example\r\nRequest-Id: " + id +
        "\r\nDeadline-Ms: 60000\r\n\r\n";
    boost::asio::write(this->socket, boost::asio::buffer(head));
    this->socket.non_blocking(true);
  }

  /// Returns whether the connection has ended.
  bool Read() {
    std::vector<char> part(64 * 1024);
    boost::system::error_code error;
    while (!error) {
      const std::size_t size =
          this->socket.read_some(boost::asio::buffer(part), error);
      this->bytes.append(part.data(), size);
    }
    this->has_ended = error != boost::asio::error::would_block;
    return this->has_ended;
  }
};

struct Downloads {
  RelayCluster cluster;
  boost::asio::io_context loop;
  std::vector<Download> open;

  Downloads(int port,
            const std::string& name,
            int timeout_ms,
            InstanceFault fault = InstanceFault::kSilentMidway)
      : cluster(port, name) {
    this->cluster.Add(Spec("i-front", "front"));
    FakeInstance::Spec spec = Spec("i-files", "files");
    spec.body_size = kBodySize;
    this->cluster.Add(spec);
    this->cluster.Configure(
        1, {{"get", "files.example", "/get/", "files", "unsafe", timeout_ms}});
    this->cluster.WaitReady();
    this->cluster.Instance(kBesideTarget).SetFault(fault);
    for (std::size_t i = 0; i < kDownloads; ++i) {
      this->open.emplace_back(this->loop, this->cluster.CallerPort(kFront),
                              "get-" + std::to_string(i));
    }
  }

  /// Reads from every second connection until these have ended.
  bool HalfEnd() {
    return Soon([&]() {
      bool have_ended = true;
      for (std::size_t i = 0; i < this->open.size(); i += 2) {
        have_ended = this->open[i].Read() && have_ended;
        this->open[i].bytes.clear();
      }
      return have_ended;
    });
  }

  void WaitForHalves() {
    for (Download& download : this->open) {
      REQUIRE(Soon([&]() {
        download.Read();
        return download.bytes.size() >= kBodySize / 2;
      }));
    }
  }

  /// Each answer breaks off within itself.
  void RequireBrokenOff() {
    for (Download& download : this->open) {
      CHECK(Soon([&]() { return download.Read(); }));
      CHECK(download.bytes.rfind(kVersion + "200", 0) == 0);
      CHECK(download.bytes.find(kVersion, 1) == std::string::npos);
      CHECK(download.bytes.find("\r\n0\r\n\r\n") == std::string::npos);
    }
  }
};

TEST_CASE("a long answer that falls silent ends with its time limit") {
  Downloads downloads(19700, "silent-midway", 2000);
  downloads.WaitForHalves();
  downloads.RequireBrokenOff();
  RelayCluster& cluster = downloads.cluster;
  CHECK(Soon([&]() {
    return cluster.Metric(kBesideTarget, "almondlink_target_running") == 0;
  }));
  cluster.Instance(kBesideTarget).SetFault(InstanceFault::kNone);
  CHECK(cluster.Call(kFront, "files.example", "/get/1", "after").status == 200);
}

TEST_CASE("callers that leave a long answer leave no slot taken") {
  Downloads downloads(19720, "leave-midway", 2000);
  downloads.WaitForHalves();
  downloads.open.clear();
  CHECK(Soon([&]() {
    return downloads.cluster.Metric(kBesideTarget,
                                    "almondlink_target_running") == 0;
  }));
}

TEST_CASE("an answer without end is bounded in time and in memory") {
  int port = 19900;
  for (const InstanceFault fault :
       {InstanceFault::kEndlessChunks, InstanceFault::kEndlessLength,
        InstanceFault::kEndlessFailure}) {
    INFO("fault " << static_cast<int>(fault));
    Downloads downloads(port, "endless-" + std::to_string(port), 2000, fault);
    port += 20;
    RelayCluster& cluster = downloads.cluster;
    CHECK(downloads.HalfEnd());
    CHECK(Soon([&]() {
      return cluster.Metric(kBesideTarget, "almondlink_target_running") == 0;
    }));
    for (const int node : {kFront, kBesideTarget}) {
      const std::size_t peak = MemoryOf(cluster.Node(node)).peak;
      INFO("node " << node);
      CHECK(peak > 0);
      CHECK(peak < kMaxPeak);
    }
    cluster.Instance(kBesideTarget).SetFault(InstanceFault::kNone);
    CHECK(cluster.Call(kFront, "files.example", "/get/1", "after").status ==
          200);
  }
}

TEST_CASE("a node that stops adds nothing to a long answer") {
  Downloads downloads(19740, "stop-midway", 30'000);
  downloads.WaitForHalves();
  downloads.cluster.Node(kFront).Signal(SIGTERM);
  downloads.RequireBrokenOff();
  CHECK(downloads.cluster.Node(kFront).Wait() == 0);
}

}  // namespace
}  // namespace almondlink::test
