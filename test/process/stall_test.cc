#include <signal.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <string>
#include <thread>
#include <vector>

#include "test/support/cluster.h"

/// Guards against a node that takes its own stall for a peer's silence: a host
/// that stands still past the deadline of a call, or past the time limit of a
/// link, and goes on. What was answered meanwhile, or is about to be, has to
/// reach its caller.
namespace almondlink::test {
namespace {

using standins::PlainAnswer;
using standins::PlainRequest;

constexpr auto kStall = std::chrono::milliseconds(1200);
/// Between two processes that go on one after the other, so that the first one
/// has handled its expired timers before the next one runs.
constexpr auto kBetween = std::chrono::milliseconds(100);

/// A caller's node and a target with its own node.
struct StalledShop {
  Cluster cluster;
  Instance* shop = nullptr;
  Instance* entry = nullptr;
  int number = 0;

  StalledShop(int port, const std::string& name) : cluster(port, name) {
    this->cluster.StartLog();
    this->shop = &this->cluster.Add({"shop-1", "zone-a", "shop"});
    this->entry = &this->cluster.Add({"stock-1", "zone-b", "stock"});
    this->cluster.Release(ShopBundle(1));
    this->cluster.WaitReady(2);
  }

  Process& EntryNode() const { return *this->entry->node; }
  Process& ShopNode() const { return *this->shop->node; }
  Process& ShopTarget() const { return *this->shop->target; }

  PlainRequest Next(const std::string& timeout_ms) {
    PlainRequest request = MakeRequest("GET", "shop", "/items/1",
                                       "n" + std::to_string(++this->number));
    request.headers["Almondlink-Timeout-Ms"] = timeout_ms;
    return request;
  }

  /// Makes a call, does `disturb` once the target has begun to run it, and
  /// returns the answer.
  PlainAnswer CallWith(const PlainRequest& request,
                       const std::function<void()>& disturb) {
    const std::string mark = " " + request.headers.at("X-Request-Number") + " ";
    std::future<PlainAnswer> answer = std::async(std::launch::async, [&]() {
      return this->cluster.Call(*this->entry, request);
    });
    const bool is_run = Eventually([&]() {
      for (const std::string& line : this->cluster.Ledger(*this->shop)) {
        if (line.find(mark) != std::string::npos) {
          return true;
        }
      }
      return false;
    });
    REQUIRE(is_run);
    disturb();
    return answer.get();
  }
};

/// Stops all processes for kStall; they go on in the order given.
void Stall(const std::vector<Process*>& processes) {
  for (const Process* process : processes) {
    process->Signal(SIGSTOP);
  }
  std::this_thread::sleep_for(kStall);
  for (const Process* process : processes) {
    process->Signal(SIGCONT);
    std::this_thread::sleep_for(kBetween);
  }
}

void RequireOwnAnswer(const PlainRequest& request, const PlainAnswer& answer) {
  INFO("status " << answer.status << ", verdict "
                 << answer.Header("almondlink-verdict") << ", error "
                 << answer.Header("almondlink-error"));
  REQUIRE(answer.Header("almondlink-verdict") == "answered");
  REQUIRE(answer.body.find(" " + request.headers.at("X-Request-Number") +
                           "\n") != std::string::npos);
}

TEST_CASE("an answer that came while both nodes stood still is delivered") {
  StalledShop shop(31500, "stall-nodes");
  shop.cluster.SetTargetFault(*shop.shop, "slow=200");
  for (int round = 0; round < 5; ++round) {
    INFO("round " << round);
    const PlainRequest request = shop.Next("700");
    const PlainAnswer answer = shop.CallWith(request, [&]() {
      Stall({&shop.EntryNode(), &shop.ShopNode()});
    });
    RequireOwnAnswer(request, answer);
  }
}

TEST_CASE("a target that stood still with its nodes has its time to answer") {
  StalledShop shop(31520, "stall-all");
  shop.cluster.SetTargetFault(*shop.shop, "slow=200");
  for (int round = 0; round < 5; ++round) {
    INFO("round " << round);
    const PlainRequest request = shop.Next("700");
    const PlainAnswer answer = shop.CallWith(request, [&]() {
      Stall({&shop.EntryNode(), &shop.ShopNode(), &shop.ShopTarget()});
    });
    RequireOwnAnswer(request, answer);
  }
}

TEST_CASE("a link is not called silent for the time its own node stood still") {
  StalledShop shop(31540, "stall-link");
  shop.cluster.SetTargetFault(*shop.shop, "slow=200");
  for (int round = 0; round < 3; ++round) {
    INFO("round " << round);
    const PlainRequest request = shop.Next("2000");
    const PlainAnswer answer = shop.CallWith(request, [&]() {
      // The entry node asks the other one whether it lives, and then stands
      // still for longer than the question may stay open.
      shop.ShopNode().Signal(SIGSTOP);
      std::this_thread::sleep_for(std::chrono::milliseconds(400));
      Stall({&shop.EntryNode(), &shop.ShopNode()});
    });
    RequireOwnAnswer(request, answer);
  }
}

TEST_CASE("a target that never answers is told after a stall, too") {
  StalledShop shop(31560, "stall-silent");
  shop.cluster.SetTargetFault(*shop.shop, "silent");
  const PlainAnswer answer = shop.CallWith(shop.Next("700"), [&]() {
    Stall({&shop.EntryNode(), &shop.ShopNode()});
  });
  REQUIRE(answer.status == 504);
  REQUIRE(answer.Header("almondlink-verdict") == "outcome-unknown");
  REQUIRE(answer.Header("almondlink-error") == "target-timeout");
}

}  // namespace
}  // namespace almondlink::test
