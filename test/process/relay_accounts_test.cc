#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <fstream>
#include <sstream>
#include <thread>

#include "test/support/relay_cluster.h"

/// API keys, client accounts and their quotas, on processes.
namespace almondlink::test {
namespace {

using standins::FakeInstance;
using standins::InstanceFault;
using standins::PlainAnswer;
using standins::SeenRequest;
using standins::StoreFault;

const std::vector<RouteSpec> kRoutes = {
    {"stock", "stock.example", "/stock/", "stock"},
    {"open",
     "stock.example",
     "/open/",
     "stock",
     "safe",
     5000,
     1000,
     1,
     2,
     {},
     true},
    {"shop", "shop.example", "/shop/", "shop"}};

std::map<std::string, std::string> Key(const std::string& key) {
  return {{"Authorization", "Bearer " + key}};
}

unsigned Ask(RelayCluster& cluster,
             int node,
             const std::string& id,
             const std::map<std::string, std::string>& fields) {
  return cluster.CallWith(node, "stock.example", "/stock/1", id, fields).status;
}

/// What the instance got of a request; fails if it got nothing.
SeenRequest SeenOf(FakeInstance& instance, const std::string& id) {
  for (const SeenRequest& seen : instance.Seen()) {
    if (seen.id == id) {
      return seen;
    }
  }
  FAIL("not seen: " << id);
  return {};
}

std::string TextOf(const std::string& path) {
  std::ifstream in(path);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

TEST_CASE("a key names the account that the target is told, on all ways") {
  RelayCluster cluster(27600, "accounts-ways");
  cluster.Add(Spec("i-a", "stock"));
  FakeInstance::Spec shop = Spec("i-b", "shop");
  shop.calls = {{"stock.example", "/stock/9"}};
  cluster.Add(shop);
  cluster.Configure(
      1, kRoutes,
      {{"north", {"secret-n1", "secret-n2"}}, {"south", {"secret-s"}}});
  cluster.WaitReady();
  FakeInstance& stock = cluster.Instance(0);

  // Beside the target and on another host; forged names change nothing.
  REQUIRE(Ask(cluster, 0, "own", Key("secret-n1")) == 200);
  std::map<std::string, std::string> forged = Key("secret-n2");
  forged["Tenant"] = "south";
  REQUIRE(Ask(cluster, 1, "far", forged) == 200);
  REQUIRE(SeenOf(stock, "own").account == "north");
  REQUIRE(SeenOf(stock, "far").account == "north");
  REQUIRE(SeenOf(stock, "far").credentials.empty());

  // Without a key only where the route needs none.
  REQUIRE(cluster
              .CallWith(1, "stock.example", "/open/1", "open",
                        {{"Tenant", "south"}})
              .status == 200);
  REQUIRE(SeenOf(stock, "open").account.empty());
  REQUIRE(
      cluster.CallWith(1, "stock.example", "/open/1", "open-key", Key("wrong"))
          .status == 200);
  REQUIRE(SeenOf(stock, "open-key").credentials.empty());

  // A call of a run needs none, and its target is told none.
  REQUIRE(
      cluster.CallWith(1, "shop.example", "/shop/1", "root", Key("secret-s"))
          .status == 200);
  REQUIRE(SeenOf(cluster.Instance(1), "root").account == "south");
  REQUIRE(SeenOf(stock, "root.1").account.empty());

  // Refused by what is wrong with it.
  const PlainAnswer unknown = cluster.CallWith(1, "stock.example", "/stock/1",
                                               "unknown", Key("secret-x"));
  REQUIRE(unknown.status == 401);
  REQUIRE(unknown.Header("www-authenticate").find("invalid_token") !=
          std::string::npos);
  REQUIRE(Ask(cluster, 0, "none", {}) == 401);
  REQUIRE(Ask(cluster, 0, "basic", {{"Authorization", "Basic x"}}) == 401);
  REQUIRE(Ask(cluster, 0, "bad", {{"Authorization", "Bearer"}}) == 400);
  REQUIRE(Ask(cluster, 0, "forged.call", {}) != 200);
  for (const char* id : {"unknown", "none", "basic", "bad"}) {
    REQUIRE(stock.RunsOf(id) == 0);
  }

  // Keys are in no log and no metric; their fingerprints are.
  std::this_thread::sleep_for(std::chrono::milliseconds(400));
  for (const int node : {0, 1}) {
    const std::string log = TextOf(cluster.LogPath(node));
    REQUIRE(log.find("secret-") == std::string::npos);
    for (const auto& [sample, value] : cluster.Metrics(node).samples) {
      for (const auto& [label, text] : sample.second) {
        REQUIRE(text.find("secret-") == std::string::npos);
      }
    }
  }
  REQUIRE(TextOf(cluster.LogPath(1)).find("unknown-key") != std::string::npos);
}

TEST_CASE("a request that is sent again names its account again") {
  RelayCluster cluster(27630, "accounts-again");
  cluster.Add(Spec("i-a", "stock"));
  cluster.Add(Spec("i-b", "stock"));
  cluster.Configure(1, kRoutes, {{"north", {"secret-n"}}});
  cluster.WaitReady();
  cluster.Instance(0).SetFault(InstanceFault::kShed);
  for (int i = 0; i < 5; ++i) {
    const std::string id = "again-" + std::to_string(i);
    REQUIRE(Ask(cluster, 0, id, Key("secret-n")) == 200);
    REQUIRE(SeenOf(cluster.Instance(1), id).account == "north");
    REQUIRE(SeenOf(cluster.Instance(1), id).credentials.empty());
  }
}

TEST_CASE("a key taken away stops at all nodes, a new one works") {
  RelayCluster cluster(27660, "accounts-revoke");
  cluster.Add(Spec("i-a", "stock"));
  cluster.Add(Spec("i-b", "stock"));
  cluster.Configure(1, kRoutes, {{"north", {"old"}}, {"south", {"s"}}});
  cluster.WaitReady();
  // One connection that stays open all the while.
  standins::BlockingHttp kept(
      {"127.0.0.1", static_cast<std::uint16_t>(cluster.CallerPort(1))});
  standins::PlainRequest request;
  request.target = "/stock/1";
  request.headers = {{"Host", "stock.example"},
                     {"Request-Id", "kept-1"},
                     {"Deadline-Ms", "5000"},
                     {"Authorization", "Bearer old"}};
  REQUIRE(kept.Send(request).status == 200);
  cluster.Configure(2, kRoutes, {{"north", {"new"}}, {"south", {}}});
  REQUIRE(Soon([&]() {
    return Ask(cluster, 0, "n", Key("new")) == 200 &&
           Ask(cluster, 1, "n", Key("new")) == 200;
  }));
  request.headers["Request-Id"] = "kept-2";
  REQUIRE(kept.Send(request).status == 401);
  REQUIRE(Ask(cluster, 0, "o", Key("old")) == 401);
  REQUIRE(Ask(cluster, 0, "s", Key("s")) == 401);

  // A version in which two accounts hold one key is refused whole.
  cluster.Configure(3, kRoutes, {{"north", {"new"}}, {"south", {"x", "new"}}});
  REQUIRE(Soon([&]() {
    return TextOf(cluster.LogPath(0)).find("hold the same key") !=
           std::string::npos;
  }));
  REQUIRE(Ask(cluster, 0, "x", Key("x")) == 401);
  REQUIRE(Ask(cluster, 0, "m", Key("new")) == 200);
  REQUIRE(cluster.Metric(0, "almondlink_policy_version") == 2.0);
}

TEST_CASE("a quota is kept over all nodes together, with a true answer") {
  RelayCluster cluster(27690, "accounts-quota");
  for (const char* id : {"i-a", "i-b", "i-c"}) {
    FakeInstance::Spec spec = Spec(id, "stock");
    spec.capacity = 200;
    cluster.Add(spec);
  }
  cluster.Configure(1, kRoutes,
                    {{"small", {"k"}, 1, 20, 20}, {"free", {"f"}, 1}});
  cluster.WaitReady();
  // The bucket of a lender that has just started fills up.
  std::this_thread::sleep_for(std::chrono::milliseconds(1500));
  const auto begin = std::chrono::steady_clock::now();
  int served = 0;
  int over = 0;
  double longest_wait = 0;
  for (int i = 0; i < 150; ++i) {
    const PlainAnswer answer = cluster.CallWith(
        i % 3, "stock.example", "/stock/1", "q-" + std::to_string(i), Key("k"));
    served += answer.status == 200 ? 1 : 0;
    over += answer.status == 429 ? 1 : 0;
    if (answer.status == 429) {
      REQUIRE_FALSE(answer.Header("retry-after").empty());
      longest_wait =
          std::max(longest_wait, std::stod(answer.Header("retry-after")));
    }
    REQUIRE(Ask(cluster, i % 3, "f-" + std::to_string(i), Key("f")) == 200);
  }
  const std::chrono::duration<double> took =
      std::chrono::steady_clock::now() - begin;
  CAPTURE(served, over, took.count(), longest_wait);
  REQUIRE(served + over == 150);
  // (rate * window + burst) * 1.1 + 20, as the settings have it.
  REQUIRE(served <= (20 * took.count() + 20) * 1.1 + 20);
  REQUIRE(served >= 20);
  const std::string log = TextOf(cluster.LogPath(0)) +
                          TextOf(cluster.LogPath(1)) +
                          TextOf(cluster.LogPath(2));
  if (over > 0) {
    std::this_thread::sleep_for(std::chrono::milliseconds(300));
    REQUIRE(log.find("over-quota") != std::string::npos);
  }
}

TEST_CASE("a node out of touch takes no keys where that is asked of it") {
  RelayCluster cluster(27720, "accounts-strict");
  cluster.Add(Spec("i-a", "stock"));
  cluster.Configure(1, kRoutes, {{"north", {"n"}}});
  cluster.WaitReady();
  cluster.Node(0).Signal(SIGTERM);
  REQUIRE(cluster.Node(0).Wait() == 0);
  cluster.WriteSettings(0, "stock",
                        "strict_revoke = true\nrevoke_after = 1s\n");
  cluster.StartNode(0);
  cluster.WaitReady();
  REQUIRE(Ask(cluster, 0, "in", Key("n")) == 200);
  cluster.Store().SetFaults(StoreFault::kReset);
  // A read that is open is answered once more.
  cluster.Configure(2, kRoutes, {{"north", {"n"}}});
  REQUIRE(Soon([&]() { return Ask(cluster, 0, "out", Key("n")) == 503; }));
  // Not 401: the key may be as good as ever. Routes without a key go on.
  REQUIRE(cluster.CallWith(0, "stock.example", "/open/1", "o", {}).status ==
          200);
  cluster.Store().SetFaults(StoreFault::kNone);
  REQUIRE(Soon([&]() { return Ask(cluster, 0, "back", Key("n")) == 200; }));
}

}  // namespace
}  // namespace almondlink::test
