#include <signal.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "test/support/relay_cluster.h"
#include "test/support/steady_load.h"

/// Exchange of capacity among routes (almondlink/control/route_exchange.h) on
/// real processes, with a node lost in the middle.
namespace almondlink::test {
namespace {

using std::chrono::seconds;

constexpr int kStores = 3;
constexpr int kSlots = 5;
constexpr int kWorkMs = 50;
/// Time in which the loss of a node is noticed and the shares settle.
constexpr seconds kSettle{4};
constexpr seconds kObserved{8};

const std::vector<RouteSpec> kRoutes = {
    {"store", "shop.example", "/store/", "store", "safe", 2000, 1000, 1},
    {"view", "shop.example", "/view/", "viewer", "safe", 2000, 1000, 1},
    {"order", "shop.example", "/order/", "orderer", "safe", 2000, 1000, 2},
    {"record", "shop.example", "/record/", "store", "safe", 2000, 1000, 0}};

standins::FakeInstance::Spec Front(const std::string& id,
                                   const std::string& service,
                                   std::size_t calls) {
  standins::FakeInstance::Spec spec = Spec(id, service);
  spec.capacity = 100;
  spec.calls.assign(calls, {"shop.example", "/store/1"});
  return spec;
}

SteadyLoad::Spec LoadOf(const std::string& path, double per_s) {
  SteadyLoad::Spec spec;
  spec.nodes = {kStores, kStores + 1};
  spec.per_s_and_node = per_s / 2;
  spec.callers_per_node = 16;
  spec.host = "shop.example";
  spec.path = path;
  return spec;
}

/// Fraction of the requests sent from `since` on that were served.
double ServedSince(SteadyTime since, const std::vector<LoadRecord>& records) {
  double sent = 0;
  double served = 0;
  for (const LoadRecord& record : records) {
    if (record.sent >= since) {
      sent += 1;
      served += record.status == 200 ? 1 : 0;
    }
  }
  return sent > 0 ? served / sent : 0;
}

/// Guards against the cheaper, less urgent route being served only what the
/// expensive one leaves (nothing here after the loss of the node), and against
/// the most urgent route paying for the exchange.
TEST_CASE("cheap requests are served as often as expensive ones, a node lost") {
  RelayCluster cluster(31200, "routes");
  for (int i = 0; i < kStores; ++i) {
    standins::FakeInstance::Spec spec =
        Spec("i-store-" + std::to_string(i), "store");
    spec.capacity = kSlots;
    spec.work_ms = kWorkMs;
    cluster.Add(spec);
  }
  cluster.Add(Front("i-viewer", "viewer", 4));
  cluster.Add(Front("i-orderer", "orderer", 2));
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
  // 380 calls per second; the targets run 300, and 200 after the loss.
  SteadyLoad views(cluster, LoadOf("/view/1", 50));
  SteadyLoad orders(cluster, LoadOf("/order/1", 80));
  SteadyLoad records(cluster, LoadOf("/record/1", 20));
  std::this_thread::sleep_for(kSettle);
  const SteadyTime begin = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(kObserved);
  const SteadyTime lost = std::chrono::steady_clock::now();
  cluster.Node(0).Signal(SIGKILL);
  std::this_thread::sleep_for(kSettle + kObserved);
  const double given =
      cluster.Metrics(kStores).Sum("almondlink_refused_for_exchange_total", {});
  const std::vector<LoadRecord> viewed = views.Stop();
  const std::vector<LoadRecord> ordered = orders.Stop();
  const std::vector<LoadRecord> recorded = records.Stop();
  const double view_share = ServedSince(lost + kSettle, viewed);
  const double order_share = ServedSince(lost + kSettle, ordered);
  const double record_share = ServedSince(lost + kSettle, recorded);
  INFO("views " << ServedSince(begin, viewed) << " then " << view_share
                << ", orders " << ServedSince(begin, ordered) << " then "
                << order_share << ", records " << record_share);
  CHECK(given > 0);
  CHECK(order_share > 0.9 * view_share);
  CHECK(record_share > 0.99);
}

}  // namespace
}  // namespace almondlink::test
