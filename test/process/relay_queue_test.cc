#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "test/support/relay_cluster.h"

/// The queue of a target, with real processes: queued calls of a slow target
/// are run by the others, and the order of a full queue lets admitted calls
/// complete (docs/design/queue-moves.md and queue-order.md).
namespace almondlink::test {
namespace {

using standins::FakeInstance;
using standins::PlainAnswer;

constexpr int kTargets = 3;
constexpr int kEntry = 3;

/// Latency targets and timeouts are long, so that no call of a test leaves a
/// queue because its time is over.
RouteSpec LongRoute(const std::string& name, const std::string& kind) {
  RouteSpec route{name, "stock.example", "/" + name + "/", "stock", kind};
  route.timeout_ms = 20000;
  route.aim_ms = 20000;
  return route;
}

const std::vector<RouteSpec> kRoutes = {LongRoute("stock", "safe"),
                                        LongRoute("pay", "unsafe")};

FakeInstance::Spec SpecWith(const std::string& id,
                            const std::string& service,
                            int capacity,
                            int work_ms) {
  FakeInstance::Spec spec = Spec(id, service);
  spec.capacity = capacity;
  spec.work_ms = work_ms;
  return spec;
}

struct Outcome {
  std::string id;
  PlainAnswer answer;
};

/// Requests that are sent at once, each by a thread of its own.
class Burst {
 public:
  Burst(RelayCluster& cluster,
        int node,
        const std::string& method,
        const std::string& path,
        const std::string& name,
        int count)
      : outcomes(static_cast<std::size_t>(count)) {
    int number = 0;
    for (Outcome& outcome : this->outcomes) {
      outcome.id = name + "-" + std::to_string(++number);
      this->callers.emplace_back([&cluster, &outcome, node, method, path]() {
        outcome.answer =
            cluster.Call(node, "stock.example", path, outcome.id, method,
                         method == "POST" ? "x" : "", 15000);
      });
    }
  }
  ~Burst() { this->Wait(); }
  Burst(const Burst&) = delete;
  Burst& operator=(const Burst&) = delete;

  /// Waits for all answers.
  const std::vector<Outcome>& Wait() {
    for (std::thread& caller : this->callers) {
      caller.join();
    }
    this->callers.clear();
    return this->outcomes;
  }

 private:
  std::vector<Outcome> outcomes;
  std::vector<std::thread> callers;
};

/// Three targets of one service and an entry node.
struct Fleet {
  RelayCluster cluster;

  Fleet(int port, const std::string& name, const std::string& decisions = "")
      : cluster(port, name) {
    this->cluster.SetDecisions("move_waiting = true\n" + decisions);
    for (int i = 0; i < kTargets; ++i) {
      this->cluster.Add(
          SpecWith("i-" + std::to_string(i), "stock", 8, kFirstRunMs));
    }
    this->cluster.Add(Spec("i-front", "front"));
    this->cluster.Configure(1, kRoutes);
    this->cluster.WaitReady();
    this->cluster.Instance(0).SetWork(kSlowRunMs);
  }

  int RunsOf(const std::string& id) {
    int runs = 0;
    for (int i = 0; i < kTargets; ++i) {
      runs += this->cluster.Instance(i).RunsOf(id);
    }
    return runs;
  }
  double Moved(int node) {
    return this->cluster.Metric(node, "almondlink_queue_moved_total")
        .value_or(0);
  }
  bool IsQueueing(int node) {
    return this->cluster.Metric(node, "almondlink_target_waiting").value_or(0) >
           0;
  }
  /// Whether nothing runs or waits at the node's target.
  bool IsIdle(int node) {
    return this->cluster.Metric(node, "almondlink_target_waiting") == 0.0 &&
           this->cluster.Metric(node, "almondlink_target_running") == 0.0;
  }
  /// Waits until calls queue at every target; then all but target 0 become
  /// fast, and returns whether target 0 returns queued calls.
  bool MovesFromSlowTarget() {
    const bool are_full = Soon([this]() {
      return this->IsQueueing(0) && this->IsQueueing(1) && this->IsQueueing(2);
    });
    this->cluster.Instance(1).SetWork(1);
    this->cluster.Instance(2).SetWork(1);
    return are_full && Soon([this]() { return this->Moved(0) > 0; });
  }

  static constexpr int kFirstRunMs = 500;
  static constexpr int kSlowRunMs = 4000;
};

/// What must hold of a request that may run once, whatever failed.
void CheckRunsOnce(Fleet& fleet, const Outcome& outcome) {
  const int runs = fleet.RunsOf(outcome.id);
  CAPTURE(outcome.id, outcome.answer.status, runs);
  CHECK(runs <= 1);
  if (outcome.answer.status == 200) {
    CHECK(runs == 1);
  }
  if (outcome.answer.status == 503 || outcome.answer.status == 429) {
    CHECK(runs == 0);
  }
}

// Guards against calls that wait at a slow target while others have free slots,
// and against a returned call that also runs at the target it came from.
TEST_CASE("queued calls of a slow target are run by the others, none twice") {
  // Loads are sent by each node to all, and as sums of groups.
  const bool is_summed = GENERATE(false, true);
  CAPTURE(is_summed);
  Fleet fleet(is_summed ? 31050 : 31000,
              is_summed ? "queue-slow-summed" : "queue-slow",
              is_summed ? "direct_nodes = 1\n" : "");
  Burst burst(fleet.cluster, kEntry, "POST", "/pay/1", "p", 75);
  CHECK(fleet.MovesFromSlowTarget());
  for (const Outcome& outcome : burst.Wait()) {
    CAPTURE(outcome.id);
    CHECK(outcome.answer.status == 200);
    CHECK(fleet.RunsOf(outcome.id) == 1);
  }
  // Each return reached the entry node, and the call was sent again.
  const double returned = fleet.Moved(0) + fleet.Moved(1) + fleet.Moved(2);
  CHECK(fleet.cluster.Metrics(kEntry).Sum("almondlink_moved_total",
                                          {{"after", "moved"}}) == returned);
  for (int i = 0; i < kTargets; ++i) {
    CHECK(Soon([&]() { return fleet.IsIdle(i); }));
  }
}

// Guards against an at-most-once call that is sent again although its queue was
// lost with the node, so that nobody knows whether it had begun.
TEST_CASE("calls run at most once when the node of a slow target dies") {
  Fleet fleet(31100, "queue-target-dies");
  Burst burst(fleet.cluster, kEntry, "POST", "/pay/1", "p", 90);
  REQUIRE(fleet.MovesFromSlowTarget());
  fleet.cluster.Node(0).Kill();
  int served = 0;
  for (const Outcome& outcome : burst.Wait()) {
    CheckRunsOnce(fleet, outcome);
    served += outcome.answer.status == 200 ? 1 : 0;
  }
  // The calls at the other targets are not affected.
  CHECK(served > 0);
  CHECK(Soon([&]() { return fleet.IsIdle(1) && fleet.IsIdle(2); }));
}

// Guards against calls of a lost entry node that keep slots and places in the
// queues of targets, or run twice.
TEST_CASE("calls run at most once when their entry node dies") {
  Fleet fleet(31150, "queue-entry-dies");
  Burst burst(fleet.cluster, kEntry, "POST", "/pay/1", "p", 90);
  REQUIRE(fleet.MovesFromSlowTarget());
  fleet.cluster.Node(kEntry).Kill();
  for (const Outcome& outcome : burst.Wait()) {
    CheckRunsOnce(fleet, outcome);
  }
  for (int i = 0; i < kTargets; ++i) {
    CHECK(Soon([&]() { return fleet.IsIdle(i); }));
  }
  fleet.cluster.Instance(0).SetWork(1);
  for (int i = 0; i < 10; ++i) {
    CHECK(fleet.cluster
              .Call(1, "stock.example", "/stock/1", "s-" + std::to_string(i))
              .status == 200);
  }
}

// Guards against queued calls that outlive their link: they would run although
// nobody waits for their answers, or hold places in the queue for good.
TEST_CASE("slots and queue recover from a lost link") {
  // None of the runs ends before the link is cut.
  constexpr int kLongRunMs = 5000;
  RelayCluster cluster(31200, "queue-lost-link");
  cluster.UseProxies();
  cluster.Add(SpecWith("i-0", "stock", 4, kLongRunMs));
  cluster.Add(Spec("i-front", "front"));
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
  const double slots = cluster.Metric(0, "almondlink_target_slots").value_or(0);
  const auto is_full = [&]() {
    return cluster.Metric(0, "almondlink_target_running") == slots &&
           cluster.Metric(0, "almondlink_target_waiting") == 12 - slots;
  };
  const auto is_idle = [&]() {
    return cluster.Metric(0, "almondlink_target_running") == 0.0 &&
           cluster.Metric(0, "almondlink_target_waiting") == 0.0;
  };
  {
    Burst burst(cluster, 1, "POST", "/pay/1", "lost", 12);
    REQUIRE(Soon(is_full));
    cluster.Proxy(0).Cut();
    cluster.Proxy(1).Cut();
    int runs = 0;
    for (const Outcome& outcome : burst.Wait()) {
      const int runs_of_id = cluster.Instance(0).RunsOf(outcome.id);
      CAPTURE(outcome.id, outcome.answer.status);
      CHECK(outcome.answer.status != 200);
      CHECK(runs_of_id <= 1);
      runs += runs_of_id;
    }
    CHECK(Soon(is_idle));
    // Those that were queued were never run.
    CHECK(runs == slots);
  }
  cluster.WaitReady();
  CHECK(cluster.Metric(0, "almondlink_target_slots") == slots);
  cluster.Instance(0).SetWork(300);
  Burst burst(cluster, 1, "POST", "/pay/1", "after", 12);
  CHECK(Soon(is_full));
  for (const Outcome& outcome : burst.Wait()) {
    CAPTURE(outcome.id);
    CHECK(outcome.answer.status == 200);
    CHECK(cluster.Instance(0).RunsOf(outcome.id) == 1);
  }
  CHECK(Soon(is_idle));
}

/// Routes of root requests, and of the calls that two of them make in turn.
std::vector<RouteSpec> ChainRoutes() {
  std::vector<RouteSpec> routes = {
      {"record", "stock.example", "/record/", "ledger"},
      {"view", "stock.example", "/view/", "shop"},
      {"order", "stock.example", "/order/", "cart"},
      {"check", "stock.example", "/check/", "middle"},
      {"book", "stock.example", "/book/", "ledger"}};
  for (RouteSpec& route : routes) {
    route.timeout_ms = 2000;
    route.aim_ms = 2000;
  }
  routes[0].priority = 0;
  routes[2].priority = 2;
  return routes;
}

/// Callers that send one request after the other.
class Callers {
 public:
  Callers(RelayCluster& cluster_in, std::string name_in, int count)
      : cluster(cluster_in), name(std::move(name_in)) {
    for (int i = 0; i < count; ++i) {
      this->threads.emplace_back([this, i]() { this->Run(i); });
    }
  }
  ~Callers() { this->Stop(); }
  Callers(const Callers&) = delete;
  Callers& operator=(const Callers&) = delete;

  std::vector<Outcome> Stop() {
    this->is_stopped = true;
    for (std::thread& thread : this->threads) {
      thread.join();
    }
    this->threads.clear();
    return this->outcomes;
  }

 private:
  void Run(int caller) {
    for (int i = 0; !this->is_stopped; ++i) {
      const std::string id =
          this->name + "-" + std::to_string(caller) + "-" + std::to_string(i);
      const PlainAnswer answer = this->cluster.Call(
          0, "stock.example", "/" + this->name + "/1", id, "GET", "", 2000);
      {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->outcomes.push_back({id, answer});
      }
      if (answer.status == 503) {
        std::this_thread::sleep_for(std::chrono::milliseconds(50));
      }
    }
  }

  RelayCluster& cluster;
  std::string name;
  std::atomic<bool> is_stopped{false};
  std::mutex mutex;
  std::vector<Outcome> outcomes;
  std::vector<std::thread> threads;
};

int CountStatus(const std::vector<Outcome>& outcomes, unsigned status) {
  return static_cast<int>(std::count_if(
      outcomes.begin(), outcomes.end(), [status](const Outcome& outcome) {
        return outcome.answer.status == status;
      }));
}

// Guards against a queue in the order of priority: calls of admitted orders
// would wait behind all calls of views until their deadline, and against an
// order that lets new records wait behind older calls of both.
TEST_CASE("a full target two hops down completes what was admitted") {
  RelayCluster cluster(31250, "queue-order");
  // The routes here cost the same, so none exchanges capacity.
  cluster.SetDecisions("queue_by_due_always = true\n");
  cluster.Add(Spec("i-front", "front"));
  const int ledger = cluster.Add(SpecWith("i-ledger", "ledger", 4, 40));
  FakeInstance::Spec middle = SpecWith("i-middle", "middle", 64, 1);
  middle.calls = {{"stock.example", "/book/1"}};
  cluster.Add(middle);
  for (const char* service : {"shop", "cart"}) {
    FakeInstance::Spec spec =
        SpecWith(std::string("i-") + service, service, 64, 1);
    spec.calls = {{"stock.example", "/check/1"}};
    cluster.Add(spec);
  }
  cluster.Configure(1, ChainRoutes());
  cluster.WaitReady();
  Callers views(cluster, "view", 14);
  Callers orders(cluster, "order", 4);
  Callers records(cluster, "record", 2);
  std::this_thread::sleep_for(std::chrono::seconds(6));
  const std::vector<Outcome> sent_records = records.Stop();
  const std::vector<Outcome> sent_orders = orders.Stop();
  const std::vector<Outcome> sent_views = views.Stop();
  const MetricsText metrics = cluster.Metrics(ledger);
  const auto left = [&metrics](const std::string& route) {
    return metrics.Sum("almondlink_queue_left_total", {{"route", route}});
  };
  // The target was full.
  CHECK(metrics.Sum("almondlink_queued_total", {}) > 100);
  // No record waited longer than it may, and none was refused.
  CHECK(left("record") == 0);
  CHECK(CountStatus(sent_records, 200) ==
        static_cast<int>(sent_records.size()));
  // Whatever was not refused at entry ended well.
  CHECK(left("order") == 0);
  CHECK(left("view") == 0);
  CHECK(CountStatus(sent_orders, 200) > 0);
  for (const std::vector<Outcome>* sent : {&sent_orders, &sent_views}) {
    for (const Outcome& outcome : *sent) {
      CAPTURE(outcome.id, outcome.answer.status);
      CHECK((outcome.answer.status == 200 || outcome.answer.status == 503));
    }
  }
  CHECK(Soon([&]() {
    return cluster.Metric(ledger, "almondlink_target_waiting") == 0.0 &&
           cluster.Metric(ledger, "almondlink_target_running") == 0.0;
  }));
}

}  // namespace
}  // namespace almondlink::test
