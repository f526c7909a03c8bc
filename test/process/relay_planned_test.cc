#include <signal.h>

#include <catch2/catch.hpp>
#include <thread>

#include "test/support/relay_cluster.h"

/// Planned work: targets that leave, nodes that stop and start again beside a
/// living target, settings that change.
namespace almondlink::test {
namespace {

using standins::FakeInstance;
using standins::PlainAnswer;

const std::vector<RouteSpec> kRoutes = {
    {"stock", "stock.example", "/stock/", "stock"},
    {"pay", "stock.example", "/pay/", "stock", "unsafe"}};

/// Callers at one node, each with requests one after the other.
class Traffic {
 public:
  Traffic(RelayCluster& cluster_in, int node_in, int callers)
      : cluster(cluster_in), node(node_in) {
    for (int i = 0; i < callers; ++i) {
      this->threads.emplace_back([this, i]() { this->Run(i); });
    }
  }
  ~Traffic() { this->Stop(); }
  void Stop() {
    this->is_stopped = true;
    for (std::thread& thread : this->threads) {
      thread.join();
    }
    this->threads.clear();
  }
  std::atomic<int> whole{0};
  std::atomic<int> refused{0};
  std::atomic<int> cut{0};
  std::atomic<int> other{0};

 private:
  void Run(int caller) {
    for (int i = 0; !this->is_stopped; ++i) {
      const bool is_pay = i % 3 == 0;
      const PlainAnswer answer = this->cluster.Call(
          this->node, "stock.example", is_pay ? "/pay/1" : "/stock/1",
          std::to_string(caller) + "-" + std::to_string(i),
          is_pay ? "POST" : "GET");
      ++(answer.status == 200   ? this->whole
         : answer.status == 503 ? this->refused
         : answer.status == 0   ? this->cut
                                : this->other);
    }
  }
  RelayCluster& cluster;
  int node;
  std::atomic<bool> is_stopped{false};
  std::vector<std::thread> threads;
};

TEST_CASE("a target that leaves gets nothing after its leave is acknowledged") {
  RelayCluster cluster(25100, "drain");
  cluster.Add(Spec("i-a", "stock"));
  cluster.Add(Spec("i-b", "stock"));
  cluster.Add(Spec("i-front", "front"));
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
  Traffic traffic(cluster, 2, 4);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  cluster.Instance(0).SetReports(false);
  REQUIRE(cluster.Instance(0).Report("draining", 1000) == 200);
  const auto acknowledged = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(std::chrono::milliseconds(2600));
  traffic.Stop();
  for (const standins::SeenRequest& seen : cluster.Instance(0).Seen()) {
    REQUIRE(seen.at < acknowledged + std::chrono::milliseconds(2000));
  }
  REQUIRE(traffic.whole > 100);
  REQUIRE(traffic.refused + traffic.cut + traffic.other == 0);
}

TEST_CASE("a restarted node does not forget that its target leaves") {
  RelayCluster cluster(25140, "drain-restart");
  cluster.Add(Spec("i-a", "stock"));
  cluster.Add(Spec("i-b", "stock"));
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
  cluster.Instance(0).SetReports(false);
  REQUIRE(cluster.Instance(0).Report("draining", 1000) == 200);
  // Killed the moment after the acknowledgement; a report from before that was
  // under way arrives at the new process.
  cluster.Node(0).Kill();
  cluster.StartNode(0);
  REQUIRE(Soon([&]() {
    return cluster.Ready(0).status == 200 &&
           cluster.Metric(1, "almondlink_peers") == 2.0;
  }));
  cluster.Instance(0).Report("ready", 999);
  const std::size_t before = cluster.Instance(0).Seen().size();
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  for (int i = 0; i < 20; ++i) {
    REQUIRE(
        cluster
            .Call(i % 2, "stock.example", "/stock/1", "x" + std::to_string(i))
            .status == 200);
  }
  REQUIRE(cluster.Instance(0).Seen().size() == before);
}

TEST_CASE("a target that only says that it left gets nothing more") {
  RelayCluster cluster(25170, "abrupt");
  cluster.Add(Spec("i-a", "stock"));
  cluster.Add(Spec("i-b", "stock"));
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
  cluster.Instance(0).SetReports(false);
  REQUIRE(cluster.Instance(0).Leave() == 200);
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  const std::size_t before = cluster.Instance(0).Seen().size();
  for (int i = 0; i < 20; ++i) {
    REQUIRE(cluster.Call(i % 2, "stock.example", "/stock/1", std::to_string(i))
                .status == 200);
  }
  REQUIRE(cluster.Instance(0).Seen().size() == before);
}

TEST_CASE("a planned stop cuts nothing, and the node comes back") {
  RelayCluster cluster(25200, "stop");
  cluster.Add(Spec("i-a", "stock"));
  cluster.Add(Spec("i-b", "stock"));
  cluster.Add(Spec("i-front", "front"));
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
  cluster.Instance(0).SetWork(30);
  cluster.Instance(1).SetWork(30);
  Traffic traffic(cluster, 2, 6);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  cluster.Node(0).Signal(SIGTERM);
  REQUIRE(Soon([&]() { return cluster.Ready(0).status == 503; }));
  REQUIRE(cluster.Node(0).Wait() == 0);
  cluster.StartNode(0);
  cluster.WaitReady();
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  traffic.Stop();
  REQUIRE(traffic.whole > 100);
  REQUIRE(traffic.refused + traffic.cut + traffic.other == 0);
}

TEST_CASE("callers at a node that stops are answered until they have left") {
  RelayCluster cluster(25240, "stop-callers");
  cluster.Add(Spec("i-a", "stock"));
  cluster.Add(Spec("i-b", "stock"));
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
  Traffic traffic(cluster, 0, 4);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  cluster.Node(0).Signal(SIGTERM);
  // Two checks, a second apart, take the callers away.
  std::this_thread::sleep_for(std::chrono::milliseconds(2100));
  traffic.Stop();
  REQUIRE(traffic.whole > 100);
  REQUIRE(traffic.refused + traffic.cut + traffic.other == 0);
  REQUIRE(cluster.Node(0).Wait() == 0);
}

TEST_CASE("settings are loaded again by signal and without, and cut nothing") {
  RelayCluster cluster(25270, "reload");
  cluster.Add(Spec("i-a", "stock"));
  cluster.Add(Spec("i-b", "stock"));
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
  Traffic traffic(cluster, 0, 4);
  const auto caller_of_last = [&]() {
    const auto seen = cluster.Instance(1).Seen();
    return seen.empty() ? std::string() : seen.back().caller_service;
  };
  cluster.WriteSettings(0, "renamed");
  cluster.Node(0).Signal(SIGHUP);
  REQUIRE(Soon([&]() { return caller_of_last() == "renamed"; }));
  cluster.WriteSettings(0, "stock");
  REQUIRE(Soon([&]() { return caller_of_last() == "stock"; }));
  traffic.Stop();
  REQUIRE(traffic.whole > 100);
  REQUIRE(traffic.refused + traffic.cut + traffic.other == 0);
}

TEST_CASE("routes that come and go under load cut nothing") {
  RelayCluster cluster(25300, "change");
  cluster.Add(Spec("i-a", "stock"));
  cluster.Add(Spec("i-b", "stock"));
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
  Traffic traffic(cluster, 0, 4);
  for (std::uint64_t version = 2; version < 40; ++version) {
    std::vector<RouteSpec> routes = kRoutes;
    routes.push_back({"r" + std::to_string(version), "stock.example",
                      "/r" + std::to_string(version) + "/", "stock"});
    cluster.Configure(version, routes);
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
  }
  REQUIRE(Soon([&]() {
    return cluster.Call(1, "stock.example", "/r39/1", "last").status == 200;
  }));
  traffic.Stop();
  REQUIRE(traffic.whole > 100);
  REQUIRE(traffic.refused + traffic.cut + traffic.other == 0);
}

TEST_CASE("what cannot be loaded is refused with its place, at start too") {
  RelayCluster cluster(25330, "bad");
  cluster.Add(Spec("i-a", "stock"));
  std::string output;
  const int code = RunCommand(
      {std::string(ALMONDLINK_BUILD_DIR) + "/almondlinkd/almondlinkd",
       "--config", "test/process/relay_planned_test.cc"},
      output);
  REQUIRE(code == 2);
  REQUIRE(output.find("relay_planned_test.cc") != std::string::npos);
}

}  // namespace
}  // namespace almondlink::test
