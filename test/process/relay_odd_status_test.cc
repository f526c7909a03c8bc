#include <catch2/catch.hpp>
#include <chrono>
#include <string>

#include "test/support/relay_cluster.h"

/// Guards against a status that HTTP does not have reaching a caller as an
/// answer, or holding its request until the time limit.
namespace almondlink::test {
namespace {

using standins::InstanceFault;
using standins::PlainAnswer;
using Clock = std::chrono::steady_clock;

constexpr unsigned kBadGateway = 502;
constexpr int kFront = 0;
constexpr int kBesideTarget = 1;
const std::vector<RouteSpec> kRoutes = {
    {"get", "stock.example", "/get/", "stock"},
    {"pay", "stock.example", "/pay/", "stock", "unsafe"}};

TEST_CASE("a status that is none is answered 502 and runs once") {
  RelayCluster cluster(19600, "odd-status");
  cluster.Add(Spec("i-front", "front"));
  cluster.Add(Spec("i-stock", "stock"));
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
  cluster.Instance(kBesideTarget).SetFault(InstanceFault::kOddStatus);
  for (const std::string status : {"000", "099", "101", "600", "999"}) {
    cluster.Instance(kBesideTarget).SetOddStatus(status);
    for (const int node : {kFront, kBesideTarget}) {
      for (const bool is_pay : {false, true}) {
        const std::string id =
            "odd" + status + std::to_string(node) + (is_pay ? "pay" : "get");
        INFO(id);
        const Clock::time_point start = Clock::now();
        const PlainAnswer answer =
            cluster.Call(node, "stock.example", is_pay ? "/pay/1" : "/get/1",
                         id, is_pay ? "POST" : "GET", is_pay ? "x" : "", 5000);
        CHECK(answer.status == kBadGateway);
        CHECK(answer.body.find("odd") == std::string::npos);
        CHECK(Clock::now() - start < std::chrono::seconds(4));
        CHECK(cluster.Instance(kBesideTarget).RunsOf(id) >= 1);
        if (is_pay) {
          CHECK(cluster.Instance(kBesideTarget).RunsOf(id) == 1);
        }
      }
    }
  }
  cluster.Instance(kBesideTarget).SetFault(InstanceFault::kNone);
  REQUIRE(Soon([&]() {
    return cluster.Call(kFront, "stock.example", "/get/1", "after").status ==
           200;
  }));
}

}  // namespace
}  // namespace almondlink::test
