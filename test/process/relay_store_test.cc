#include <catch2/catch.hpp>
#include <thread>

#include "test/support/relay_cluster.h"

/// The platform's store away, refusing, losing answers and forgetting; the
/// policy in force, and nodes that find each other.
namespace almondlink::test {
namespace {

using standins::FakeInstance;
using standins::StoreFault;

const RouteSpec kStock = {"stock", "stock.example", "/stock/", "stock"};
const RouteSpec kFresh = {"fresh", "stock.example", "/fresh/", "stock"};

unsigned FreshStatus(RelayCluster& cluster, int node) {
  return cluster.Call(node, "stock.example", "/fresh/1", "f").status;
}

TEST_CASE("a node that the store refuses has the policy from the others") {
  for (const StoreFault fault :
       {StoreFault::kBusy, StoreFault::kSilent, StoreFault::kReset}) {
    const int port = 24700 + 30 * static_cast<int>(fault);
    RelayCluster cluster(port, "refused-" + std::to_string(port));
    cluster.Add(Spec("i-a", "stock"));
    cluster.Add(Spec("i-b", "stock"));
    cluster.Configure(1, {kStock});
    cluster.WaitReady();
    cluster.Store().SetFault(cluster.Door(1), fault);
    // The long poll that is open is answered once more; the next is refused.
    cluster.Configure(2, {kStock});
    REQUIRE(Soon([&]() {
      return cluster.Metric(0, "almondlink_policy_version") == 2.0 &&
             cluster.Metric(1, "almondlink_policy_version") == 2.0;
    }));
    cluster.Configure(5, {kStock, kFresh});
    REQUIRE(Soon([&]() { return FreshStatus(cluster, 1) == 200; }));
  }
}

TEST_CASE("a lost answer to a write is made good") {
  RelayCluster cluster(24850, "lost-write");
  cluster.Store().SetFaults(StoreFault::kNone);
  cluster.Add(Spec("i-a", "stock"));
  cluster.Store().SetFault(0, StoreFault::kLoseAnswers);
  cluster.Add(Spec("i-b", "stock"));
  cluster.Store().SetFault(1, StoreFault::kLoseAnswers);
  cluster.Configure(1, {kStock});
  // The record is there though its writer does not know.
  REQUIRE(Soon([&]() {
    return !cluster.Store().Newest("keyed.almondlink-nodes", "node-1").empty();
  }));
  cluster.Store().SetFaults(StoreFault::kNone);
  cluster.WaitReady();
  REQUIRE(cluster.Call(0, "stock.example", "/stock/1", "x").status == 200);
}

TEST_CASE("a write whose answer was lost is done once") {
  RelayCluster cluster(25030, "lost-once");
  cluster.Add(Spec("i-a", "stock"));
  cluster.Store().SetFault(0, StoreFault::kLoseAnswers);
  cluster.Configure(1, {kStock});
  // The first try is done and not answered; later ones repeat it.
  REQUIRE(Soon([&]() { return cluster.Store().Calls("/log-append") >= 2; }));
  cluster.Store().SetFaults(StoreFault::kNone);
  cluster.WaitReady();
  REQUIRE(cluster.Store().CountOf("keyed.almondlink-nodes", "node-0") == 1);
}

TEST_CASE("a node whose clock went back takes its place in the store again") {
  // Its last start wrote with a later time, so this one is fenced at first.
  RelayCluster cluster(25060, "fenced");
  cluster.Store().PutFenced(
      "keyed.almondlink-nodes", "node-0", 4'000'000'000'000, "node-0",
      R"({"address":"127.0.0.1:9","incarnation":4000000000000})");
  cluster.Add(Spec("i-a", "stock"));
  cluster.Add(Spec("i-b", "stock"));
  cluster.Configure(1, {kStock});
  REQUIRE(Soon([&]() {
    return cluster.Store()
               .Newest("keyed.almondlink-nodes", "node-0")
               .find("4000000000001") != std::string::npos;
  }));
  cluster.WaitReady();
  REQUIRE(cluster.Call(1, "stock.example", "/stock/1", "x").status == 200);
}

TEST_CASE("a store that forgets its history tells the newest all the same") {
  RelayCluster cluster(24880, "compacted");
  cluster.Add(Spec("i-a", "stock"));
  cluster.Configure(1, {kStock});
  cluster.WaitReady();
  cluster.Store().SetFaults(StoreFault::kBusy);
  cluster.Configure(2, {kStock, kFresh});
  cluster.Store().Compact("keyed.op");
  cluster.Store().SetFaults(StoreFault::kNone);
  REQUIRE(Soon([&]() { return FreshStatus(cluster, 0) == 200; }));
}

TEST_CASE("an older policy after a newer one changes nothing") {
  RelayCluster cluster(24910, "older");
  cluster.Add(Spec("i-a", "stock"));
  cluster.Configure(7, {kStock, kFresh});
  cluster.WaitReady();
  cluster.Configure(6, {kStock});
  cluster.Store().Put("keyed.op", "config", "no configuration");
  cluster.Configure(9, {kStock, kFresh});
  REQUIRE(Soon(
      [&]() { return cluster.Metric(0, "almondlink_policy_version") == 9.0; }));
  REQUIRE(FreshStatus(cluster, 0) == 200);
}

TEST_CASE("a node that starts while the store is away is told by its peers") {
  RelayCluster cluster(24940, "start-away");
  cluster.Add(Spec("i-a", "stock"));
  cluster.Add(Spec("i-b", "stock"));
  cluster.Configure(4, {kStock});
  cluster.WaitReady();
  cluster.Node(1).Kill();
  cluster.Store().SetFaults(StoreFault::kBusy);
  cluster.StartNode(1);
  // The others still dial its address.
  cluster.WaitReady();
  REQUIRE(cluster.Call(1, "stock.example", "/stock/1", "x").status == 200);
}

TEST_CASE("polls that are never answered delay a new policy by seconds only") {
  // Found by soak seed 1209: polls made while the store was silent stayed open
  // for 18 s after it was back, on all nodes at once.
  RelayCluster cluster(25000, "hung-polls");
  cluster.Add(Spec("i-a", "stock"));
  cluster.Add(Spec("i-b", "stock"));
  cluster.Configure(1, {kStock});
  cluster.WaitReady();
  cluster.Store().SetFaults(StoreFault::kSilent);
  // Answers the polls that are open; the next ones hang.
  cluster.Configure(2, {kStock});
  REQUIRE(Soon(
      [&]() { return cluster.Metric(1, "almondlink_policy_version") == 2.0; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  cluster.Store().SetFaults(StoreFault::kNone);
  const auto whole = std::chrono::steady_clock::now();
  cluster.Configure(3, {kStock, kFresh});
  REQUIRE(Soon([&]() { return FreshStatus(cluster, 1) == 200; }));
  REQUIRE(std::chrono::steady_clock::now() - whole <
          std::chrono::milliseconds(5000));
}

TEST_CASE("nodes that start together cost the store two calls each at most") {
  // Pattern: a fleet that starts for the first time. Each node read the whole
  // list, and most took themselves for followers before they knew the others.
  constexpr int kStarting = 16;
  RelayCluster cluster(21200, "start-together");
  cluster.SetRelay("first_start = true\n");
  for (int i = 0; i < kStarting; ++i) {
    cluster.Add(Spec("i-" + std::to_string(i), "stock"),
                i % 2 == 0 ? "zone-a" : "zone-b");
  }
  cluster.Configure(1, {kStock});
  cluster.WaitReady();
  const std::uint64_t calls = cluster.Store().Calls("/log-append") +
                              cluster.Store().Calls("/log-newest") +
                              cluster.Store().Calls("/log-read");
  REQUIRE(cluster.Store().Calls("/log-append") == kStarting);
  REQUIRE(calls <= 2 * kStarting);
}

TEST_CASE("nodes that restart together find each other and the policy") {
  RelayCluster cluster(21400, "restart-together");
  constexpr int kRestarting = 8;
  for (int i = 0; i < kRestarting; ++i) {
    cluster.Add(Spec("i-" + std::to_string(i), "stock"),
                i % 2 == 0 ? "zone-a" : "zone-b");
  }
  cluster.Configure(1, {kStock});
  cluster.WaitReady();
  for (int i = 0; i < kRestarting; ++i) {
    cluster.Node(i).Kill();
  }
  const std::uint64_t before = cluster.Store().Calls("/log-newest");
  for (int i = 0; i < kRestarting; ++i) {
    cluster.StartNode(i);
  }
  cluster.WaitReady();
  REQUIRE(cluster.Call(0, "stock.example", "/stock/1", "x").status == 200);
  REQUIRE(cluster.Store().Calls("/log-newest") - before <= 2 * kRestarting);
}

TEST_CASE("the store is asked rarely while nothing changes") {
  RelayCluster cluster(24970, "calm");
  cluster.Add(Spec("i-a", "stock"));
  cluster.Configure(1, {kStock});
  cluster.WaitReady();
  const auto calls = [&]() {
    return cluster.Store().Calls("/log-read") +
           cluster.Store().Calls("/log-newest") +
           cluster.Store().Calls("/log-append");
  };
  const std::uint64_t before = calls();
  std::this_thread::sleep_for(std::chrono::seconds(3));
  // A lookout's poll and the next.
  REQUIRE(calls() - before <= 2);
}

}  // namespace
}  // namespace almondlink::test
