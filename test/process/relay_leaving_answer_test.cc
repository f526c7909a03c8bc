#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <thread>

#include "test/support/target_notices.h"

/// Guards against requests to a target that has long stated in its answers that
/// it is leaving.
namespace almondlink::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kTargets = 3;

const std::vector<RouteSpec> kRoutes = {
    {"status", "portal.example", "/status/", "portal"}};

/// Three targets of one service in as many availability zones, and a node
/// beside a target of another service. Targets go on to report themselves as
/// ready, as when their reports are late.
struct Portal {
  RelayCluster cluster;

  Portal(int port, const std::string& name, int targets = kTargets)
      : cluster(port, name) {
    for (int i = 0; i < targets; ++i) {
      standins::FakeInstance::Spec spec =
          Spec("i-portal-" + std::to_string(i), "portal");
      spec.capacity = 64;
      spec.work_ms = 20;
      this->cluster.Add(spec, "zone-" + std::to_string(i));
    }
    this->front = this->cluster.Add(Spec("i-front", "front"), "zone-0");
    this->cluster.Configure(1, kRoutes);
    this->cluster.WaitReady();
  }

  SteadyLoad::Spec Load() const {
    SteadyLoad::Spec spec;
    for (int node = 0; node <= this->front; ++node) {
      spec.nodes.push_back(node);
    }
    spec.per_s_and_node = 25;
    spec.host = "portal.example";
    spec.path = "/status/1";
    return spec;
  }

  int front = 0;
};

int CountStatus(const std::vector<LoadRecord>& sent, unsigned status) {
  return static_cast<int>(std::count_if(
      sent.begin(), sent.end(),
      [status](const LoadRecord& record) { return record.status == status; }));
}

TEST_CASE("a target that states in its answers that it leaves gets no more") {
  Portal portal(30000, "leaving-answer");
  SteadyLoad load(portal.cluster, portal.Load());
  std::this_thread::sleep_for(seconds(1));
  portal.cluster.Instance(0).SetSaysLeaving(true);
  std::this_thread::sleep_for(seconds(6));
  const std::vector<LoadRecord> sent = load.Stop();
  CHECK(RequestsAfterLeaving("i-portal-0", sent,
                             portal.cluster.Instance(0).Seen()) == 0);
  // The other two have slots for all.
  CHECK(CountStatus(sent, 200) == static_cast<int>(sent.size()));
}

TEST_CASE("the only target of a service that leaves gets no more either") {
  Portal portal(30100, "leaving-only", 1);
  SteadyLoad load(portal.cluster, portal.Load());
  std::this_thread::sleep_for(seconds(1));
  portal.cluster.Instance(0).SetSaysLeaving(true);
  std::this_thread::sleep_for(seconds(5));
  const std::vector<LoadRecord> sent = load.Stop();
  CHECK(RequestsAfterLeaving("i-portal-0", sent,
                             portal.cluster.Instance(0).Seen()) == 0);
  for (const LoadRecord& record : sent) {
    CHECK((record.status == 200 || record.status == 503));
  }
}

TEST_CASE("that it leaves is known after a restart of the node beside it") {
  // The restart comes while the target may still get requests.
  Portal portal(30200, "leaving-restart");
  SteadyLoad load(portal.cluster, portal.Load());
  std::this_thread::sleep_for(seconds(1));
  portal.cluster.Instance(0).SetSaysLeaving(true);
  std::this_thread::sleep_for(milliseconds(800));
  portal.cluster.Node(0).Kill();
  std::this_thread::sleep_for(milliseconds(300));
  portal.cluster.StartNode(0);
  std::this_thread::sleep_for(seconds(5));
  const std::vector<LoadRecord> sent = load.Stop();
  CHECK(RequestsAfterLeaving("i-portal-0", sent,
                             portal.cluster.Instance(0).Seen(), 0) == 0);
}

/// Guards against a drain time that begins anew when the node beside the target
/// starts again.
TEST_CASE("a restart of the node beside it does not give it more time") {
  Portal portal(30400, "leaving-only-restart", 1);
  SteadyLoad load(portal.cluster, portal.Load());
  std::this_thread::sleep_for(seconds(1));
  portal.cluster.Instance(0).SetSaysLeaving(true);
  std::this_thread::sleep_for(milliseconds(1000));
  portal.cluster.Node(0).Kill();
  std::this_thread::sleep_for(milliseconds(500));
  portal.cluster.StartNode(0);
  std::this_thread::sleep_for(seconds(5));
  const std::vector<LoadRecord> sent = load.Stop();
  CHECK(RequestsAfterLeaving("i-portal-0", sent,
                             portal.cluster.Instance(0).Seen(), 0) == 0);
}

TEST_CASE("its successor beside the same node is used") {
  Portal portal(30300, "leaving-successor");
  SteadyLoad load(portal.cluster, portal.Load());
  std::this_thread::sleep_for(seconds(1));
  portal.cluster.Instance(0).SetSaysLeaving(true);
  std::this_thread::sleep_for(seconds(3));
  portal.cluster.ReplaceInstance(0, "i-portal-0-next");
  std::this_thread::sleep_for(seconds(3));
  load.Stop();
  CHECK(portal.cluster.Instance(0).Seen().size() > 10);
}

}  // namespace
}  // namespace almondlink::test
