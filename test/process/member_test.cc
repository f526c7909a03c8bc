#include <signal.h>
#include <catch2/catch.hpp>
#include <mutex>

#include <atomic>
#include <chrono>
#include <thread>

#include "test/support/cluster.h"

/// Joining, leaving, failing and coming back, on real processes.
namespace almondlink::test {
namespace {

using standins::BlockingHttp;
using standins::PlainAnswer;
using standins::PlainRequest;

/// State of a member as a node sees it; -1 if it does not know it.
int StateAt(Cluster& cluster, const Instance& at, const std::string& member) {
  const nlohmann::json dump = cluster.Dump(at);
  if (dump.is_null()) {
    return -1;
  }
  for (const nlohmann::json& entry : dump["members"]) {
    if (entry["node"] == member) {
      return entry["state"].get<int>();
    }
  }
  return -1;
}

struct Group {
  Cluster cluster;
  std::vector<Instance*> shops;
  Instance* entry = nullptr;

  Group(int port, const std::string& name, int count) : cluster(port, name) {
    this->cluster.StartLog();
    for (int i = 0; i < count; ++i) {
      this->shops.push_back(
          &this->cluster.Add({"shop-" + std::to_string(i),
                              "zone-" + std::to_string(i % 3), "shop", 16, 5}));
    }
    this->entry = &this->cluster.Add({"stock-1", "zone-0", "stock"});
    this->cluster.Release(ShopBundle(1));
    this->cluster.WaitReady(static_cast<std::size_t>(count) + 1);
  }

  bool Sees(int state, const std::string& member) {
    return Eventually([&]() {
      return StateAt(this->cluster, *this->entry, member) == state;
    });
  }

  PlainAnswer Get() {
    return this->cluster.Call(*this->entry,
                              MakeRequest("GET", "shop", "/items/1", "1"));
  }
};

TEST_CASE("a crashed node fails and a restart comes back") {
  Group group(22800, "member-crash", 3);
  group.shops[0]->node->Kill();
  REQUIRE(group.Sees(2, "shop-0"));
  for (int i = 0; i < 20; ++i) {
    REQUIRE(group.Get().status == 200);
  }
  group.cluster.StartNode(*group.shops[0]);
  REQUIRE(group.Sees(0, "shop-0"));
}

TEST_CASE("a paused node is held failed and refutes it when it wakes") {
  Group group(22830, "member-pause", 3);
  group.shops[1]->node->Signal(SIGSTOP);
  REQUIRE(group.Sees(2, "shop-1"));
  group.shops[1]->node->Signal(SIGCONT);
  REQUIRE(group.Sees(0, "shop-1"));
  group.cluster.WaitReady(4);
}

TEST_CASE("a drained target gets no new work, although its node lives") {
  Group group(22860, "member-drain", 2);
  BlockingHttp admin(
      {"127.0.0.1", static_cast<std::uint16_t>(group.shops[0]->port + 2)});
  PlainRequest drain;
  drain.method = "POST";
  drain.target = "/drain";
  REQUIRE(admin.Send(drain).status == 200);
  const auto dispatched = [&]() {
    return group.cluster.Dump(*group.shops[0])["target"]["dispatched"]
        .get<int>();
  };
  const int before = dispatched();
  for (int i = 0; i < 40; ++i) {
    REQUIRE(group.Get().status == 200);
  }
  REQUIRE(dispatched() == before);
  drain.target = "/resume";
  REQUIRE(admin.Send(drain).status == 200);
  REQUIRE(Eventually([&]() {
    group.Get();
    return dispatched() > before;
  }));
}

TEST_CASE("a target tells its node of fewer slots") {
  Group group(22890, "member-announce", 1);
  BlockingHttp admin(
      {"127.0.0.1", static_cast<std::uint16_t>(group.shops[0]->port + 2)});
  PlainRequest announce;
  announce.method = "POST";
  announce.target = "/announce?slots=3";
  REQUIRE(admin.Send(announce).status == 200);
  REQUIRE(Eventually([&]() {
    const nlohmann::json dump = group.cluster.Dump(*group.entry);
    for (const nlohmann::json& entry : dump["members"]) {
      if (entry["node"] == "shop-0") {
        return entry["slots"] == 3;
      }
    }
    return false;
  }));
  REQUIRE(group.cluster.Dump(*group.shops[0])["target"]["limit"] == 3);
  announce.target = "/announce?slots=none";
  REQUIRE(admin.Send(announce).status == 400);
}

TEST_CASE("rolling stops of every node cut and lose no request") {
  Group group(22920, "member-rolling", 3);
  std::vector<Instance*> all = group.shops;
  all.push_back(group.entry);
  std::atomic<bool> is_done{false};
  std::atomic<int> answered{0};
  std::atomic<int> refused{0};
  std::atomic<int> cut{0};
  std::mutex mutex;
  std::string how_cut;
  std::vector<std::thread> callers;
  callers.reserve(6);
  for (int caller = 0; caller < 6; ++caller) {
    callers.emplace_back([&, caller]() {
      std::size_t at = static_cast<std::size_t>(caller);
      auto client = std::make_unique<BlockingHttp>(
          group.cluster.Connect(*all[at % all.size()]));
      int number = 0;
      while (!is_done) {
        const bool is_order = ++number % 5 == 0;
        PlainRequest request =
            is_order ? MakeRequest("POST", "shop", "/orders/1", "r")
                     : MakeRequest("GET", "shop", "/items/1", "r");
        if (is_order) {
          request.headers["Idempotency-Key"] = FreshKey();
        }
        const PlainAnswer answer = client->Send(request);
        if (answer.status == 200) {
          ++answered;
        } else if (answer.error.rfind("connect", 0) == 0) {
          // Not sent: the node is stopped. The caller goes to another.
          ++at;
          client = std::make_unique<BlockingHttp>(
              group.cluster.Connect(*all[at % all.size()]));
        } else if (answer.Header("almondlink-verdict") == "not-run") {
          ++refused;
        } else {
          ++cut;
          const std::lock_guard<std::mutex> lock(mutex);
          how_cut += request.method + " at " + all[at % all.size()]->spec.name +
                     ": " + std::to_string(answer.status) + " " + answer.error +
                     " " + answer.body + "; ";
        }
      }
    });
  }
  bool is_clean = true;
  for (Instance* instance : all) {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    instance->node->Signal(SIGTERM);
    is_clean = instance->node->Wait() == 0 && is_clean;
    group.cluster.StartNode(*instance);
    group.cluster.WaitReady(4);
  }
  is_done = true;
  for (std::thread& caller : callers) {
    caller.join();
  }
  REQUIRE(is_clean);
  REQUIRE(answered > 100);
  INFO(how_cut);
  REQUIRE(cut == 0);
  REQUIRE(refused == 0);
}

TEST_CASE("half of all nodes killed and started at once come together again") {
  Group group(22960, "member-half", 5);
  for (std::size_t i = 0; i < 3; ++i) {
    group.shops[i]->node->Kill();
  }
  for (std::size_t i = 0; i < 3; ++i) {
    group.cluster.StartNode(*group.shops[i]);
  }
  group.cluster.WaitReady(6);
  for (int i = 0; i < 20; ++i) {
    REQUIRE(Eventually([&]() { return group.Get().status == 200; }));
  }
}

}  // namespace
}  // namespace almondlink::test
