#include <atomic>
#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "test/support/relay_cluster.h"

/// Guards against queued calls of one service that are run by another: the
/// target beside a node fell silent with all its slots taken, an instance of
/// another service reported itself at the same address, and the queue was sent
/// to that one.
namespace almondlink::test {
namespace {

using standins::FakeInstance;
using standins::InstanceFault;
using std::chrono::milliseconds;

constexpr unsigned kOk = 200;
constexpr unsigned kUnavailable = 503;
constexpr int kTarget = 0;
constexpr int kEntry = 1;
constexpr int kCapacity = 4;
/// Slots of the next instance, so that the queue finds free ones.
constexpr int kLarge = 64;
constexpr int kCallers = 16;

const std::vector<RouteSpec> kRoutes = {
    {"order", "shop.example", "/order/", "orders", "unsafe", 4000, 4000}};

FakeInstance::Spec Small(const std::string& id, const std::string& service) {
  FakeInstance::Spec spec = Spec(id, service);
  spec.capacity = kCapacity;
  spec.work_ms = 5;
  return spec;
}

/// Callers whose requests fill the slots of a target that hangs, and its queue.
class Orders {
 public:
  explicit Orders(RelayCluster& cluster_in) : cluster(cluster_in) {
    for (int i = 0; i < kCallers; ++i) {
      this->callers.emplace_back([this, i]() {
        const unsigned status =
            this->cluster
                .Call(kEntry, "shop.example", "/order/1",
                      "order" + std::to_string(i), "POST", "one", 4000)
                .status;
        ++(status == kOk ? this->whole : this->other);
        this->refused += status == kUnavailable ? 1 : 0;
      });
    }
    // The rest waits in the queue beside the target.
    REQUIRE(Soon([this]() {
      return this->cluster.Instance(kTarget).Seen().size() >=
             static_cast<std::size_t>(kCapacity - 1);
    }));
    std::this_thread::sleep_for(milliseconds(200));
  }

  ~Orders() { this->Join(); }

  void Join() {
    for (std::thread& caller : this->callers) {
      caller.join();
    }
    this->callers.clear();
  }

  /// Orders that the instance with this id ran.
  int RunsAt(const std::string& id) {
    int runs = 0;
    for (const standins::SeenRequest& seen :
         this->cluster.Instance(kTarget).Seen()) {
      runs += seen.instance == id ? 1 : 0;
    }
    return runs;
  }

  std::atomic<int> whole{0};
  std::atomic<int> other{0};
  std::atomic<int> refused{0};

 private:
  RelayCluster& cluster;
  std::vector<std::thread> callers;
};

TEST_CASE("queued calls go to another target when the service changes") {
  RelayCluster cluster(19000, "replaced-elsewhere");
  cluster.Add(Small("i-a", "orders"));
  cluster.Add(Small("i-front", "front"));
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
  cluster.Instance(kTarget).SetFault(InstanceFault::kHang);
  Orders orders(cluster);
  cluster.Add(Small("i-b", "orders"), "zone-b");
  REQUIRE(Soon([&]() {
    return cluster.Metric(kEntry, "almondlink_open_targets") == 3.0;
  }));
  const std::size_t begun = cluster.Instance(kTarget).Seen().size();
  REQUIRE(begun < kCallers / 2);
  cluster.Instance(kTarget).Become("i-other", "front", kLarge);
  orders.Join();
  REQUIRE(orders.RunsAt("i-other") == 0);
  // All that had not begun to run is served, and nothing twice.
  REQUIRE(orders.whole == kCallers - static_cast<int>(begun));
  REQUIRE(orders.refused == 0);
}

TEST_CASE(
    "queued calls are refused unrun when no target of the service is "
    "left") {
  RelayCluster cluster(19040, "replaced-none");
  cluster.Add(Small("i-a", "orders"));
  cluster.Add(Small("i-front", "front"));
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
  cluster.Instance(kTarget).SetFault(InstanceFault::kHang);
  Orders orders(cluster);
  const std::size_t begun = cluster.Instance(kTarget).Seen().size();
  cluster.Instance(kTarget).Become("i-other", "front", kLarge);
  orders.Join();
  REQUIRE(orders.RunsAt("i-other") == 0);
  REQUIRE(orders.refused == kCallers - static_cast<int>(begun));
}

TEST_CASE("queued calls are run by the next instance of the same service") {
  RelayCluster cluster(19080, "replaced-same");
  cluster.Add(Small("i-a", "orders"));
  cluster.Add(Small("i-front", "front"));
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
  cluster.Instance(kTarget).SetFault(InstanceFault::kHang);
  Orders orders(cluster);
  const std::size_t begun = cluster.Instance(kTarget).Seen().size();
  cluster.Instance(kTarget).Become("i-next", "orders", kLarge);
  orders.Join();
  REQUIRE(orders.whole == kCallers - static_cast<int>(begun));
  REQUIRE(orders.refused == 0);
}

}  // namespace
}  // namespace almondlink::test
