#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "test/support/relay_cluster.h"

/// Guards against entries of other writers, in the store and as reports, that
/// end the nodes that read them or keep them from following what comes later:
/// deep nesting, numbers out of range, ports out of range, arbitrary bytes.
namespace almondlink::test {
namespace {

constexpr unsigned kOk = 200;
constexpr const char* kNodesTopic = "keyed.almondlink-nodes";
constexpr const char* kLeavesTopic = "keyed.almondlink-leaves";
constexpr std::size_t kDepth = 100'000;
const RouteSpec kStock = {"stock", "stock.example", "/stock/", "stock"};
const RouteSpec kFresh = {"fresh", "stock.example", "/fresh/", "stock"};

std::vector<std::string> OddEntries() {
  const std::string huge(400, '9');
  return {
      std::string(kDepth, '['),
      std::string(kDepth, '[') + std::string(kDepth, ']'),
      R"({"address":)" + std::string(kDepth, '[') + std::string(kDepth, ']') +
          "}",
      R"({"address":"127.0.0.1:9","incarnation":)" + huge + "}",
      R"({"address":"127.0.0.1:9","incarnation":18446744073709551615})",
      R"({"address":"127.0.0.1:9","incarnation":1e400})",
      R"({"address":"127.0.0.1:9","incarnation":-1})",
      R"({"address":"127.0.0.1:65536","incarnation":5})",
      R"({"address":"127.0.0.1:99999999999999999999","incarnation":5})",
      R"({"address":"127.0.0.1:-1","incarnation":5})",
      R"({"node":"node-0","instance":"i-a","started_at":)" + huge + "}",
      "[]",
      "null",
      std::string("\x00\xff\xfe{\"", 5),
  };
}

bool AreAllReady(RelayCluster& cluster) {
  for (int node = 0; node < 2; ++node) {
    if (cluster.Ready(node).status != kOk) {
      return false;
    }
  }
  return true;
}

TEST_CASE("odd entries of other writers neither end nor stop a node") {
  RelayCluster cluster(32400, "odd-entries");
  cluster.Add(Spec("i-a", "stock"));
  cluster.Add(Spec("i-b", "stock"));
  cluster.Configure(1, {kStock});
  cluster.WaitReady();
  std::uint64_t version = 1;
  for (const std::string& odd : OddEntries()) {
    cluster.Store().Put(kNodesTopic, "odd-" + std::to_string(version), odd);
    cluster.Store().Put(kLeavesTopic, "odd-" + std::to_string(version), odd);
    cluster.Store().Put("keyed.op", "config", odd);
    cluster.Store().Put("keyed.op", "odd", odd);
    cluster.Instance(0).ReportBytes("heartbeat", odd);
    cluster.Instance(0).ReportBytes("leave", odd);
    REQUIRE(AreAllReady(cluster));
    ++version;
  }
  // A node that starts now reads them all, and the next policy is followed.
  cluster.Node(1).Kill();
  cluster.StartNode(1);
  cluster.Configure(version + 1, {kStock, kFresh});
  REQUIRE(Soon([&]() {
    return AreAllReady(cluster) &&
           cluster.Metric(0, "almondlink_policy_version") ==
               static_cast<double>(version + 1) &&
           cluster.Metric(1, "almondlink_policy_version") ==
               static_cast<double>(version + 1) &&
           cluster.Call(1, "stock.example", "/fresh/1", "f").status == kOk;
  }));
}

TEST_CASE("a record under a node's own name does not make it write for ever") {
  RelayCluster cluster(32430, "odd-own-record");
  cluster.Add(Spec("i-a", "stock"));
  cluster.Configure(1, {kStock});
  cluster.WaitReady();
  cluster.Store().Put(
      kNodesTopic, "node-0",
      R"({"address":"127.0.0.1:9","incarnation":18446744073709551615})");
  const std::size_t before = cluster.Store().CountOf(kNodesTopic, "node-0");
  cluster.Node(0).Kill();
  cluster.StartNode(0);
  REQUIRE(Soon([&]() { return cluster.Ready(0).status == kOk; }));
  // Its own record stands again after one write, or a second one if the first
  // was fenced.
  REQUIRE(Soon([&]() {
    return cluster.Store()
               .Newest(kNodesTopic, "node-0")
               .find("127.0.0.1:9\"") == std::string::npos;
  }));
  std::this_thread::sleep_for(std::chrono::seconds(3));
  REQUIRE(cluster.Store().CountOf(kNodesTopic, "node-0") <= before + 2);
}

}  // namespace
}  // namespace almondlink::test
