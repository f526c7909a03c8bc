#include <atomic>
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "test/support/process_memory.h"
#include "test/support/relay_cluster.h"

/// Guards against bytes without end from a target that are no answer: the node
/// beside it kept a body with another request's id and a chunk extension in
/// memory for as long as the callers waited (742 and 720 MB with ten callers),
/// and would be ended by its host with all that others wait for.
namespace almondlink::test {
namespace {

using standins::InstanceFault;
using standins::PlainAnswer;

constexpr int kFront = 0;
constexpr int kBesideTarget = 1;
constexpr int kCallers = 10;
/// Each of the callers' connections may hold what is read at once and what is
/// not parsed yet; the rest is room for the allocator.
constexpr std::size_t kMaxGrowth = 16 * 1024 * 1024;
const std::vector<RouteSpec> kRoutes = {
    {"get", "stock.example", "/get/", "stock"},
    {"pay", "stock.example", "/pay/", "stock", "unsafe"}};

TEST_CASE("bytes without end that are no answer leave the node as it was") {
  RelayCluster cluster(31720, "endless");
  cluster.Add(Spec("i-front", "front"));
  cluster.Add(Spec("i-stock", "stock"));
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
  REQUIRE(cluster.Call(kFront, "stock.example", "/get/1", "warm").status ==
          200);
  const std::size_t peak_before = MemoryOf(cluster.Node(kBesideTarget)).peak;
  REQUIRE(peak_before > 0);
  for (const InstanceFault fault :
       {InstanceFault::kEndlessInterim, InstanceFault::kEndlessOther,
        InstanceFault::kEndlessExtension}) {
    const std::string name = std::to_string(static_cast<int>(fault));
    INFO("fault " << name);
    cluster.Instance(kBesideTarget).SetFault(fault);
    std::atomic<int> unknown{0};
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int i = 0; i < kCallers; ++i) {
      callers.emplace_back([&, i]() {
        const bool is_pay = i % 2 == 0;
        const std::string id = name + "-" + std::to_string(i);
        const PlainAnswer answer =
            cluster.Call(kFront, "stock.example", is_pay ? "/pay/1" : "/get/1",
                         id, is_pay ? "POST" : "GET", is_pay ? "x" : "", 3000);
        // The request ran, so it is neither served nor promised as not run.
        unknown += answer.status == 502 || answer.status == 504 ? 1 : 0;
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    CHECK(unknown == kCallers);
    const std::size_t peak = MemoryOf(cluster.Node(kBesideTarget)).peak;
    CHECK(peak < peak_before + kMaxGrowth);
    cluster.Instance(kBesideTarget).SetFault(InstanceFault::kNone);
    // All slots are free again, and the target is used.
    REQUIRE(Soon([&]() {
      return cluster.Metric(kBesideTarget, "almondlink_target_running") == 0;
    }));
    REQUIRE(Soon([&]() {
      return cluster.Call(kFront, "stock.example", "/get/1", "after-" + name)
                 .status == 200;
    }));
  }
}

}  // namespace
}  // namespace almondlink::test
