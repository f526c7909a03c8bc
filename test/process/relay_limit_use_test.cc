#include <catch2/catch.hpp>
#include <chrono>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "test/process/limited_portal.h"

/// Guards against limits that are kept but not used: requests refused, held or
/// given up on although the limits of their targets would have let them run.
namespace almondlink::test {
namespace {

using std::chrono::seconds;

TEST_CASE("a service whose targets all name limits is used up to them") {
  // Loads are told by each node to all, and as sums of groups.
  const bool is_summed = GENERATE(false, true);
  CAPTURE(is_summed);
  Portal portal(is_summed ? 29250 : 29200,
                is_summed ? "limit-all-summed" : "limit-all",
                is_summed ? "direct_nodes = 1\n" : "");
  constexpr double kPerTarget = 10;
  SteadyLoad load(portal.cluster, portal.Load("/status/1", 30));
  std::this_thread::sleep_for(seconds(1));
  std::vector<NamedRate> limits;
  limits.reserve(kTargets);
  for (int target = 0; target < kTargets; ++target) {
    limits.push_back(portal.Name(target, kPerTarget));
  }
  std::this_thread::sleep_for(kObserved);
  const std::vector<LoadRecord> sent = load.Stop();
  std::set<std::string> ran;
  for (int target = 0; target < kTargets; ++target) {
    const std::vector<standins::SeenRequest> seen =
        portal.cluster.Instance(target).Seen();
    CHECK(RequestsOverLimit(limits[static_cast<std::size_t>(target)], sent,
                            seen) == 0);
    for (const standins::SeenRequest& run : seen) {
      ran.insert(run.id);
    }
  }
  const SteadyTime since = limits.front().since;
  int served = 0;
  for (const LoadRecord& record : sent) {
    if (record.sent < since) {
      continue;
    }
    served += record.status == 200 ? 1 : 0;
    if (record.status == 503) {
      CHECK(ran.count(record.id) == 0);
      CHECK(!record.retry_after.empty());
    }
    // What ran and was given up on would be work without use.
    CHECK((record.status == 200 || record.status == 503));
  }
  const double seconds_observed =
      std::chrono::duration<double>(kObserved).count();
  CHECK(served > 0.95 * kPerTarget * kTargets * seconds_observed);
}

TEST_CASE("a limit of a service deep in the chain refuses requests at entry") {
  RelayCluster cluster(29700, "limit-deep");
  constexpr int kCallsPerRoot = 3;
  constexpr double kPerTarget = 15;
  for (int i = 0; i < kTargets; ++i) {
    standins::FakeInstance::Spec spec =
        Spec("i-portal-" + std::to_string(i), "portal");
    spec.capacity = 64;
    spec.work_ms = 10;
    cluster.Add(spec, "zone-" + std::to_string(i % 3));
  }
  for (int i = 0; i < 2; ++i) {
    standins::FakeInstance::Spec spec =
        Spec("i-front-" + std::to_string(i), "front");
    spec.capacity = 64;
    spec.calls.assign(kCallsPerRoot, {"portal.example", "/status/1"});
    cluster.Add(spec, "zone-" + std::to_string(i));
  }
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
  SteadyLoad::Spec spec;
  spec.nodes = {0, 1, 2, 3, 4, 5};
  spec.per_s_and_node = 10;
  spec.host = "portal.example";
  spec.path = "/front/1";
  SteadyLoad load(cluster, spec);
  std::this_thread::sleep_for(seconds(2));
  std::vector<NamedRate> limits;
  limits.reserve(kTargets);
  for (int i = 0; i < kTargets; ++i) {
    cluster.Instance(i).SetRateLimit(std::to_string(kPerTarget));
    limits.push_back({"i-portal-" + std::to_string(i), kPerTarget,
                      std::chrono::steady_clock::now()});
  }
  std::this_thread::sleep_for(kObserved);
  const std::vector<LoadRecord> sent = load.Stop();
  int served = 0;
  int failed = 0;
  // Admission has settled a second after the limits.
  const SteadyTime settled = limits.front().since + seconds(1);
  for (const LoadRecord& record : sent) {
    served += record.sent >= settled && record.status == 200 ? 1 : 0;
    failed +=
        record.sent >= settled && record.status != 200 && record.status != 503
            ? 1
            : 0;
  }
  for (int i = 0; i < kTargets; ++i) {
    CHECK(ArrivalsOverLimit(limits[static_cast<std::size_t>(i)],
                            cluster.Instance(i).Seen()) == 0);
  }
  const double allowed =
      kPerTarget * kTargets / kCallsPerRoot *
      std::chrono::duration<double>(kObserved - seconds(1)).count();
  INFO("served " << served << " and failed " << failed << " of " << sent.size()
                 << ", allowed " << allowed);
  CHECK(served > 0.95 * allowed);
  CHECK(failed < 0.05 * allowed);
}

}  // namespace
}  // namespace almondlink::test
