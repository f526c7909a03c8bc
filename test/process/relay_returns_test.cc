#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <cstdlib>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "test/support/relay_cluster.h"

/// Callers that return after a refusal (almondlink/control/returning_callers.h)
/// while the node that refused them is lost.
namespace almondlink::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;
using Clock = std::chrono::steady_clock;

constexpr milliseconds kDeadline{5000};
constexpr int kFirstNode = 0;
constexpr int kOtherNode = 1;
constexpr int kTargetNode = 2;
constexpr int kNewPerSecond = 400;
constexpr int kWorkers = 150;

std::vector<RouteSpec> Routes() {
  RouteSpec stock{"stock", "stock.example", "/stock/", "stock"};
  stock.aim_ms = 4000;
  return {stock};
}

/// One request of a caller. Each has an id of its own.
struct Attempt {
  std::string id;
  Clock::time_point due;
  Clock::time_point deadline;
  int node = 0;
  bool is_return = false;
  /// The node that refused the caller before.
  int refused_by = -1;
  Clock::time_point sent;
  unsigned status = 0;
};

/// New callers at a steady rate, half at each of two nodes. A refused one
/// returns once after the time that it was told, if its deadline allows. From
/// Kill() on, callers use the other node.
class ReturningLoad {
 public:
  ReturningLoad(RelayCluster& cluster_in, seconds length)
      : cluster(cluster_in) {
    const Clock::time_point begin = Clock::now() + milliseconds(50);
    const std::int64_t count = kNewPerSecond * length.count();
    for (std::int64_t i = 0; i < count; ++i) {
      Attempt attempt;
      attempt.id = "c" + std::to_string(i);
      attempt.due =
          begin + std::chrono::microseconds(1'000'000 * i / kNewPerSecond);
      attempt.deadline = attempt.due + kDeadline;
      attempt.node = i % 2 == 0 ? kFirstNode : kOtherNode;
      this->due.emplace(attempt.due, std::move(attempt));
    }
    for (int i = 0; i < kWorkers; ++i) {
      this->workers.emplace_back([this]() { this->Run(); });
    }
  }

  ~ReturningLoad() { this->Join(); }
  ReturningLoad(const ReturningLoad&) = delete;
  ReturningLoad& operator=(const ReturningLoad&) = delete;

  void Kill() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->is_killed = true;
    this->cluster.Node(kFirstNode).Kill();
  }

  /// Waits for the end of the load. Call it once.
  std::vector<Attempt> Join() {
    for (std::thread& worker : this->workers) {
      worker.join();
    }
    this->workers.clear();
    return std::move(this->done);
  }

 private:
  void Run() {
    std::unique_lock<std::mutex> lock(this->mutex);
    while (!this->due.empty()) {
      if (this->due.begin()->first > Clock::now()) {
        lock.unlock();
        std::this_thread::sleep_for(milliseconds(5));
        lock.lock();
        continue;
      }
      Attempt attempt = std::move(this->due.begin()->second);
      this->due.erase(this->due.begin());
      attempt.node = this->is_killed ? kOtherNode : attempt.node;
      lock.unlock();
      this->Send(attempt);
      lock.lock();
    }
  }

  void Send(Attempt& attempt) {
    attempt.sent = Clock::now();
    const auto left = std::chrono::duration_cast<milliseconds>(
        attempt.deadline - attempt.sent);
    // A new caller states its whole deadline, however late its thread is.
    const milliseconds stated = attempt.is_return ? left : kDeadline;
    const standins::PlainAnswer answer = this->cluster.Call(
        attempt.node, "stock.example", "/stock/1", attempt.id, "GET", "",
        static_cast<int>(stated.count()));
    attempt.status = answer.status;
    const double wait_s = std::atof(answer.Header("retry-after").c_str());
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->done.push_back(attempt);
    const Clock::time_point back =
        Clock::now() + std::chrono::duration_cast<Clock::duration>(
                           std::chrono::duration<double>(wait_s));
    if (attempt.status != 503 || attempt.is_return ||
        back >= attempt.deadline) {
      return;
    }
    Attempt next = attempt;
    next.id += "-again";
    next.due = back;
    next.is_return = true;
    next.refused_by = attempt.node;
    this->due.emplace(back, std::move(next));
  }

  RelayCluster& cluster;
  std::mutex mutex;
  bool is_killed = false;
  std::multimap<Clock::time_point, Attempt> due;
  std::vector<Attempt> done;
  std::vector<std::thread> workers;
};

struct Part {
  double served = 0;
  double all = 0;
  double Share() const { return this->all > 0 ? this->served / this->all : 0; }
};

// Guards against invitations that only the node which made them honors.
TEST_CASE("callers refused by a lost node are served first at another") {
  RelayCluster cluster(31450, "returns");
  cluster.Add(Spec("i-front-0", "front"));
  cluster.Add(Spec("i-front-1", "front"));
  standins::FakeInstance::Spec stock = Spec("i-stock", "stock");
  stock.capacity = 14;
  stock.work_ms = 50;
  cluster.Add(stock);
  cluster.Configure(1, Routes());
  cluster.WaitReady();
  ReturningLoad load(cluster, seconds(12));
  // In the first seconds, callers that are not invited are told to return at
  // the expected end of the shortage, which is within their deadline: the last
  // of them are back after seven seconds.
  std::this_thread::sleep_for(seconds(9));
  load.Kill();
  const Clock::time_point killed = Clock::now();
  const std::vector<Attempt> done = load.Join();

  std::set<std::string> run;
  for (const standins::SeenRequest& seen :
       cluster.Instance(kTargetNode).Seen()) {
    run.insert(seen.id);
  }
  Part returning;
  Part fresh;
  for (const Attempt& attempt : done) {
    // Invited callers return within 1.5 s.
    const bool is_after =
        attempt.sent > killed && attempt.sent < killed + milliseconds(1500);
    if (attempt.status == 503) {
      CHECK(run.count(attempt.id) == 0);
    }
    if (!is_after) {
      continue;
    }
    if (!attempt.is_return) {
      ++fresh.all;
      fresh.served += attempt.status == 200 ? 1 : 0;
    } else if (attempt.refused_by == kFirstNode) {
      ++returning.all;
      returning.served += attempt.status == 200 ? 1 : 0;
    }
  }
  INFO("returning " << returning.served << " of " << returning.all << ", new "
                    << fresh.served << " of " << fresh.all);
  CHECK(returning.all >= 5);
  CHECK(returning.Share() > fresh.Share());
  const MetricsText metrics = cluster.Metrics(kOtherNode);
  REQUIRE(metrics.fault.empty());
  const auto counted = [&metrics](const char* kind) {
    return metrics.Sum("almondlink_returning_callers_total",
                       {{"route", "stock"}, {"kind", kind}});
  };
  CHECK(counted("invited") > 0);
  CHECK(counted("no_capacity") > 0);
  CHECK(counted("returned") >= counted("served"));
  CHECK(counted("served") > 0);
}

}  // namespace
}  // namespace almondlink::test
