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
/// new one, on our own interface. A retry grant bounds the sends of one request
/// id, and nothing is kept of what ended a target: it goes on to end them all.
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

TEST_CASE("a request that ends its targets ends few of them") {
  Cluster cluster(23640, "ends");
  cluster.StartLog();
  std::vector<Instance*> shops;
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
  for (Instance* shop : shops) {
    keepers.push_back(std::make_unique<Keeper>(cluster, *shop));
  }
  const Clock::time_point until = Clock::now() + kSending;
  for (int i = 0; Clock::now() < until; ++i) {
    cluster.Call(*shops[static_cast<std::size_t>(i % kTargets)],
                 MakeRequest("GET", "shop", "/items/666", "d"));
    std::this_thread::sleep_for(kSendEvery);
  }
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
}

}  // namespace
}  // namespace almondlink::test
