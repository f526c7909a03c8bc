#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <memory>
#include <mutex>
#include <thread>
#include <vector>

#include "test/support/cluster.h"

/// One request that ends each target that runs it, sent again and again as a
/// new one, on our own interface. Seen: all targets of the service ended again
/// and again. Cause: a retry grant bounds the sends of one request, a caller's
/// repeat is a new one, and nothing was kept of what had run where a target
/// ended.
namespace almondlink::test {
namespace {

using Clock = std::chrono::steady_clock;

constexpr int kTargets = 4;
constexpr std::chrono::milliseconds kBackAfter{300};
constexpr std::chrono::milliseconds kSendEvery{100};
constexpr std::chrono::seconds kSending{12};
/// As the operators state it: once a third target has ended, three more sends
/// may come through after this.
constexpr std::chrono::seconds kNewsTime{3};
constexpr int kMostLateSends = 3;

/// Starts a target again each time that it ends.
class Keeper {
 public:
  Keeper(Cluster& cluster_in, Instance& instance_in)
      : cluster(cluster_in),
        instance(instance_in),
        pid(instance_in.target->Id()),
        thread([this]() { this->Run(); }) {}
  ~Keeper() {
    this->is_stopped = true;
    kill(this->pid, SIGKILL);
    this->thread.join();
  }

  std::vector<Clock::time_point> Ends() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->ends;
  }

 private:
  void Run() {
    while (true) {
      this->instance.target->Wait();
      if (this->is_stopped) {
        return;
      }
      {
        const std::lock_guard<std::mutex> lock(this->mutex);
        this->ends.push_back(Clock::now());
      }
      std::this_thread::sleep_for(kBackAfter);
      this->cluster.StartTarget(this->instance);
      this->pid = this->instance.target->Id();
      if (this->is_stopped) {
        kill(this->pid, SIGKILL);
      }
    }
  }

  Cluster& cluster;
  Instance& instance;
  std::atomic<bool> is_stopped{false};
  std::atomic<pid_t> pid;
  std::mutex mutex;
  std::vector<Clock::time_point> ends;
  std::thread thread;
};

/// Callers of other requests, some of one that all ask for.
class Innocent {
 public:
  Innocent(const Cluster& cluster_in, const Instance& entry_in)
      : cluster(cluster_in),
        entry(entry_in),
        thread([this]() { this->Run(); }) {}
  ~Innocent() { this->Stop(); }
  void Stop() {
    this->is_stopped = true;
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

  int asked = 0;
  int whole = 0;
  /// Told that targets have ended under the same request.
  int held = 0;

 private:
  void Run() {
    while (!this->is_stopped) {
      const bool is_popular = ++this->asked % 2 == 0;
      const std::string item = is_popular ? "1" : std::to_string(this->asked);
      const standins::PlainAnswer answer = this->cluster.Call(
          this->entry, MakeRequest("GET", "shop", "/items/" + item, "i"));
      this->whole += answer.status == 200 ? 1 : 0;
      this->held += answer.Header("almondlink-error") == "ends-targets" ? 1 : 0;
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
  }

  const Cluster& cluster;
  const Instance& entry;
  std::atomic<bool> is_stopped{false};
  std::thread thread;
};

TEST_CASE("a request that ends its targets ends few of them") {
  Cluster cluster(23640, "ends");
  cluster.StartLog();
  std::vector<Instance*> shops;
  shops.reserve(kTargets);
  for (int i = 0; i < kTargets; ++i) {
    InstanceSpec spec;
    spec.name = "shop-" + std::to_string(i + 1);
    spec.service = "shop";
    spec.deadly = "/items/666";
    shops.push_back(&cluster.Add(spec));
  }
  cluster.Release(ShopBundle(1));
  cluster.WaitReady(kTargets);
  std::vector<std::unique_ptr<Keeper>> keepers;
  keepers.reserve(kTargets);
  for (Instance* shop : shops) {
    keepers.push_back(std::make_unique<Keeper>(cluster, *shop));
  }
  Innocent innocent(cluster, *shops[0]);
  const Clock::time_point until = Clock::now() + kSending;
  for (int i = 0; Clock::now() < until; ++i) {
    cluster.Call(*shops[static_cast<std::size_t>(i % kTargets)],
                 MakeRequest("GET", "shop", "/items/666", "d"));
    std::this_thread::sleep_for(kSendEvery);
  }
  innocent.Stop();
  std::vector<Clock::time_point> ends;
  for (const std::unique_ptr<Keeper>& keeper : keepers) {
    const std::vector<Clock::time_point> more = keeper->Ends();
    ends.insert(ends.end(), more.begin(), more.end());
  }
  keepers.clear();
  std::sort(ends.begin(), ends.end());
  REQUIRE(ends.size() >= 3);
  const auto late = std::count_if(
      ends.begin(), ends.end(),
      [&](const Clock::time_point& end) { return end > ends[2] + kNewsTime; });
  INFO("targets ended " << ends.size() << " times, " << late
                        << " of them late");
  CHECK(late <= kMostLateSends);
  INFO("others: " << innocent.asked << " asked, " << innocent.whole
                  << " whole, " << innocent.held << " held");
  CHECK(innocent.held == 0);
}

}  // namespace
}  // namespace almondlink::test
