#include <catch2/catch.hpp>
#include <csignal>
#include <fstream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <sstream>
#include <thread>

#include "test/support/relay_cluster.h"

/// docs/OPERATIONS.md: from the id of a failed request to its cause, by the
/// logs of all nodes alone.
namespace almondlink::test {
namespace {

using standins::FakeInstance;
using standins::InstanceFault;

const std::vector<RouteSpec> kRoutes = {
    {"shop", "shop.example", "/shop/", "shop", "safe", 600},
    {"pay", "shop.example", "/pay/", "shop", "unsafe"},
    {"stock", "stock.example", "/stock/", "stock"}};

/// Output of `almondlink explain`, and the line that it marks.
struct Explained {
  int code = 0;
  std::string text;
  std::string deciding;
};

Explained Explain(RelayCluster& cluster, int nodes, const std::string& id) {
  // Lines are written a tenth of a second after the event at the latest.
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  std::vector<std::string> command = {
      std::string(ALMONDLINK_BUILD_DIR) + "/almondlink/almondlink", "explain",
      id, "--logs"};
  for (int node = 0; node < nodes; ++node) {
    command.push_back(cluster.LogPath(node));
  }
  Explained explained;
  explained.code = RunCommand(command, explained.text);
  std::istringstream lines(explained.text);
  std::string line;
  while (std::getline(lines, line)) {
    if (line.rfind("=>", 0) == 0) {
      explained.deciding = line;
    }
  }
  return explained;
}

bool Has(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE("refused under load: the id leads to the share or the full queue") {
  RelayCluster cluster(25500, "explain-load");
  FakeInstance::Spec stock = Spec("i-stock", "stock");
  stock.capacity = 2;
  stock.work_ms = 100;
  cluster.Add(stock);
  cluster.Add(Spec("i-shop", "shop"));
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
  std::mutex mutex;
  std::vector<std::string> refused;
  std::vector<std::thread> callers;
  callers.reserve(60);
  for (int i = 0; i < 60; ++i) {
    callers.emplace_back([&, i]() {
      const std::string id = "load-" + std::to_string(i);
      if (cluster.Call(1, "stock.example", "/stock/1", id).status == 503) {
        const std::lock_guard<std::mutex> lock(mutex);
        refused.push_back(id);
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  REQUIRE_FALSE(refused.empty());
  const Explained explained = Explain(cluster, 2, refused.front());
  REQUIRE(explained.code == 0);
  REQUIRE((Has(explained.deciding, "E600") ||
           Has(explained.deciding, "reason=full")));
}

TEST_CASE("timed out in a deep call: the id leads to the call below") {
  RelayCluster cluster(25530, "explain-deep");
  FakeInstance::Spec shop = Spec("i-shop", "shop");
  shop.calls = {{"stock.example", "/stock/a"}};
  cluster.Add(shop);
  FakeInstance::Spec stock = Spec("i-stock", "stock");
  stock.work_ms = 2500;
  cluster.Add(stock);
  cluster.Add(Spec("i-front", "front"));
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
  // The call and its request end at the same moment: the relay's 504, or the
  // target's own 500 for the call that failed, whichever is first.
  const unsigned status =
      cluster.Call(2, "shop.example", "/shop/1", "deep").status;
  REQUIRE((status == 504 || status == 500));
  // A node that gets no processor time writes its line later.
  REQUIRE(Soon([&cluster]() {
    return Has(Explain(cluster, 3, "deep").text, "request=deep.1 parent=deep ");
  }));
  const Explained explained = Explain(cluster, 3, "deep");
  REQUIRE(explained.code == 0);
  REQUIRE(Has(explained.text, "request=deep "));
  // What decided it is the call that the request waited for: at the node of the
  // service that made it, or at the node beside its target, whichever ended it
  // first. The former's line names the request that it was made for.
  REQUIRE(Has(explained.deciding, "request=deep.1 "));
  REQUIRE(Has(explained.text, "request=deep.1 parent=deep "));
}

TEST_CASE("502 with an unknown outcome: the id leads to the lost answer") {
  RelayCluster cluster(25560, "explain-cut");
  cluster.Add(Spec("i-shop", "shop"));
  cluster.Add(Spec("i-front", "front"));
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
  cluster.Instance(0).SetFault(InstanceFault::kLoseAnswer);
  REQUIRE(
      cluster.Call(1, "shop.example", "/pay/1", "lost", "POST", "x").status ==
      502);
  const Explained explained = Explain(cluster, 2, "lost");
  REQUIRE(explained.code == 0);
  REQUIRE(Has(explained.deciding, "E605"));
  REQUIRE(Has(explained.deciding, "reason=closed"));
  REQUIRE(Has(explained.deciding, "sent=yes"));
  REQUIRE(Has(explained.text, "E602"));
}

TEST_CASE("an id that no line names, and a file that is not there, are said") {
  RelayCluster cluster(25590, "explain-none");
  cluster.Add(Spec("i-shop", "shop"));
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
  const Explained none = Explain(cluster, 1, "nobody");
  REQUIRE(none.code == 1);
  REQUIRE(Has(none.text, "no line names nobody"));
  std::string output;
  REQUIRE(
      RunCommand({std::string(ALMONDLINK_BUILD_DIR) + "/almondlink/almondlink",
                  "explain", "x", "--logs", "/no/such/file"},
                 output) == 3);
  REQUIRE(Has(output, "/no/such/file"));
}

TEST_CASE("every line of a log is one JSON object with its node and event") {
  RelayCluster cluster(25650, "lines");
  cluster.Add(Spec("i-stock", "stock"));
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
  cluster.Call(0, "stock.example", "/none/\"1\\\x01", "odd");
  cluster.Node(0).Signal(SIGTERM);
  REQUIRE(cluster.Node(0).Wait() == 0);
  std::ifstream file(cluster.LogPath(0));
  std::string line;
  int lines = 0;
  std::string last;
  while (std::getline(file, line)) {
    const nlohmann::json json = nlohmann::json::parse(line);
    REQUIRE(json.at("node") == "node-0");
    REQUIRE(json.at("event").is_number());
    REQUIRE(json.at("time").get<std::string>().size() == 24);
    last = json.at("name");
    ++lines;
  }
  REQUIRE(lines >= 4);
  REQUIRE(last == "stopped");
}

}  // namespace
}  // namespace almondlink::test
