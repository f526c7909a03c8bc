#include <poll.h>
#include <signal.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "almondlink/relay/peer_frames.h"
#include "test/support/relay_cluster.h"

/// Loads summed by groups (almondlink/control/load_sums.h), with a limit that a
/// small fleet exceeds. Pattern: in a fleet of a thousand nodes, each told its
/// load to every other one, a million messages a second.
namespace almondlink::test {
namespace {

constexpr int kNodes = 8;
constexpr int kNodesPerZone = 4;

const std::vector<RouteSpec> kRoutes = {
    {"stock", "stock.example", "/stock/", "stock"}};

/// Four nodes in each of two zones, which sum their loads.
void Start(RelayCluster& cluster) {
  cluster.SetDecisions("direct_nodes = 3\n");
  for (int i = 0; i < kNodes; ++i) {
    cluster.Add(Spec("i-" + std::to_string(i), "stock"),
                i < kNodesPerZone ? "zone-a" : "zone-b");
  }
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
}

/// Whether all nodes but `without` soon have totals over `count` nodes.
bool SoonSummed(RelayCluster& cluster,
                double count,
                std::optional<int> without = std::nullopt) {
  return Soon([&]() {
    for (int i = 0; i < kNodes; ++i) {
      if (i != without &&
          cluster.Metric(i, "almondlink_summed_nodes") != count) {
        return false;
      }
    }
    return true;
  });
}

/// A node of zone-a that aggregates, or one that does not.
int FindNode(RelayCluster& cluster, bool is_aggregator) {
  for (int i = 0; i < kNodesPerZone; ++i) {
    if ((cluster.Metric(i, "almondlink_load_members") > 0.0) == is_aggregator) {
      return i;
    }
  }
  throw std::runtime_error("no such node");
}

bool AreCallsAnswered(RelayCluster& cluster, int without) {
  for (int i = 0; i < kNodes; ++i) {
    const std::string id = "r" + std::to_string(i);
    if (i != without &&
        cluster.Call(i, "stock.example", "/stock/1", id).status != 200) {
      return false;
    }
  }
  return true;
}

TEST_CASE("every node has the sums over all") {
  RelayCluster cluster(20000, "sums");
  Start(cluster);
  REQUIRE(SoonSummed(cluster, kNodes));
  double members = 0;
  for (int i = 0; i < kNodes; ++i) {
    members += cluster.Metric(i, "almondlink_load_members").value_or(0);
  }
  REQUIRE(members == kNodes);
  REQUIRE(AreCallsAnswered(cluster, -1));
}

/// Number of load frames that a peer of that protocol version receives from
/// node 0 within 2.5 s.
int CountLoads(const RelayCluster& cluster, std::uint32_t protocol_version) {
  using Tcp = boost::asio::ip::tcp;
  boost::asio::io_context loop;
  Tcp::socket socket(loop);
  socket.connect({boost::asio::ip::make_address("127.0.0.1"),
                  static_cast<std::uint16_t>(cluster.PeerPort(0))});
  relay::HelloFrame hello;
  hello.self = {"old-" + std::to_string(protocol_version), "127.0.0.1:9", 1};
  hello.zone = "zone-a";
  hello.deployment = "test";
  hello.protocol_version = protocol_version;
  std::string bytes;
  Append(hello, bytes);
  boost::asio::write(socket, boost::asio::buffer(bytes));
  int loads = 0;
  std::string input;
  const auto end =
      std::chrono::steady_clock::now() + std::chrono::milliseconds(2500);
  while (std::chrono::steady_clock::now() < end) {
    pollfd entry{socket.native_handle(), POLLIN, 0};
    if (poll(&entry, 1, 50) != 1) {
      continue;
    }
    char buffer[4096];
    boost::system::error_code error;
    input.append(buffer, socket.read_some(boost::asio::buffer(buffer), error));
    bool is_bad = false;
    while (const std::optional<relay::RawFrame> frame =
               relay::NextFrame(input, is_bad)) {
      loads += frame->type == relay::FrameType::kLoad ? 1 : 0;
      input.erase(0, frame->size);
    }
    if (error) {
      break;
    }
  }
  return loads;
}

TEST_CASE("a node of the version before still receives the loads themselves") {
  RelayCluster cluster(20500, "sums-mixed");
  Start(cluster);
  REQUIRE(SoonSummed(cluster, kNodes));
  REQUIRE(CountLoads(cluster, relay::kVersionLoadSums - 1) >= 2);
  REQUIRE(CountLoads(cluster, relay::kVersionLoadSums) == 0);
}

TEST_CASE("versions in quick succession reach every node") {
  RelayCluster cluster(20400, "sums-versions");
  Start(cluster);
  REQUIRE(SoonSummed(cluster, kNodes));
  constexpr int kLastVersion = 8;
  for (int version = 2; version <= kLastVersion; ++version) {
    cluster.Configure(static_cast<std::uint64_t>(version), kRoutes);
  }
  REQUIRE(Soon([&]() {
    for (int i = 0; i < kNodes; ++i) {
      if (cluster.Metric(i, "almondlink_policy_version") != kLastVersion) {
        return false;
      }
    }
    return true;
  }));
}

TEST_CASE("two nodes of a large fleet share one link") {
  // Pattern: 2,000 nodes with a link each way to every other one need more
  // descriptors than they have.
  RelayCluster cluster(20700, "sums-links");
  cluster.SetDecisions("direct_nodes = 1\n");
  for (int i = 0; i < kNodes; ++i) {
    cluster.Add(Spec("i-" + std::to_string(i), "stock"),
                i < kNodesPerZone ? "zone-a" : "zone-b");
  }
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
  REQUIRE(SoonSummed(cluster, kNodes));
  const auto count_links = [&]() {
    double links = 0;
    for (int i = 0; i < kNodes; ++i) {
      links += cluster.Metric(i, "almondlink_peer_links").value_or(0);
    }
    return links;
  };
  constexpr double kPairs = kNodes * (kNodes - 1) / 2.0;
  REQUIRE(count_links() >= 2 * kPairs);
  // Nodes that dial each other at the same moment keep both links.
  REQUIRE(count_links() <= 1.5 * 2 * kPairs);
  REQUIRE(AreCallsAnswered(cluster, -1));
  for (const int restarted : {0, kNodes - 1}) {
    cluster.Node(restarted).Kill();
    REQUIRE(SoonSummed(cluster, kNodes - 1, restarted));
    REQUIRE(AreCallsAnswered(cluster, restarted));
    cluster.StartNode(restarted);
    cluster.WaitReady();
    REQUIRE(SoonSummed(cluster, kNodes));
    REQUIRE(AreCallsAnswered(cluster, -1));
  }
  REQUIRE(count_links() <= 1.5 * 2 * kPairs);
}

TEST_CASE("another node takes over from a killed aggregator") {
  RelayCluster cluster(20100, "sums-killed");
  Start(cluster);
  REQUIRE(SoonSummed(cluster, kNodes));
  const int aggregator = FindNode(cluster, true);
  cluster.Node(aggregator).Kill();
  REQUIRE(SoonSummed(cluster, kNodes - 1, aggregator));
  REQUIRE(AreCallsAnswered(cluster, aggregator));
  cluster.StartNode(aggregator);
  REQUIRE(SoonSummed(cluster, kNodes));
}

TEST_CASE("another node takes over from a frozen aggregator") {
  RelayCluster cluster(20200, "sums-frozen");
  Start(cluster);
  REQUIRE(SoonSummed(cluster, kNodes));
  const int aggregator = FindNode(cluster, true);
  cluster.Node(aggregator).Signal(SIGSTOP);
  REQUIRE(SoonSummed(cluster, kNodes - 1, aggregator));
  REQUIRE(AreCallsAnswered(cluster, aggregator));
  cluster.Node(aggregator).Signal(SIGCONT);
  REQUIRE(SoonSummed(cluster, kNodes));
}

TEST_CASE("a frozen node is noticed by nodes that send it nothing") {
  RelayCluster cluster(20300, "sums-member-frozen");
  Start(cluster);
  REQUIRE(SoonSummed(cluster, kNodes));
  const int member = FindNode(cluster, false);
  cluster.Node(member).Signal(SIGSTOP);
  const bool is_noticed = Soon([&]() {
    for (int i = 0; i < kNodes; ++i) {
      if (i != member &&
          cluster.Metric(i, "almondlink_peers") != kNodes - 1.0) {
        return false;
      }
    }
    return true;
  });
  cluster.Node(member).Signal(SIGCONT);
  REQUIRE(is_noticed);
  cluster.WaitReady();
}

}  // namespace
}  // namespace almondlink::test
