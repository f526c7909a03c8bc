#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "test/support/relay_cluster.h"

/// Nodes that say nothing for a while because nothing happens there.
namespace almondlink::test {
namespace {

const std::vector<RouteSpec> kRoutes = {
    {"stock", "stock.example", "/stock/", "stock"}};

TEST_CASE("a node that was idle is not suspect with its first call") {
  // Pattern: an idle node tells its state once a second, so its link may have
  // been silent for longer than a busy node's ever is when the first call goes
  // out. The call was moved at once: run twice, and a 502 while its instance
  // was at work where no other target was left.
  RelayCluster cluster(27150, "idle-link");
  cluster.Add(Spec("i-a", "stock"));
  cluster.Add(Spec("i-b", "stock"));
  cluster.Add(Spec("i-front", "front"), "zone-b");
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
  cluster.Instance(0).SetWork(400);
  cluster.Instance(1).SetWork(400);
  for (int i = 0; i < 6; ++i) {
    // All parts of the second between two states.
    std::this_thread::sleep_for(std::chrono::milliseconds(1000 + i * 150));
    const std::string id = "r" + std::to_string(i);
    REQUIRE(cluster.Call(2, "stock.example", "/stock/1", id).status == 200);
    INFO(id);
    REQUIRE(cluster.Instance(0).RunsOf(id) + cluster.Instance(1).RunsOf(id) ==
            1);
  }
  REQUIRE(cluster.Metrics(2).Sum("almondlink_repeats_total", {}) == 0);
}

}  // namespace
}  // namespace almondlink::test
