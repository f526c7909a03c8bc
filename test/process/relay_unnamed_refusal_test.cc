#include <catch2/catch.hpp>
#include <string>
#include <thread>
#include <vector>

#include "test/support/relay_cluster.h"

/// Guards against a *not run* that names no request and is taken for the answer
/// to whatever its connection carries next: a request that must not run twice
/// was sent again while it ran, or its caller was told that it had not run.
namespace almondlink::test {
namespace {

using standins::InstanceFault;
using standins::MakeAnswer;
using standins::PlainAnswer;

const std::vector<RouteSpec> kRoutes = {
    {"stock", "stock.example", "/stock/", "stock"},
    {"pay", "stock.example", "/pay/", "stock", "unsafe"}};
constexpr int kRequests = 40;
constexpr int kCallers = 4;
constexpr int kFront = 2;

struct Pair {
  RelayCluster cluster;
  Pair(int port, const std::string& name) : cluster(port, name) {
    this->cluster.Add(Spec("i-a", "stock"));
    this->cluster.Add(Spec("i-b", "stock"));
    this->cluster.Add(Spec("i-front", "front"));
    this->cluster.Configure(1, kRoutes);
    this->cluster.WaitReady();
  }
  int RunsOf(const std::string& id) {
    return this->cluster.Instance(0).RunsOf(id) +
           this->cluster.Instance(1).RunsOf(id);
  }
  /// Refusals that the nodes beside the targets have counted under that label.
  double Refusals(const std::string& id) {
    double sum = 0;
    for (int node = 0; node < 2; ++node) {
      const MetricsText read = this->cluster.Metrics(node);
      REQUIRE(read.fault.empty());
      sum += read.Sum("almondlink_target_refusals_total", {{"id", id}});
    }
    return sum;
  }
  /// Requests of both kinds from several callers at once. Returns the ids of
  /// those that must not run twice, with the answers.
  std::vector<std::pair<std::string, unsigned>> SendAll(
      const std::string& name) {
    std::vector<std::vector<std::pair<std::string, unsigned>>> answers(
        kCallers);
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (int caller = 0; caller < kCallers; ++caller) {
      callers.emplace_back([this, &name, &answers, caller]() {
        for (int i = 0; i < kRequests; ++i) {
          const std::string id =
              name + std::to_string(caller) + "-" + std::to_string(i);
          this->cluster.Call(kFront, "stock.example", "/stock/1", "get" + id);
          const PlainAnswer paid = this->cluster.Call(
              kFront, "stock.example", "/pay/1", id, "POST", "x");
          answers[static_cast<std::size_t>(caller)].emplace_back(id,
                                                                 paid.status);
        }
      });
    }
    std::vector<std::pair<std::string, unsigned>> all;
    for (int caller = 0; caller < kCallers; ++caller) {
      callers[static_cast<std::size_t>(caller)].join();
      const auto& part = answers[static_cast<std::size_t>(caller)];
      all.insert(all.end(), part.begin(), part.end());
    }
    return all;
  }
};

TEST_CASE("a refusal that names no request says nothing of a later one") {
  Pair pair(31800, "unnamed-refusal");
  const std::vector<std::string> refusals = {
      MakeAnswer(503, "Not-Executed: 1\r\n", ""),
      MakeAnswer(429, "Not-Executed: 1\r\n", ""),
      MakeAnswer(400, "Not-Executed: 1\r\n", ""),
      MakeAnswer(421, "Instance-Id: i-gone\r\n", "")};
  int number = 0;
  for (const std::string& refusal : refusals) {
    pair.cluster.Instance(0).SetStrayBytes(refusal);
    pair.cluster.Instance(1).SetStrayBytes(refusal);
    int served = 0;
    const std::string name = "p" + std::to_string(number++) + "-";
    for (const auto& [id, status] : pair.SendAll(name)) {
      INFO(refusal << id << ", status " << status);
      const int runs = pair.RunsOf(id);
      CHECK(runs <= 1);
      const bool is_promise =
          status == 503 || status == 429 || status == 421 || status == 408;
      CHECK((!is_promise || runs == 0));
      served += status == 200 ? 1 : 0;
    }
    CHECK(served > 0);
  }
  // The operator sees that such refusals came; the requests that they were
  // taken for may be repeated.
  CHECK(pair.Refusals("later") > 0);
  CHECK(pair.Refusals("first") == 0);
}

TEST_CASE("a request whose own answer never comes is not called unrun") {
  Pair pair(31840, "unnamed-refusal-hang");
  pair.SendAll("warm");
  for (int node = 0; node < 2; ++node) {
    pair.cluster.Instance(node).SetStrayBytes(
        MakeAnswer(503, "Not-Executed: 1\r\n", ""));
    pair.cluster.Instance(node).SetFault(InstanceFault::kHang);
  }
  for (int i = 0; i < 4; ++i) {
    const std::string id = "hang" + std::to_string(i);
    const PlainAnswer answer = pair.cluster.Call(
        kFront, "stock.example", "/pay/1", id, "POST", "x", 600);
    CHECK((answer.status == 502 || answer.status == 504));
    CHECK(pair.RunsOf(id) == 1);
  }
}

TEST_CASE("a refusal without an id keeps its promise at a busy target") {
  // The refused requests follow others that were served, so connections to the
  // targets are open and have been used.
  Pair pair(31880, "unnamed-refusal-true");
  for (int round = 0; round < 5; ++round) {
    const std::string name = std::to_string(round) + "-";
    for (int node = 0; node < 2; ++node) {
      pair.cluster.Instance(node).SetFault(InstanceFault::kNone);
    }
    pair.SendAll("served" + name);
    for (int node = 0; node < 2; ++node) {
      pair.cluster.Instance(node).SetFault(InstanceFault::kShed);
    }
    for (int i = 0; i < 5; ++i) {
      const std::string id = "shed" + name + std::to_string(i);
      const PlainAnswer answer =
          pair.cluster.Call(kFront, "stock.example", "/pay/1", id, "POST", "x");
      CHECK(answer.status == 503);
      CHECK(pair.RunsOf(id) == 0);
    }
  }
  CHECK(pair.Refusals("first") > 0);
}

}  // namespace
}  // namespace almondlink::test
