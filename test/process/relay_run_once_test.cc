#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <map>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "test/support/relay_cluster.h"

/// Guards against a second run, or a run after a refusal, of a request that
/// must not run twice: its attempts are queued, refused, moved, cut off, timed
/// out and given up while processes stand still, links end or carry nothing,
/// and both targets refuse, at times twice and without naming the request.
namespace almondlink::test {
namespace {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;
using standins::InstanceFault;
using standins::MakeAnswer;

const std::vector<RouteSpec> kRoutes = {
    {"stock",
     "stock.example",
     "/stock/",
     "stock",
     "safe",
     5000,
     1000,
     1,
     2,
     {}},
    {"pay", "stock.example", "/pay/", "stock", "unsafe", 5000, 1000, 1, 2, {}}};
constexpr int kTargets = 2;
constexpr int kNodes = 5;
/// Eight slots of 40 ms for 24 callers: calls queue.
constexpr int kSlots = 4;
constexpr int kWorkMs = 40;
constexpr int kCallersPerEntry = 8;
constexpr Millis kDisturbed{9000};
/// A caller that is refused waits this long before it sends its next request.
constexpr Millis kAfterRefusal{50};
/// Longest time left of a request, and the margin in which it may still begin.
constexpr int kLongestMs = 2000;
constexpr Millis kMargin{500};

struct Sent {
  std::string id;
  unsigned status = 0;
};

class Disturbance {
 public:
  Disturbance(RelayCluster& cluster_in, unsigned seed)
      : cluster(cluster_in), random(seed) {}

  /// Draws faults until `end`, then removes them.
  void Run(Clock::time_point end) {
    while (Clock::now() < end) {
      this->Step();
      std::this_thread::sleep_for(Millis(50 + this->Draw(400)));
    }
    for (int target = 0; target < kTargets; ++target) {
      this->cluster.Instance(target).SetFault(InstanceFault::kNone);
      this->cluster.Instance(target).SetStrayBytes("");
      this->cluster.Instance(target).SetWork(kWorkMs);
    }
  }

 private:
  int Draw(int below) { return static_cast<int>(this->random() % below); }

  void Step() {
    const int node = this->Draw(kNodes);
    switch (this->Draw(6)) {
      case 0:
        this->cluster.Node(node).Signal(SIGSTOP);
        std::this_thread::sleep_for(Millis(10 + this->Draw(490)));
        this->cluster.Node(node).Signal(SIGCONT);
        break;
      case 1:
        this->cluster.Proxy(node).Cut();
        break;
      case 2:
        this->cluster.Proxy(node).Silence();
        break;
      case 3:
        this->cluster.Node(this->Draw(kTargets)).Kill();
        this->RestartTargets();
        break;
      case 4:
        for (int target = 0; target < kTargets; ++target) {
          this->cluster.Instance(target).SetWork(kWorkMs * (1 + this->Draw(5)));
        }
        break;
      default:
        this->Refuse();
        break;
    }
  }

  void RestartTargets() {
    for (int target = 0; target < kTargets; ++target) {
      if (!this->cluster.Node(target).IsRunning()) {
        this->cluster.StartNode(target);
      }
    }
  }

  void Refuse() {
    constexpr std::array<InstanceFault, 6> kFaults = {
        InstanceFault::kNone,      InstanceFault::kNone,
        InstanceFault::kNone,      InstanceFault::kShed,
        InstanceFault::kShedTwice, InstanceFault::kShedNamedTwice};
    const std::array<std::string, 3> strays = {
        "", MakeAnswer(503, "Not-Executed: 1\r\n", ""),
        MakeAnswer(421, "", "")};
    for (int target = 0; target < kTargets; ++target) {
      this->cluster.Instance(target).SetFault(
          kFaults[static_cast<std::size_t>(this->Draw(kFaults.size()))]);
      this->cluster.Instance(target).SetStrayBytes(
          strays[static_cast<std::size_t>(this->Draw(strays.size()))]);
    }
  }

  RelayCluster& cluster;
  std::mt19937 random;
};

bool IsPromise(unsigned status) {
  return status == 503 || status == 429 || status == 421 || status == 408;
}

/// One caller at `node` until `end`.
void SendUntil(Clock::time_point end,
               RelayCluster& cluster,
               int node,
               const std::string& name,
               std::vector<Sent>& sent) {
  constexpr std::array<int, 4> kLeftMs = {80, 200, 600, kLongestMs};
  for (std::size_t i = 0; Clock::now() < end; ++i) {
    const std::string id = name + "-" + std::to_string(i);
    if (i % 4 == 3) {
      cluster.Call(node, "stock.example", "/stock/1", id);
      continue;
    }
    const unsigned status = cluster
                                .Call(node, "stock.example", "/pay/1", id,
                                      "POST", "x", kLeftMs[i % kLeftMs.size()])
                                .status;
    sent.push_back({id, status});
    if (IsPromise(status)) {
      std::this_thread::sleep_for(kAfterRefusal);
    }
  }
}

TEST_CASE("a request that may run once does so whatever happens on its way") {
  const unsigned seed = GENERATE(1U, 2U, 3U);
  RelayCluster cluster(17000, "run-once");
  cluster.UseProxies();
  for (int node = 0; node < kNodes; ++node) {
    standins::FakeInstance::Spec spec =
        Spec("i-" + std::to_string(node), node < kTargets ? "stock" : "front");
    spec.capacity = kSlots;
    spec.work_ms = kWorkMs;
    cluster.Add(spec, node % 2 == 0 ? "zone-a" : "zone-b");
  }
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();

  const Clock::time_point end = Clock::now() + kDisturbed;
  constexpr int kCallers = (kNodes - kTargets) * kCallersPerEntry;
  std::vector<std::vector<Sent>> sent(kCallers);
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([&cluster, &sent, caller, end]() {
      SendUntil(end, cluster, kTargets + caller % (kNodes - kTargets),
                "c" + std::to_string(caller),
                sent[static_cast<std::size_t>(caller)]);
    });
  }
  Disturbance(cluster, seed).Run(end);
  for (std::thread& caller : callers) {
    caller.join();
  }
  std::this_thread::sleep_for(Millis(kLongestMs) + kMargin);

  std::map<std::string, int> runs;
  for (int target = 0; target < kTargets; ++target) {
    for (const standins::SeenRequest& seen : cluster.Instance(target).Seen()) {
      ++runs[seen.id];
    }
  }
  int served = 0;
  int refused = 0;
  int unknown = 0;
  for (const std::vector<Sent>& part : sent) {
    for (const Sent& request : part) {
      INFO(request.id << ", status " << request.status << ", seed " << seed);
      CHECK(runs[request.id] <= 1);
      CHECK((!IsPromise(request.status) || runs[request.id] == 0));
      CHECK((request.status != 200 || runs[request.id] == 1));
      served += request.status == 200 ? 1 : 0;
      refused += IsPromise(request.status) ? 1 : 0;
      unknown += request.status == 502 || request.status == 504 ? 1 : 0;
    }
  }
  CAPTURE(served, refused, unknown);
  // All three kinds of outcome came, or little would be shown.
  CHECK(served > 100);
  CHECK(refused > 20);
  CHECK(unknown > 0);
}

}  // namespace
}  // namespace almondlink::test
