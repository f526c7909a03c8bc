#ifndef ALMONDLINK_TEST_PROCESS_LIMITED_PORTAL_H_
#define ALMONDLINK_TEST_PROCESS_LIMITED_PORTAL_H_

#include <chrono>
#include <string>
#include <vector>

#include "test/support/target_notices.h"

namespace almondlink::test {

constexpr int kTargets = 4;
/// Until the rule binds, and two windows of it.
constexpr std::chrono::seconds kObserved{11};

inline const std::vector<RouteSpec> kRoutes = {
    {"status", "portal.example", "/status/", "portal"},
    {"once", "portal.example", "/once/", "portal", "unsafe"},
    {"front", "portal.example", "/front/", "front"}};

/// Four targets of one service in three availability zones, and a node beside
/// a target of another service; callers at all of them.
struct Portal {
  RelayCluster cluster;

  Portal(int port, const std::string& name, const std::string& decisions = "")
      : cluster(port, name) {
    this->cluster.SetDecisions(decisions);
    for (int i = 0; i < kTargets; ++i) {
      standins::FakeInstance::Spec spec =
          Spec("i-portal-" + std::to_string(i), "portal");
      spec.capacity = 64;
      spec.work_ms = 20;
      this->cluster.Add(spec, "zone-" + std::to_string(i % 3));
    }
    this->cluster.Add(Spec("i-front", "front"), "zone-0");
    this->cluster.Configure(1, kRoutes);
    this->cluster.WaitReady();
  }

  SteadyLoad::Spec Load(const std::string& path, double per_s_and_node) const {
    SteadyLoad::Spec spec;
    spec.nodes = {0, 1, 2, 3, 4};
    spec.per_s_and_node = per_s_and_node;
    spec.host = "portal.example";
    spec.path = path;
    spec.method = path == "/once/1" ? "POST" : "GET";
    return spec;
  }

  NamedRate Name(int target, double per_s) {
    this->cluster.Instance(target).SetRateLimit(std::to_string(per_s));
    return {"i-portal-" + std::to_string(target), per_s,
            std::chrono::steady_clock::now()};
  }
};

}  // namespace almondlink::test

#endif  // ALMONDLINK_TEST_PROCESS_LIMITED_PORTAL_H_
