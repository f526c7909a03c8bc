#include <catch2/catch.hpp>
#include <thread>

#include "test/support/relay_cluster.h"

/// The whole path of a relay on real processes: caller, node, node beside the
/// target, target, and back.
namespace almondlink::test {
namespace {

using standins::FakeInstance;
using standins::InstanceFault;
using standins::PlainAnswer;
using standins::SeenRequest;

const std::vector<RouteSpec> kRoutes = {
    {"shop", "shop.example", "/shop/", "shop"},
    {"order", "shop.example", "/order/", "shop", "unsafe", 5000, 1000, 0},
    {"stock", "stock.example", "/stock/", "stock"},
    {"short", "stock.example", "/short/", "stock", "safe", 300}};

TEST_CASE(
    "a request reaches a target elsewhere, with what the target expects") {
  RelayCluster cluster(24000, "path");
  cluster.Add(Spec("i-shop", "shop"));
  cluster.Add(Spec("i-stock", "stock"), "zone-b");
  // Without a policy nothing may be said but that it has not run.
  REQUIRE(Soon([&]() { return cluster.Ready(0).status == 503; }));
  REQUIRE(cluster.Call(0, "stock.example", "/stock/1", "early").status == 503);
  cluster.Configure(3, kRoutes);
  cluster.WaitReady();

  const PlainAnswer answer =
      cluster.Call(0, "stock.example", "/stock/1?x=y", "r1", "POST", "body");
  REQUIRE(answer.status == 200);
  REQUIRE(answer.Header("response-seal") == "i-stock");
  REQUIRE(answer.Header("request-id") == "r1");
  REQUIRE(answer.body == std::string(20, 'b'));
  const SeenRequest seen = cluster.Instance(1).Seen().at(0);
  REQUIRE(seen.method == "POST");
  REQUIRE(seen.target == "/stock/1?x=y");
  REQUIRE(seen.body == "body");
  REQUIRE(seen.caller_service == "shop");
  REQUIRE(seen.left_ms <= 5000);
  REQUIRE(seen.left_ms > 4000);

  REQUIRE(cluster.Call(0, "stock.example", "/none/1", "r2").status == 404);
  REQUIRE(cluster.Call(0, "none.example", "/stock/1", "r3").status == 404);
}

TEST_CASE("calls of a run go on through its own node") {
  RelayCluster cluster(24030, "nested");
  FakeInstance::Spec shop = Spec("i-shop", "shop");
  shop.calls = {{"stock.example", "/stock/a"}, {"stock.example", "/stock/b"}};
  cluster.Add(shop);
  cluster.Add(Spec("i-stock", "stock"));
  cluster.Add(Spec("i-front", "front"));
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
  REQUIRE(cluster.Call(2, "shop.example", "/shop/1", "root").status == 200);
  const std::vector<SeenRequest> calls = cluster.Instance(1).Seen();
  REQUIRE(calls.size() == 2);
  REQUIRE(calls[0].id == "root.1");
  REQUIRE(calls[1].caller_service == "shop");
  REQUIRE(calls[1].left_ms <= calls[0].left_ms);
}

TEST_CASE("an answer comes back whole however the target frames it") {
  RelayCluster cluster(24070, "frames");
  FakeInstance::Spec big = Spec("i-stock", "stock");
  // Above what is held before it is passed on: it goes in parts.
  big.body_size = 3'000'000;
  cluster.Add(big);
  cluster.Add(Spec("i-shop", "shop"));
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
  for (int node = 0; node < 2; ++node) {
    const std::string tag = std::to_string(node);
    const PlainAnswer whole =
        cluster.Call(node, "stock.example", "/stock/1", "big" + tag);
    REQUIRE(whole.status == 200);
    REQUIRE(whole.body.size() == 3'000'000);
  }
  cluster.Instance(1).SetFault(InstanceFault::kUnframed);
  const PlainAnswer unframed =
      cluster.Call(0, "shop.example", "/shop/1", "unframed");
  REQUIRE(unframed.status == 200);
  REQUIRE(unframed.body == std::string(20, 'b'));
  // A long answer that ends before its length must not look complete.
  cluster.Instance(0).SetFault(InstanceFault::kCutBody);
  REQUIRE(cluster.Call(1, "stock.example", "/stock/2", "cut").status == 0);
}

TEST_CASE("a route's timeout ends a request with a final answer") {
  RelayCluster cluster(24100, "timeout");
  cluster.Add(Spec("i-stock", "stock"));
  cluster.Add(Spec("i-shop", "shop"));
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
  cluster.Instance(0).SetWork(3000);
  const auto before = std::chrono::steady_clock::now();
  const PlainAnswer answer =
      cluster.Call(1, "stock.example", "/short/1", "slow");
  const auto took = std::chrono::steady_clock::now() - before;
  REQUIRE(answer.status == 504);
  REQUIRE(took < std::chrono::milliseconds(1500));
}

TEST_CASE("a caller that leaves is followed down the chain") {
  RelayCluster cluster(24130, "leave");
  FakeInstance::Spec shop = Spec("i-shop", "shop");
  shop.calls = {{"stock.example", "/stock/a"}};
  cluster.Add(shop);
  FakeInstance::Spec stock = Spec("i-stock", "stock");
  stock.work_ms = 4000;
  cluster.Add(stock);
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
  {
    standins::BlockingHttp leaving(
        {"127.0.0.1", static_cast<std::uint16_t>(cluster.CallerPort(0))},
        std::chrono::milliseconds(200));
    standins::PlainRequest request;
    request.target = "/stock/1";
    request.headers["Host"] = "stock.example";
    request.headers["Request-Id"] = "gone";
    request.headers["Deadline-Ms"] = "5000";
    leaving.Send(request);
  }
  REQUIRE(Soon([&]() {
    const std::vector<SeenRequest> seen = cluster.Instance(1).Seen();
    return seen.size() == 1 && seen[0].was_dropped;
  }));
  REQUIRE(Soon(
      [&]() { return cluster.Metric(1, "almondlink_target_running") == 0.0; }));
}

TEST_CASE("a target never runs more than it has slots for") {
  RelayCluster cluster(24160, "slots");
  FakeInstance::Spec stock = Spec("i-stock", "stock");
  stock.capacity = 4;
  stock.work_ms = 20;
  cluster.Add(stock);
  cluster.Add(Spec("i-shop", "shop"));
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
  std::atomic<int> answered{0};
  std::atomic<int> refused{0};
  std::vector<std::thread> callers;
  callers.reserve(24);
  for (int i = 0; i < 24; ++i) {
    callers.emplace_back([&, i]() {
      for (int call = 0; call < 10; ++call) {
        const PlainAnswer answer =
            cluster.Call(i % 2, "stock.example", "/stock/1",
                         std::to_string(i) + "-" + std::to_string(call));
        answered += answer.status == 200 ? 1 : 0;
        refused += answer.status == 503 ? 1 : 0;
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  REQUIRE(answered + refused == 240);
  REQUIRE(answered > 0);
  REQUIRE(cluster.Instance(0).MostAtOnce() <= 4);
  REQUIRE(cluster.Instance(0).Seen().size() ==
          static_cast<std::size_t>(answered));
}

TEST_CASE("a split route is shared by its weights") {
  RelayCluster cluster(24190, "split");
  cluster.Add(Spec("i-old", "old"));
  cluster.Add(Spec("i-new", "new"));
  RouteSpec route{"mixed", "mixed.example", "/m/", ""};
  route.split = {{"old", 9}, {"new", 1}};
  cluster.Configure(1, {route});
  cluster.WaitReady();
  for (int i = 0; i < 200; ++i) {
    REQUIRE(cluster.Call(i % 2, "mixed.example", "/m/1", std::to_string(i))
                .status == 200);
  }
  const std::size_t fresh = cluster.Instance(1).Seen().size();
  REQUIRE(fresh >= 17);
  REQUIRE(fresh <= 23);
}

}  // namespace
}  // namespace almondlink::test
