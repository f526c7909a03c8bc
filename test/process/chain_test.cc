#include <catch2/catch.hpp>

#include <chrono>
#include <thread>

#include "test/support/cluster.h"

/// Chains on real processes: grants over hops, cancellation, deadlines, and
/// shedding order at a target.
namespace almondlink::test {
namespace {

using standins::BlockingHttp;
using standins::PlainAnswer;
using standins::PlainRequest;

/// shop -> stock, with as many instances of stock as asked.
struct Chain {
  Cluster cluster;
  Instance* shop = nullptr;
  std::vector<Instance*> stocks;

  Chain(int port, const std::string& name, int stocks, int slots, int work_ms)
      : cluster(port, name) {
    this->cluster.StartLog();
    this->shop = &this->cluster.Add(
        {"shop-1", "zone-a", "shop", 64, 1, "/items>stock GET /stock/1"});
    for (int i = 0; i < stocks; ++i) {
      this->stocks.push_back(&this->cluster.Add(
          {"stock-" + std::to_string(i), "zone-a", "stock", slots, work_ms}));
    }
    this->cluster.Release(ShopBundle(1));
    this->cluster.WaitReady(static_cast<std::size_t>(stocks) + 1);
  }

  std::size_t RunsOfStock() {
    std::size_t runs = 0;
    for (const Instance* stock : this->stocks) {
      runs += this->cluster.Ledger(*stock).size();
    }
    return runs;
  }
};

TEST_CASE("retries deep in the chain come out of the root's grant") {
  Chain chain(23500, "chain-grant", 4, 16, 1);
  for (const Instance* stock : chain.stocks) {
    chain.cluster.SetTargetFault(*stock, "close-run");
  }
  const std::size_t before = chain.RunsOfStock();
  const PlainAnswer answer = chain.cluster.Call(
      *chain.shop, MakeRequest("GET", "shop", "/items/1", "g"));
  // The shop answers 502 for its failed call; of the grant of 3 one was lent.
  REQUIRE(answer.status == 502);
  REQUIRE(chain.RunsOfStock() - before == 2);
  REQUIRE(answer.Header("almondlink-retries") == "1");
}

TEST_CASE("a lower hop that heals is retried to a whole answer") {
  Chain chain(23530, "chain-heal", 2, 16, 1);
  chain.cluster.SetTargetFault(*chain.stocks[0], "close-run");
  int whole = 0;
  for (int i = 0; i < 20; ++i) {
    whole += chain.cluster
                         .Call(*chain.shop,
                               MakeRequest("GET", "shop", "/items/1", "h"))
                         .status == 200
                 ? 1
                 : 0;
  }
  REQUIRE(whole == 20);
}

TEST_CASE("a caller that leaves cancels the work down the chain") {
  Chain chain(23560, "chain-cancel", 1, 1, 400);
  {
    std::vector<BlockingHttp> leaving;
    for (int i = 0; i < 5; ++i) {
      leaving.emplace_back(
          config::Endpoint{"127.0.0.1",
                           static_cast<std::uint16_t>(chain.shop->port)},
          std::chrono::milliseconds(100));
      // The caller gives up after 100 ms and closes its connection.
      leaving.back().Send(MakeRequest("GET", "shop", "/items/1", "c"));
    }
  }
  REQUIRE(Eventually([&]() {
    const nlohmann::json dump = chain.cluster.Dump(*chain.stocks[0]);
    return dump["target"]["calls"] == 0 && dump["work_open"] == 0;
  }));
  REQUIRE(Eventually([&]() {
    const nlohmann::json dump = chain.cluster.Dump(*chain.shop);
    return dump["calls_open"] == 0 && dump["work_open"] == 0;
  }));
  // The one slot is free again: nothing that was cancelled still queues.
  PlainRequest request = MakeRequest("GET", "stock", "/stock/1", "after");
  request.headers["Almondlink-Timeout-Ms"] = "1900";
  REQUIRE(Eventually([&]() {
    return chain.cluster.Call(*chain.shop, request).status == 200;
  }));
}

TEST_CASE("a deadline that the target cannot meet is refused before work") {
  Chain chain(23590, "chain-deadline", 1, 4, 120);
  for (int i = 0; i < 12; ++i) {
    REQUIRE(chain.cluster
                .Call(*chain.shop, MakeRequest("GET", "stock", "/stock/1", "w"))
                .status == 200);
  }
  const std::size_t before = chain.RunsOfStock();
  PlainRequest hurried = MakeRequest("GET", "stock", "/stock/1", "hurried");
  hurried.headers["Almondlink-Timeout-Ms"] = "40";
  const PlainAnswer answer = chain.cluster.Call(*chain.shop, hurried);
  REQUIRE(answer.Header("almondlink-error") == "deadline-unmeetable");
  REQUIRE(answer.Header("almondlink-verdict") == "not-run");
  REQUIRE(chain.RunsOfStock() == before);
}

TEST_CASE(
    "an overrun target refuses pages, never orders, and is soon as before") {
  Cluster cluster(23620, "chain-shed");
  cluster.StartLog();
  cluster.Add({"shop-1", "zone-a", "shop", 4, 20});
  const Instance& entry = cluster.Add({"stock-1", "zone-a", "stock"});
  cluster.Release(ShopBundle(1));
  cluster.WaitReady(2);
  std::atomic<int> pages_whole{0};
  std::atomic<int> pages_refused{0};
  std::atomic<int> orders_whole{0};
  std::atomic<int> orders_failed{0};
  std::vector<std::thread> callers;
  callers.reserve(44);
  for (int i = 0; i < 44; ++i) {
    callers.emplace_back([&, i]() {
      BlockingHttp client = cluster.Connect(entry);
      const bool is_order = i < 2;
      for (int call = 0; call < (is_order ? 20 : 40); ++call) {
        PlainRequest request =
            is_order
                ? MakeRequest("POST", "shop", "/orders/1", "s")
                : MakeRequest("GET", "shop",
                              "/items/" + std::to_string(i * 100 + call), "s");
        if (is_order) {
          request.headers["Idempotency-Key"] = FreshKey();
        }
        const bool is_whole = client.Send(request).status == 200;
        ++(is_order ? (is_whole ? orders_whole : orders_failed)
                    : (is_whole ? pages_whole : pages_refused));
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  REQUIRE(pages_refused > 0);
  REQUIRE(pages_whole > 0);
  REQUIRE(orders_failed == 0);
  REQUIRE(orders_whole == 40);
  REQUIRE(Eventually([&]() {
    return cluster.Call(entry, MakeRequest("GET", "shop", "/items/1", "t"))
               .status == 200;
  }));
}

}  // namespace
}  // namespace almondlink::test
