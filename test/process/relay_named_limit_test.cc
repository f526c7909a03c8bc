#include <signal.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <chrono>
#include <set>
#include <thread>

#include "test/process/limited_portal.h"

/// Guards against a target that gets more requests than the rate limit that it
/// names in its answers.
namespace almondlink::test {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

double ServedShare(const std::vector<LoadRecord>& sent) {
  const auto served = std::count_if(
      sent.begin(), sent.end(),
      [](const LoadRecord& record) { return record.status == 200; });
  return static_cast<double>(served) / static_cast<double>(sent.size());
}

/// Arrivals at the target since `start`, a second.
double RateSince(SteadyTime start, standins::FakeInstance& target) {
  int arrivals = 0;
  for (const standins::SeenRequest& request : target.Seen()) {
    arrivals += request.at >= start ? 1 : 0;
  }
  const std::chrono::duration<double> span =
      std::chrono::steady_clock::now() - start;
  return arrivals / span.count();
}

TEST_CASE("a target gets no more requests than the limit that it names") {
  Portal portal(29000, "limit");
  SteadyLoad load(portal.cluster, portal.Load("/status/1", 30));
  std::this_thread::sleep_for(seconds(1));
  const NamedRate first = portal.Name(0, 8);
  const NamedRate second = portal.Name(1, 12.5);
  std::this_thread::sleep_for(kObserved);
  const std::vector<LoadRecord> sent = load.Stop();
  CHECK(RequestsOverLimit(first, sent, portal.cluster.Instance(0).Seen()) == 0);
  CHECK(RequestsOverLimit(second, sent, portal.cluster.Instance(1).Seen()) ==
        0);
  // The other two have slots for all.
  CHECK(ServedShare(sent) > 0.99);
}

TEST_CASE("the limit holds for requests that may run only once") {
  Portal portal(29100, "limit-once");
  SteadyLoad load(portal.cluster, portal.Load("/once/1", 30));
  std::this_thread::sleep_for(seconds(1));
  const NamedRate named = portal.Name(0, 8);
  std::this_thread::sleep_for(kObserved);
  const std::vector<LoadRecord> sent = load.Stop();
  CHECK(RequestsOverLimit(named, sent, portal.cluster.Instance(0).Seen()) == 0);
  CHECK(ServedShare(sent) > 0.99);
  for (int target = 0; target < kTargets; ++target) {
    std::set<std::string> ids;
    for (const standins::SeenRequest& run :
         portal.cluster.Instance(target).Seen()) {
      CHECK(ids.insert(run.id).second);
    }
  }
}

TEST_CASE(
    "a service whose targets all name limits refuses what is beyond them") {
  // Loads are told by each node to all, and as sums of groups.
  const bool is_summed = GENERATE(false, true);
  CAPTURE(is_summed);
  Portal portal(is_summed ? 29650 : 29900,
                is_summed ? "limit-every-summed" : "limit-every",
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
  for (const LoadRecord& record : sent) {
    if (record.status == 503) {
      CHECK(ran.count(record.id) == 0);
      CHECK(!record.retry_after.empty());
    }
  }
}

TEST_CASE("a limit of 0 leaves a target nearly without requests") {
  Portal portal(29300, "limit-zero");
  SteadyLoad load(portal.cluster, portal.Load("/status/1", 20));
  std::this_thread::sleep_for(seconds(1));
  const NamedRate named = portal.Name(2, 0);
  std::this_thread::sleep_for(kObserved);
  const std::vector<LoadRecord> sent = load.Stop();
  CHECK(RequestsOverLimit(named, sent, portal.cluster.Instance(2).Seen()) == 0);
  CHECK(ServedShare(sent) > 0.99);
}

TEST_CASE("a target that names no limit any more is used in full again") {
  Portal portal(29400, "limit-over");
  SteadyLoad load(portal.cluster, portal.Load("/status/1", 30));
  std::this_thread::sleep_for(seconds(1));
  const NamedRate named = portal.Name(0, 0.5);
  std::this_thread::sleep_for(seconds(6));
  portal.cluster.Instance(0).SetRateLimit("");
  // A request gets through to it within two seconds.
  std::this_thread::sleep_for(seconds(5));
  const SteadyTime start = std::chrono::steady_clock::now();
  std::this_thread::sleep_for(seconds(3));
  const double rate = RateSince(start, portal.cluster.Instance(0));
  load.Stop();
  // An even part of what all nodes send is 37.5 a second.
  CHECK(rate > 10);
}

TEST_CASE("the limit is kept over a restart of the node beside the target") {
  Portal portal(29500, "limit-restart");
  SteadyLoad load(portal.cluster, portal.Load("/status/1", 30));
  std::this_thread::sleep_for(seconds(1));
  const NamedRate named = portal.Name(0, 4);
  for (int i = 0; i < 3; ++i) {
    std::this_thread::sleep_for(milliseconds(3500));
    portal.cluster.Node(0).Kill();
    std::this_thread::sleep_for(milliseconds(200));
    portal.cluster.StartNode(0);
  }
  std::this_thread::sleep_for(seconds(4));
  const std::vector<LoadRecord> sent = load.Stop();
  CHECK(RequestsOverLimit(named, sent, portal.cluster.Instance(0).Seen(), 0) ==
        0);
}

TEST_CASE("a limit that changes each second holds over a frozen node") {
  Portal portal(29800, "limit-changes");
  SteadyLoad load(portal.cluster, portal.Load("/status/1", 40));
  std::this_thread::sleep_for(seconds(1));
  // The highest of them bounds the count.
  const NamedRate named = portal.Name(0, 10);
  for (int i = 0; i < 10; ++i) {
    portal.cluster.Instance(0).SetRateLimit(std::to_string(10 - i % 3));
    if (i == 4) {
      portal.cluster.Node(0).Signal(SIGSTOP);
    }
    std::this_thread::sleep_for(seconds(1));
    if (i == 5) {
      portal.cluster.Node(0).Signal(SIGCONT);
    }
  }
  const std::vector<LoadRecord> sent = load.Stop();
  CHECK(RequestsOverLimit(named, sent, portal.cluster.Instance(0).Seen(), 0) ==
        0);
}

TEST_CASE("a limit that is no number is no limit") {
  Portal portal(29600, "limit-malformed");
  for (const char* text : {"soon", "-3", "nan", "inf", "1e999", "4 a second"}) {
    portal.cluster.Instance(0).SetRateLimit(text);
    SteadyLoad load(portal.cluster, portal.Load("/status/1", 20));
    const SteadyTime start = std::chrono::steady_clock::now();
    std::this_thread::sleep_for(seconds(2));
    const double rate = RateSince(start, portal.cluster.Instance(0));
    const std::vector<LoadRecord> sent = load.Stop();
    CAPTURE(text);
    CHECK(rate > 5);
    CHECK(ServedShare(sent) > 0.99);
  }
}

}  // namespace
}  // namespace almondlink::test
