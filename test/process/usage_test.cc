#include <signal.h>
#include <catch2/catch.hpp>

#include <fstream>
#include <map>

#include "test/support/cluster.h"

/// Metering against the callers' own counts.
namespace almondlink::test {
namespace {

using standins::PlainAnswer;
using standins::PlainRequest;

/// What callers counted, by operation.
struct Counts {
  std::uint64_t served = 0;
  std::uint64_t not_run = 0;
  std::uint64_t unknown = 0;
};
using CountsByOperation = std::map<std::string, Counts>;

void Count(const PlainAnswer& answer, Counts& counts) {
  const std::string verdict = answer.Header("almondlink-verdict");
  counts.served += verdict == "answered" ? 1 : 0;
  counts.not_run += verdict == "not-run" ? 1 : 0;
  counts.unknown += verdict == "outcome-unknown" ? 1 : 0;
}

nlohmann::json Usage(Cluster& cluster) {
  std::string output;
  REQUIRE(cluster.Tool({"usage", "--team=walk-ins", "--format=json"}, output) ==
          0);
  return nlohmann::json::parse(output);
}

bool Agrees(Cluster& cluster, const CountsByOperation& counts) {
  CountsByOperation metered;
  const nlohmann::json usage = Usage(cluster);
  for (const nlohmann::json& cell : usage["cells"]) {
    Counts& sum = metered[cell["operation"].get<std::string>()];
    sum.served += cell["served"].get<std::uint64_t>();
    sum.not_run += cell["not_run"].get<std::uint64_t>();
    sum.unknown += cell["unknown"].get<std::uint64_t>();
  }
  for (const auto& [operation, expected] : counts) {
    const Counts& sum = metered[operation];
    UNSCOPED_INFO(operation << " metered " << sum.served << " " << sum.not_run
                            << " " << sum.unknown << " counted "
                            << expected.served << " " << expected.not_run << " "
                            << expected.unknown);
    if (sum.served != expected.served || sum.not_run != expected.not_run ||
        sum.unknown != expected.unknown) {
      return false;
    }
  }
  return true;
}

struct Shop {
  Cluster cluster;
  Instance* shop = nullptr;
  Instance* entry = nullptr;
  CountsByOperation counts;

  Shop(int port, const std::string& name) : cluster(port, name) {
    this->cluster.StartLog();
    this->shop = &this->cluster.Add({"shop-1", "zone-a", "shop"});
    this->entry = &this->cluster.Add({"stock-1", "zone-b", "stock"});
    this->cluster.Release(ShopBundle(1));
    this->cluster.WaitReady(2);
  }

  void Send(int items, int orders) {
    for (int i = 0; i < items; ++i) {
      PlainRequest request = MakeRequest("GET", "shop", "/items/1", "u");
      request.headers["Almondlink-Timeout-Ms"] = "500";
      Count(this->cluster.Call(*this->entry, request), this->counts["item"]);
    }
    for (int i = 0; i < orders; ++i) {
      PlainRequest request = MakeRequest("POST", "shop", "/orders/1", "u");
      request.headers["Idempotency-Key"] = FreshKey();
      request.headers["Almondlink-Timeout-Ms"] = "500";
      Count(this->cluster.Call(*this->entry, request), this->counts["order"]);
    }
  }
};

TEST_CASE("usage agrees with the callers' counts, whatever the log does") {
  Shop shop(23200, "usage");
  shop.Send(20, 5);
  // Lost append answers: records are in the log, some twice.
  shop.cluster.SetLogFault("lose");
  shop.Send(10, 3);
  REQUIRE(Eventually([&]() { return Agrees(shop.cluster, shop.counts); }));
  // Refusals and unknown outcomes.
  shop.cluster.SetLogFault("none");
  shop.cluster.SetTargetFault(*shop.shop, "close-run");
  shop.Send(4, 2);
  shop.cluster.SetTargetFault(*shop.shop, "refuse");
  shop.Send(3, 2);
  REQUIRE(shop.counts["item"].unknown == 4);
  REQUIRE(shop.counts["order"].not_run >= 2);
  // An outage: counts come later, none is lost.
  shop.cluster.SetTargetFault(*shop.shop, "none");
  shop.cluster.SetLogFault("down");
  shop.Send(7, 0);
  shop.cluster.SetLogFault("none");
  REQUIRE(Eventually([&]() { return Agrees(shop.cluster, shop.counts); }));
}

TEST_CASE("a planned stop loses no count, a crash at most the last interval") {
  Shop shop(23220, "usage-crash");
  shop.Send(15, 0);
  shop.entry->node->Signal(SIGTERM);
  REQUIRE(shop.entry->node->Wait() == 0);
  REQUIRE(Agrees(shop.cluster, shop.counts));
  shop.cluster.StartNode(*shop.entry);
  shop.cluster.WaitReady(2);
  shop.Send(15, 0);
  REQUIRE(Eventually([&]() { return Agrees(shop.cluster, shop.counts); }));
  shop.Send(5, 0);
  shop.entry->node->Kill();
  const nlohmann::json usage = Usage(shop.cluster);
  std::uint64_t served = 0;
  for (const nlohmann::json& cell : usage["cells"]) {
    served += cell["served"].get<std::uint64_t>();
  }
  REQUIRE(served >= 30);
  REQUIRE(served <= 35);
  // Shown as an incarnation without a final record.
  bool is_shown = false;
  for (const nlohmann::json& source : usage["unfinished"]) {
    is_shown |= source.get<std::string>().rfind("stock-1/", 0) == 0;
  }
  REQUIRE(is_shown);
}

TEST_CASE("a node records its calls as a trace that can be replayed") {
  Cluster cluster(23240, "usage-trace");
  cluster.StartLog();
  cluster.Add({"shop-1", "zone-a", "shop"});
  InstanceSpec spec{"stock-1", "zone-b", "stock"};
  const std::string path =
      std::string(ALMONDLINK_BUILD_DIR) + "/test-run/usage-trace/calls.jsonl";
  spec.extra["[logging]"] = "trace_file = " + path;
  const Instance& entry = cluster.Add(spec);
  cluster.Release(ShopBundle(1));
  cluster.WaitReady(2);
  standins::BlockingHttp admin(
      {"127.0.0.1", static_cast<std::uint16_t>(entry.port + 2)});
  PlainRequest request;
  request.method = "POST";
  request.target = "/trace/start";
  REQUIRE(admin.Send(request).status == 200);
  for (int i = 0; i < 10; ++i) {
    cluster.Call(entry, MakeRequest("GET", "shop", "/items/1", "t"));
  }
  request.target = "/trace/stop";
  REQUIRE(admin.Send(request).status == 200);
  std::ifstream in(path);
  std::string trace =
      "{\"type\":\"deployment\",\"bundle\":\"" + cluster.BundlePath() +
      "\",\"duration_ms\":9000,\"zones\":[\"a\"]}\n"
      "{\"type\":\"service\",\"name\":\"shop\",\"instances\":1,\"slots\":4,"
      "\"work_ms\":1}\n"
      "{\"type\":\"expect\",\"figure\":\"whole_share\",\"at_least\":1}\n";
  std::string line;
  int lines = 0;
  while (std::getline(in, line)) {
    trace += line + "\n";
    ++lines;
  }
  REQUIRE(lines == 10);
  std::ofstream(path) << trace;
  std::string output;
  const std::string tool =
      std::string(ALMONDLINK_BUILD_DIR) + "/almondlink/almondlink";
  REQUIRE(RunCommand({tool, "replay", path}, output) == 0);
  // A statement that does not hold is shown with its line.
  std::ofstream(path, std::ios::app)
      << "{\"type\":\"expect\",\"figure\":\"whole_share\",\"at_most\":0.5}\n";
  output.clear();
  REQUIRE(RunCommand({tool, "replay", path}, output) == 7);
  REQUIRE(output.find("calls.jsonl:14: whole_share is 1, stated at most 0.5") !=
          std::string::npos);
}

}  // namespace
}  // namespace almondlink::test
