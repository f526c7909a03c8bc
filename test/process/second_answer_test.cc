#include <atomic>
#include <catch2/catch.hpp>
#include <thread>
#include <vector>

#include "test/support/cluster.h"

/// A target that answers a request twice, the second time after its connection
/// was taken for the next request. Seen: a caller got the data of another one.
/// Cause: HTTP/1.1 has nothing that tells whose answer the next bytes on a kept
/// connection are. Proof: the pause between the two answers decides by itself;
/// without one the connection is closed before it is used again.
namespace almondlink::test {
namespace {

using standins::PlainAnswer;
using standins::PlainRequest;

constexpr int kPauses[] = {0, 1, 5, 30, 300};
constexpr int kRounds = 6;

/// One target and one node, which is entry and target's node at once.
struct Shop {
  Cluster cluster;
  Instance* shop = nullptr;
  std::atomic<int> number{0};

  explicit Shop(int port, const std::string& name) : cluster(port, name) {
    this->cluster.StartLog();
    this->shop = &this->cluster.Add({"shop-1", "zone-a", "shop"});
    this->cluster.Release(ShopBundle(1));
    this->cluster.WaitReady(1);
  }

  PlainRequest Next() {
    const std::string text = "n" + std::to_string(++this->number);
    PlainRequest request = MakeRequest("GET", "shop", "/items/1", text);
    request.headers["Almondlink-Timeout-Ms"] = "1500";
    return request;
  }
};

/// Whether the answer is the target's to this request.
bool IsOwn(const PlainRequest& request, const PlainAnswer& answer) {
  const std::string& number = request.headers.at("X-Request-Number");
  return answer.body.find(" " + number + "\n") != std::string::npos;
}

/// Each request that the target answers twice is followed at once by one that
/// it answers once: both get their own answer.
void CheckPairs(Shop& shop, const std::string& suffix) {
  for (const int pause : kPauses) {
    for (int round = 0; round < kRounds; ++round) {
      for (const bool is_doubled : {true, false}) {
        const std::string fault =
            is_doubled ? "extra=" + std::to_string(pause) : "none";
        shop.cluster.SetTargetFault(*shop.shop, fault + suffix);
        const PlainRequest request = shop.Next();
        const PlainAnswer answer = shop.cluster.Call(*shop.shop, request);
        INFO("pause " << pause << " ms, round " << round << ", doubled "
                      << is_doubled << ": " << answer.body);
        REQUIRE(answer.Header("almondlink-verdict") == "answered");
        REQUIRE(IsOwn(request, answer));
      }
    }
  }
}

TEST_CASE("a second answer that comes late reaches nobody else") {
  Shop shop(23800, "second-answer");
  CheckPairs(shop, "");
}

TEST_CASE("a target that returns no ids gets a connection for each request") {
  Shop shop(23860, "second-answer-no-id");
  CheckPairs(shop, ",no-id");
  const nlohmann::json target = shop.cluster.Dump(*shop.shop)["target"];
  REQUIRE(target["without_id"] == target["connects"]);
  REQUIRE(target["reuses"] == 0);
}

TEST_CASE("many callers of a target that answers all twice get their own") {
  Shop shop(23830, "second-answer-many");
  constexpr int kCallers = 8;
  constexpr int kCalls = 60;
  for (const int pause : {0, 1, 5}) {
    shop.cluster.SetTargetFault(*shop.shop, "extra=" + std::to_string(pause));
    std::atomic<int> answered{0};
    std::atomic<int> foreign{0};
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int caller = 0; caller < kCallers; ++caller) {
      callers.emplace_back([&]() {
        standins::BlockingHttp connection = shop.cluster.Connect(*shop.shop);
        for (int call = 0; call < kCalls; ++call) {
          const PlainRequest request = shop.Next();
          const PlainAnswer answer = connection.Send(request);
          const bool is_answered =
              answer.Header("almondlink-verdict") == "answered";
          answered += is_answered ? 1 : 0;
          foreign += is_answered && !IsOwn(request, answer) ? 1 : 0;
        }
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    INFO("pause " << pause << " ms");
    REQUIRE(foreign == 0);
    REQUIRE(answered == kCallers * kCalls);
  }
}

}  // namespace
}  // namespace almondlink::test
