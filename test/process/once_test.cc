#include <signal.h>
#include <catch2/catch.hpp>

#include <atomic>
#include <chrono>
#include <map>
#include <sstream>
#include <thread>

#include "test/support/cluster.h"

/// At-most-once on real processes: no key is in the ledgers twice, and what
/// callers were told is true.
namespace almondlink::test {
namespace {

using standins::PlainAnswer;
using standins::PlainRequest;

/// Three targets of the service and a node to enter at.
struct Orders {
  Cluster cluster;
  std::vector<Instance*> shops;
  Instance* entry = nullptr;
  std::atomic<int> number{0};

  Orders(int port, const std::string& name) : cluster(port, name) {
    this->cluster.StartLog();
    for (const char* zone : {"a", "b", "c"}) {
      this->shops.push_back(&this->cluster.Add(
          {std::string("shop-") + zone, std::string("zone-") + zone, "shop"}));
    }
    this->entry = &this->cluster.Add({"stock-1", "zone-a", "stock"});
    this->cluster.Release(ShopBundle(1));
    this->cluster.WaitReady(4);
  }

  PlainRequest Make(const std::string& key) {
    PlainRequest request = MakeRequest("POST", "shop", "/orders/1",
                                       "n" + std::to_string(++this->number));
    request.headers["Idempotency-Key"] = key;
    return request;
  }

  PlainAnswer Order(const Instance& at, const std::string& key) {
    return this->cluster.Call(at, this->Make(key));
  }

  std::map<std::string, int> RunsByKey() {
    std::map<std::string, int> runs;
    for (const Instance* shop : this->shops) {
      for (const std::string& line : this->cluster.Ledger(*shop)) {
        ++runs[line.substr(0, line.find(' '))];
      }
    }
    return runs;
  }

  int RunsOf(const std::string& key) { return this->RunsByKey()[key]; }
};

TEST_CASE(
    "one key through several nodes at once runs once, all get its answer") {
  Orders orders(22100, "once-race");
  for (int round = 0; round < 5; ++round) {
    const std::string key = FreshKey();
    std::vector<std::thread> threads;
    std::vector<PlainAnswer> answers(8);
    for (std::size_t i = 0; i < answers.size(); ++i) {
      threads.emplace_back([&, i]() {
        const Instance& at = i % 4 == 3 ? *orders.entry : *orders.shops[i % 4];
        answers[i] = orders.Order(at, key);
      });
    }
    for (std::thread& thread : threads) {
      thread.join();
    }
    REQUIRE(orders.RunsOf(key) == 1);
    std::string body;
    for (const PlainAnswer& answer : answers) {
      REQUIRE(answer.Header("almondlink-verdict") == "answered");
      body = body.empty() ? answer.body : body;
      REQUIRE(answer.body == body);
    }
  }
}

TEST_CASE("a key sent again after its answer gets the same answer") {
  Orders orders(22150, "once-again");
  const std::string key = FreshKey();
  const PlainAnswer first = orders.Order(*orders.entry, key);
  REQUIRE(first.status == 200);
  for (const Instance* shop : orders.shops) {
    REQUIRE(orders.Order(*shop, key).body == first.body);
  }
  REQUIRE(orders.RunsOf(key) == 1);
}

TEST_CASE("a key whose first try timed out is never run again") {
  Orders orders(22200, "once-timeout");
  for (const Instance* shop : orders.shops) {
    orders.cluster.SetTargetFault(*shop, "late=1200");
  }
  const std::string key = FreshKey();
  PlainRequest request = orders.Make(key);
  request.headers["Almondlink-Timeout-Ms"] = "400";
  REQUIRE(orders.cluster.Call(*orders.entry, request)
              .Header("almondlink-verdict") == "outcome-unknown");
  for (const Instance* shop : orders.shops) {
    orders.cluster.SetTargetFault(*shop, "none");
  }
  for (const Instance* shop : orders.shops) {
    REQUIRE(orders.Order(*shop, key).Header("almondlink-verdict") ==
            "outcome-unknown");
  }
  REQUIRE(orders.RunsOf(key) == 1);
}

TEST_CASE("after the holder was killed its keys are never run again") {
  Orders orders(22250, "once-kill");
  for (const Instance* shop : orders.shops) {
    orders.cluster.SetTargetFault(*shop, "late=600");
  }
  std::vector<std::string> keys(12);
  std::vector<std::thread> threads;
  std::vector<PlainAnswer> answers(keys.size());
  for (std::size_t i = 0; i < answers.size(); ++i) {
    keys[i] = FreshKey();
    threads.emplace_back(
        [&, i]() { answers[i] = orders.Order(*orders.entry, keys[i]); });
  }
  std::this_thread::sleep_for(std::chrono::milliseconds(250));
  orders.shops[0]->node->Kill();
  for (std::thread& thread : threads) {
    thread.join();
  }
  for (const Instance* shop : orders.shops) {
    orders.cluster.SetTargetFault(*shop, "none");
  }
  orders.cluster.StartNode(*orders.shops[0]);
  for (std::size_t i = 0; i < keys.size(); ++i) {
    const std::string first = answers[i].Header("almondlink-verdict");
    const PlainAnswer again = orders.Order(*orders.shops[1], keys[i]);
    REQUIRE(orders.RunsOf(keys[i]) <= 1);
    if (first == "answered") {
      REQUIRE(orders.RunsOf(keys[i]) == 1);
    }
    if (again.Header("almondlink-verdict") == "answered") {
      REQUIRE(orders.RunsOf(keys[i]) == 1);
    }
  }
}

TEST_CASE("a holder paused across its claim does no harm when it wakes") {
  Orders orders(22300, "once-pause");
  orders.cluster.SetLogFault("slow", 150);
  std::vector<std::string> keys(9);
  std::vector<std::thread> threads;
  std::vector<PlainAnswer> answers(keys.size());
  for (std::size_t i = 0; i < answers.size(); ++i) {
    keys[i] = FreshKey();
    threads.emplace_back([&, i]() {
      PlainRequest request = orders.Make(keys[i]);
      request.headers["Almondlink-Timeout-Ms"] = "1500";
      answers[i] = orders.cluster.Call(*orders.entry, request);
    });
  }
  // Within the claim's append or read back.
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  orders.shops[0]->node->Signal(SIGSTOP);
  for (std::thread& thread : threads) {
    thread.join();
  }
  orders.cluster.SetLogFault("none");
  for (const std::string& key : keys) {
    orders.Order(*orders.shops[1], key);
  }
  orders.shops[0]->node->Signal(SIGCONT);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  for (std::size_t i = 0; i < keys.size(); ++i) {
    REQUIRE(orders.RunsOf(keys[i]) <= 1);
    if (answers[i].Header("almondlink-verdict") == "answered") {
      REQUIRE(orders.RunsOf(keys[i]) == 1);
    }
  }
}

TEST_CASE("claims whose append was not answered are read back") {
  Orders orders(22350, "once-lost");
  orders.cluster.SetLogFault("lose");
  for (int i = 0; i < 5; ++i) {
    const std::string key = FreshKey();
    REQUIRE(orders.Order(*orders.entry, key).status == 200);
    REQUIRE(orders.RunsOf(key) == 1);
  }
}

TEST_CASE("with the log down a caller's key is refused, a minted one works") {
  Orders orders(22400, "once-down");
  orders.cluster.SetLogFault("down");
  const std::string key = FreshKey();
  PlainRequest request = orders.Make(key);
  request.headers["Almondlink-Timeout-Ms"] = "600";
  const PlainAnswer refused = orders.cluster.Call(*orders.entry, request);
  REQUIRE(refused.Header("almondlink-verdict") == "not-run");
  REQUIRE(refused.Header("almondlink-error") == "log-unavailable");
  REQUIRE(orders.RunsOf(key) == 0);
  // While it stays down callers are refused without an append each.
  const auto appends = [&]() {
    int sum = 0;
    for (const Instance* shop : orders.shops) {
      sum += orders.cluster.Dump(*shop)["platform"]["claims"]["appends"]
                 .get<int>();
    }
    return sum;
  };
  const int before = appends();
  for (int i = 0; i < 60; ++i) {
    REQUIRE(
        orders.Order(*orders.entry, FreshKey()).Header("almondlink-error") ==
        "log-unavailable");
  }
  REQUIRE(appends() - before < 60);
  // A key minted by a node needs no log.
  PlainRequest mint = MakeRequest("POST", "shop", "/.almondlink/keys", "mint");
  const std::string minted = orders.cluster.Call(*orders.entry, mint).body;
  REQUIRE(minted.rfind("m1.shop-", 0) == 0);
  const PlainAnswer first = orders.Order(*orders.entry, minted);
  REQUIRE(first.status == 200);
  REQUIRE(orders.Order(*orders.shops[1], minted).body == first.body);
  REQUIRE(orders.RunsOf(minted) == 1);
  // A forged one is not run, and neither is one of a process that is gone.
  std::string forged = minted;
  forged.back() = forged.back() == '0' ? '1' : '0';
  REQUIRE(orders.Order(*orders.entry, forged).Header("almondlink-error") ==
          "duplicate");
  const std::string second = orders.cluster.Call(*orders.entry, mint).body;
  for (Instance* shop : orders.shops) {
    shop->node->Kill();
    orders.cluster.StartNode(*shop);
  }
  REQUIRE(Eventually([&]() {
    return orders.Order(*orders.entry, second).Header("almondlink-error") ==
           "duplicate";
  }));
  REQUIRE(orders.RunsOf(second) == 0);
  // The log comes back: the first key was never run and is free.
  orders.cluster.SetLogFault("none");
  REQUIRE(Eventually(
      [&]() { return orders.Order(*orders.entry, key).status == 200; }));
  REQUIRE(orders.RunsOf(key) == 1);
}

TEST_CASE("keys too old for the log's memory are refused") {
  Orders orders(22450, "once-old");
  const std::string old = "01800000-0000-7000-8000-000000000001";
  const PlainAnswer answer = orders.Order(*orders.entry, old);
  REQUIRE(answer.Header("almondlink-error") == "key-expired");
  REQUIRE(answer.Header("almondlink-verdict") == "not-run");
  PlainRequest repeat = orders.Make(old);
  repeat.headers["Almondlink-Repeat"] = "1";
  REQUIRE(
      orders.cluster.Call(*orders.entry, repeat).Header("almondlink-verdict") ==
      "outcome-unknown");
}

TEST_CASE("a node that missed dropped claims refuses the keys of that time") {
  Orders orders(22480, "once-gap");
  // One claim that all nodes read.
  REQUIRE(orders.Order(*orders.entry, FreshKey()).status == 200);
  Instance& paused = *orders.shops[0];
  REQUIRE(Eventually([&]() {
    return orders.cluster.Dump(paused)["platform"]["claims"]["known_keys"] == 1;
  }));
  paused.node->Signal(SIGSTOP);
  std::vector<std::string> keys;
  for (int i = 0; i < 6; ++i) {
    keys.push_back(FreshKey());
    orders.Order(*orders.shops[1], keys.back());
  }
  orders.cluster.TrimLog("claims.shop.shop", 100);
  // A claim behind the gap, so that there is something to read.
  REQUIRE(Eventually([&]() {
    return orders.Order(*orders.shops[1], FreshKey()).status == 200;
  }));
  paused.node->Signal(SIGCONT);
  orders.cluster.WaitReady(4);
  orders.shops[1]->node->Kill();
  orders.shops[2]->node->Kill();
  // Only the node with the gap is left: it does not know who ran these keys,
  // and says that it did not run the request.
  for (const std::string& key : keys) {
    const int before = orders.RunsOf(key);
    const PlainAnswer answer = orders.Order(*orders.entry, key);
    REQUIRE(answer.Header("almondlink-verdict") != "answered");
    REQUIRE(orders.RunsOf(key) == before);
  }
}

}  // namespace
}  // namespace almondlink::test
