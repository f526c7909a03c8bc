#include <signal.h>

#include <catch2/catch.hpp>
#include <chrono>
#include <fstream>
#include <optional>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "test/support/relay_cluster.h"

/// Guards against leaves that are acknowledged and then forgotten: requests
/// reached a target that had announced its leave, after the node beside it and
/// the nodes that had recorded the leave had been killed or restarted, once a
/// report from before the leave arrived late. Also against a leave that only
/// nodes had recorded, because the store did not answer, and that was lost with
/// them.
namespace almondlink::test {
namespace {

using standins::StoreFault;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr unsigned kOk = 200;
constexpr int kTarget = 0;
constexpr int kEntry = 1;
/// The drain time of the nodes under test.
constexpr milliseconds kDrain{2000};
/// Sequence numbers of an instance that has reported for a while.
constexpr std::uint64_t kLateSequence = 999;
constexpr std::uint64_t kSequence = 1000;

const std::vector<RouteSpec> kRoutes = {
    {"stock", "stock.example", "/stock/", "stock"}};

/// Nodes of three services in three zones; the one under test has a target of
/// its own service, so that nothing keeps requests away from it.
class LeavingTarget {
 public:
  explicit LeavingTarget(int port,
                         std::uint64_t born = 0,
                         const std::string& health_path = "/health")
      : cluster(port, "forgotten-leave-" + std::to_string(port)) {
    this->cluster.SetHealthPath(health_path);
    standins::FakeInstance::Spec spec = Spec("i-a", "stock");
    spec.born = born;
    this->cluster.Add(spec, "zone-a");
    this->cluster.Add(Spec("i-b", "front"), "zone-b");
    this->cluster.Add(Spec("i-c", "front"), "zone-c");
    this->cluster.Configure(1, kRoutes);
    this->cluster.WaitReady();
    this->cluster.Instance(kTarget).SetReports(false);
    REQUIRE(this->Call() == kOk);
  }

  unsigned Call() {
    return this->cluster
        .Call(kEntry, "stock.example", "/stock/1",
              "c" + std::to_string(++this->calls), "GET", "", 1000)
        .status;
  }

  /// Waits until nodes are ready and know each other again.
  void Rejoin() {
    REQUIRE(Soon([&]() {
      for (int node = 0; node < 3; ++node) {
        if (this->cluster.Ready(node).status != kOk ||
            this->cluster.Metric(node, "almondlink_peers") != 3.0) {
          return false;
        }
      }
      return true;
    }));
  }

  void Restart(int node) {
    this->cluster.Node(node).Kill();
    this->cluster.StartNode(node);
  }

  void KillAll() {
    for (int node = 0; node < 3; ++node) {
      this->cluster.Node(node).Kill();
    }
  }

  void StartAll() {
    for (int node = 0; node < 3; ++node) {
      this->cluster.StartNode(node);
    }
  }

  std::string Log(int node) {
    std::ifstream in(this->cluster.LogPath(node));
    std::stringstream text;
    text << in.rdbuf();
    return text.str();
  }

  /// Callers go on for `duration`; whether the target got any of it.
  bool GetsRequests(milliseconds duration) {
    const std::size_t before = this->cluster.Instance(kTarget).Seen().size();
    const Clock::time_point end = Clock::now() + duration;
    while (Clock::now() < end) {
      this->Call();
      std::this_thread::sleep_for(milliseconds(10));
    }
    return this->cluster.Instance(kTarget).Seen().size() > before;
  }

  RelayCluster cluster;

 private:
  int calls = 0;
};

TEST_CASE("a leave that came before any report is kept over a kill") {
  for (const std::uint64_t born : {0ULL, 1700000000000ULL}) {
    LeavingTarget target(born == 0 ? 32000 : 32040, born);
    target.Restart(kTarget);
    target.Rejoin();
    REQUIRE(target.cluster.Instance(kTarget).Leave() == kOk);
    target.Restart(kTarget);
    target.Rejoin();
    target.cluster.Instance(kTarget).Report("ready", kLateSequence);
    REQUIRE_FALSE(target.GetsRequests(milliseconds(1500)));
  }
}

TEST_CASE("a leave of an instance that is not the current one is kept") {
  LeavingTarget target(32080);
  // Another instance has reported at the node last.
  standins::BlockingHttp other(
      {"127.0.0.1",
       static_cast<std::uint16_t>(target.cluster.ReportPort(kTarget))},
      std::chrono::seconds(2));
  standins::PlainRequest report;
  report.method = "POST";
  report.target = "/instances/i-other/heartbeat";
  report.body = R"({"service":"stock","address":"127.0.0.1:9","zone":"zone-a",)"
                R"("version":"v1","capacity":4,"state":"ready","coldLeftMs":0,)"
                R"("sequence":5000})";
  REQUIRE(other.Send(report).status == kOk);
  REQUIRE(target.cluster.Instance(kTarget).Leave() == kOk);
  target.Restart(kTarget);
  target.Rejoin();
  target.cluster.Instance(kTarget).Report("ready", kLateSequence);
  REQUIRE_FALSE(target.GetsRequests(milliseconds(1500)));
}

TEST_CASE("a leave is kept when all nodes are killed one after the other") {
  LeavingTarget target(32120);
  REQUIRE(target.cluster.Instance(kTarget).Leave() == kOk);
  for (const int node : {kTarget, kEntry, 2, kTarget}) {
    target.Restart(node);
    target.Rejoin();
  }
  target.cluster.Instance(kTarget).Report("ready", kLateSequence);
  REQUIRE_FALSE(target.GetsRequests(milliseconds(1500)));
}

TEST_CASE("a leave is kept when all nodes are killed at once") {
  LeavingTarget target(32160);
  REQUIRE(target.cluster.Instance(kTarget).Leave() == kOk);
  for (int node = 0; node < 3; ++node) {
    target.cluster.Node(node).Kill();
  }
  for (int node = 0; node < 3; ++node) {
    target.cluster.StartNode(node);
  }
  target.Rejoin();
  target.cluster.Instance(kTarget).Report("ready", kLateSequence);
  REQUIRE_FALSE(target.GetsRequests(milliseconds(1500)));
}

TEST_CASE("the drain time does not begin anew when the node is killed") {
  LeavingTarget target(32200);
  REQUIRE(target.cluster.Instance(kTarget).Report("draining", kSequence) ==
          kOk);
  const Clock::time_point acknowledged = Clock::now();
  std::this_thread::sleep_for(milliseconds(1500));
  target.Restart(kTarget);
  // The next report reaches the new process before it is told of anything.
  REQUIRE(Soon([&]() {
    return target.cluster.Instance(kTarget).Report("draining", kSequence + 1) ==
           kOk;
  }));
  target.GetsRequests(milliseconds(2000));
  for (const standins::SeenRequest& seen :
       target.cluster.Instance(kTarget).Seen()) {
    REQUIRE(seen.at < acknowledged + kDrain);
  }
}

TEST_CASE("a leave that nothing outlasting the node has is not acknowledged") {
  LeavingTarget target(32240);
  target.cluster.Store().SetFaults(StoreFault::kBusy);
  target.cluster.Node(1).Signal(SIGSTOP);
  target.cluster.Node(2).Signal(SIGSTOP);
  REQUIRE(target.cluster.Instance(kTarget).Leave() != kOk);
  target.cluster.Node(1).Signal(SIGCONT);
  target.cluster.Node(2).Signal(SIGCONT);
}

TEST_CASE("a leave is acknowledged and kept while the store is away") {
  LeavingTarget target(32280);
  target.cluster.Store().SetFaults(StoreFault::kSilent);
  REQUIRE(target.cluster.Instance(kTarget).Leave() == kOk);
  for (const int node : {kTarget, kEntry, 2, kTarget}) {
    target.Restart(node);
    target.Rejoin();
  }
  target.cluster.Instance(kTarget).Report("ready", kLateSequence);
  REQUIRE_FALSE(target.GetsRequests(milliseconds(1500)));
}

TEST_CASE("a node that nobody can tell of leaves opens a target that goes on") {
  LeavingTarget target(32320);
  target.cluster.Store().SetFaults(StoreFault::kSilent);
  for (int node = 0; node < 3; ++node) {
    target.cluster.Node(node).Kill();
  }
  for (int node = 0; node < 3; ++node) {
    target.cluster.StartNode(node);
  }
  // The policy comes from the store; leaves stay unknown until the reports have
  // gone on for a while.
  std::uint64_t sequence = kSequence;
  REQUIRE(Soon([&]() {
    target.cluster.Instance(kTarget).Report("ready", ++sequence);
    std::this_thread::sleep_for(milliseconds(200));
    const std::optional<double> open =
        target.cluster.Metric(kTarget, "almondlink_open_targets");
    return open.value_or(0) >= 1;
  }));
}

/// Paths of the health check at an instance: one that works, one at which it
/// answers nothing of use, and none.
const std::vector<std::string> kHealthPaths = {"/health", "/none", ""};

TEST_CASE("a leave that only nodes had recorded is kept when all are killed") {
  int port = 19200;
  for (const std::string& path : kHealthPaths) {
    for (const bool is_report : {false, true}) {
      LeavingTarget target(port, 0, path);
      port += 40;
      target.cluster.Store().SetFaults(StoreFault::kBusy);
      const unsigned status =
          is_report
              ? target.cluster.Instance(kTarget).Report("draining", kSequence)
              : target.cluster.Instance(kTarget).Leave();
      REQUIRE(status == kOk);
      target.KillAll();
      target.cluster.Store().SetFaults(StoreFault::kNone);
      target.StartAll();
      target.Rejoin();
      for (const std::uint64_t late : {kLateSequence - 1, kLateSequence}) {
        target.cluster.Instance(kTarget).Report("ready", late);
        REQUIRE_FALSE(target.GetsRequests(milliseconds(1000)));
      }
    }
  }
}

TEST_CASE(
    "a leave is kept when all nodes are killed twice while the store is "
    "away") {
  LeavingTarget target(19440);
  target.cluster.Store().SetFaults(StoreFault::kBusy);
  REQUIRE(target.cluster.Instance(kTarget).Leave() == kOk);
  target.KillAll();
  target.StartAll();
  std::this_thread::sleep_for(milliseconds(1500));
  target.KillAll();
  target.cluster.Store().SetFaults(StoreFault::kNone);
  target.StartAll();
  target.Rejoin();
  target.cluster.Instance(kTarget).Report("ready", kLateSequence);
  REQUIRE_FALSE(target.GetsRequests(milliseconds(1500)));
}

TEST_CASE(
    "a leave that nodes had recorded reaches the store by another "
    "process") {
  LeavingTarget target(19480, 0, "");
  target.cluster.Store().SetFaults(StoreFault::kBusy);
  REQUIRE(target.cluster.Instance(kTarget).Leave() == kOk);
  target.Restart(kTarget);
  std::this_thread::sleep_for(milliseconds(500));
  target.cluster.Store().SetFaults(StoreFault::kNone);
  target.Rejoin();
  // What the node had to write is gone with its earlier process.
  std::this_thread::sleep_for(milliseconds(2500));
  target.KillAll();
  target.StartAll();
  REQUIRE(Soon([&]() {
    return target.Log(kTarget).find(
               R"("name":"leave-remembered","instance":"i-a","born":"0",)"
               R"("source":"store")") != std::string::npos;
  }));
}

TEST_CASE(
    "a target in service is opened at its first report after all nodes "
    "were killed") {
  LeavingTarget target(19520);
  target.KillAll();
  target.StartAll();
  target.Rejoin();
  REQUIRE(target.cluster.Instance(kTarget).Report("ready", kSequence) == kOk);
  REQUIRE(Soon([&]() { return target.Call() == kOk; }));
}

TEST_CASE("a target that is back under its id is served after its leave") {
  LeavingTarget target(32360, 1700000000000ULL);
  REQUIRE(target.cluster.Instance(kTarget).Leave() == kOk);
  target.Restart(kTarget);
  target.Rejoin();
  target.cluster.ReplaceInstance(kTarget, "i-a", 1700000009000ULL);
  REQUIRE(Soon([&]() { return target.Call() == kOk; }));
}

}  // namespace
}  // namespace almondlink::test
