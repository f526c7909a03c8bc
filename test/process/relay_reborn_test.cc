#include <signal.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>
#include <fstream>
#include <thread>

#include "almondlink/relay/peer_frames.h"
#include "test/support/relay_cluster.h"

/// Instances and nodes that start again under the name that they had, and
/// reports that cannot be read.
namespace almondlink::test {
namespace {

using standins::FakeInstance;

const std::vector<RouteSpec> kRoutes = {
    {"stock", "stock.example", "/stock/", "stock"},
    {"pay", "stock.example", "/pay/", "stock", "unsafe"}};

FakeInstance::Spec Born(const std::string& id, std::uint64_t born) {
  FakeInstance::Spec spec = Spec(id, "stock");
  spec.born = born;
  return spec;
}

/// Whether the node's log has a line with both texts.
bool HasLine(const std::string& path,
             const std::string& first,
             const std::string& second) {
  std::ifstream file(path);
  std::string line;
  while (std::getline(file, line)) {
    if (line.find(first) != std::string::npos &&
        line.find(second) != std::string::npos) {
      return true;
    }
  }
  return false;
}

/// A report of the start 1000, whatever its values.
std::string ReportOf(const std::string& service,
                     const std::string& capacity,
                     const std::string& state) {
  return R"({"address":"127.0.0.1:1","zone":"z","version":"v","service":")" +
         service + R"(","capacity":)" + capacity + R"(,"state":")" + state +
         R"(","coldLeftMs":0,"sequence":9000,"born":1000})";
}

int Whole(RelayCluster& cluster, int node, int count, const char* name) {
  int whole = 0;
  for (int i = 0; i < count; ++i) {
    const std::string id = std::string(name) + std::to_string(i);
    whole += cluster.Call(node, "stock.example", "/stock/1", id).status == 200
                 ? 1
                 : 0;
  }
  return whole;
}

TEST_CASE("an instance that left serves again after it started again") {
  RelayCluster cluster(27000, "reborn-left");
  cluster.Add(Born("i-a", 1000));
  cluster.Add(Spec("i-front", "front"));
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
  REQUIRE(Whole(cluster, 1, 5, "before") == 5);
  cluster.Instance(0).SetReports(false);
  // Its counts were high; those of the next start are low.
  REQUIRE(cluster.Instance(0).Report("ready", 5000) == 200);
  REQUIRE(cluster.Instance(0).Leave() == 200);
  REQUIRE(Soon(
      [&]() { return cluster.Metric(1, "almondlink_open_targets") == 1.0; }));
  cluster.ReplaceInstance(0, "i-a", 2000);
  REQUIRE(Soon(
      [&]() { return cluster.Metric(1, "almondlink_open_targets") == 2.0; }));
  REQUIRE(Whole(cluster, 1, 5, "after") == 5);
  // Late words of the start before: acknowledged, and of no effect.
  REQUIRE(cluster.Instance(0).ReportBytes("leave", R"({"born":1000})") == 200);
  REQUIRE(Whole(cluster, 1, 5, "late") == 5);
  REQUIRE(Soon([&]() {
    return HasLine(cluster.LogPath(0), "\"instance\"", "\"born\":\"2000\"");
  }));
}

TEST_CASE("calls in work at the start before end as may have run") {
  RelayCluster cluster(27030, "reborn-crash");
  cluster.Add(Born("i-a", 1000));
  cluster.Add(Spec("i-front", "front"));
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
  cluster.Instance(0).SetFault(standins::InstanceFault::kHang);
  std::atomic<unsigned> status{0};
  std::thread caller([&]() {
    status =
        cluster.Call(1, "stock.example", "/pay/1", "once", "POST", "", 20'000)
            .status;
  });
  REQUIRE(Soon([&]() { return cluster.Instance(0).RunsOf("once") == 1; }));
  cluster.Instance(0).SetReports(false);
  // The next start reports while the connection of the old one is still open.
  REQUIRE(cluster.Instance(0).ReportBytes(
              "heartbeat",
              R"({"service":"stock","address":"127.0.0.1:1","zone":"zone-a",)"
              R"("version":"v1","capacity":16,"state":"ready","coldLeftMs":0,)"
              R"("sequence":1,"born":2000})") == 200);
  REQUIRE(Soon([&]() { return status != 0; }));
  caller.join();
  REQUIRE(status == 502);
  REQUIRE(cluster.Instance(0).RunsOf("once") == 1);
}

TEST_CASE("a node that restarts between two starts serves the later one") {
  RelayCluster cluster(27060, "reborn-node");
  cluster.Add(Born("i-a", 1000));
  cluster.Add(Spec("i-front", "front"));
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
  cluster.Instance(0).SetReports(false);
  REQUIRE(cluster.Instance(0).Leave() == 200);
  cluster.Node(0).Kill();
  cluster.StartNode(0);
  REQUIRE(Soon([&]() {
    return cluster.Ready(0).status == 200 &&
           cluster.Metric(0, "almondlink_peers") == 2.0;
  }));
  // Late, from before the leave: peers remember that this start left.
  REQUIRE(cluster.Instance(0).Report("ready", 6000) == 200);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  REQUIRE(cluster.Metric(1, "almondlink_open_targets") == 1.0);
  cluster.ReplaceInstance(0, "i-a", 2000);
  REQUIRE(Soon(
      [&]() { return cluster.Metric(1, "almondlink_open_targets") == 2.0; }));
  REQUIRE(Whole(cluster, 1, 5, "after") == 5);
}

TEST_CASE("reports that cannot be read change nothing and are counted") {
  RelayCluster cluster(27090, "unreadable");
  cluster.Add(Born("i-a", 1000));
  cluster.Add(Spec("i-front", "front"));
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
  const std::vector<std::string> bodies = {
      "", "{}", "\xff\xfe", "[1]", ReportOf("stock", "-1", "ready"),
      ReportOf("stock", "5", "gone"),
      // Of the start that is known, but of another service.
      ReportOf("other", "5", "draining")};
  for (const std::string& body : bodies) {
    REQUIRE(cluster.Instance(0).ReportBytes("heartbeat", body) == 400);
  }
  REQUIRE(cluster.Instance(0).ReportBytes("leave", R"({"born":-1})") == 400);
  // Entries of the store that another wrote.
  for (const char* value : {"[", "{}", R"({"address":5,"incarnation":"x"})",
                            R"({"address":"nowhere","incarnation":1})"}) {
    cluster.Store().Put("keyed.almondlink-nodes", std::string("stray") + value,
                        value);
  }
  cluster.Store().Put("keyed.op", "config", R"({"version":-5,"routes":7})");
  cluster.Configure(3, kRoutes);
  REQUIRE(Soon(
      [&]() { return cluster.Metric(0, "almondlink_policy_version") == 3.0; }));
  REQUIRE(Whole(cluster, 1, 20, "after") == 20);
  REQUIRE(cluster.Metric(1, "almondlink_open_targets") == 2.0);
  const MetricsText metrics = cluster.Metrics(0);
  REQUIRE(metrics.samples.at(
              {"almondlink_entries_refused_total", {{"from", "report"}}}) ==
          static_cast<double>(bodies.size() + 1));
  // By whichever node reads the store for both at that moment.
  const auto count_refused = [&cluster](int node) {
    return cluster.Metrics(node).Sum("almondlink_entries_refused_total",
                                     {{"from", "configuration"}});
  };
  REQUIRE(count_refused(0) + count_refused(1) >= 1.0);
  REQUIRE(Soon([&]() {
    return HasLine(cluster.LogPath(0), "entry-refused", "capacity: negative");
  }));
  // One that reads the directory anew passes over the stray entries. Of nodes
  // that start together at least one reads it.
  cluster.Node(0).Kill();
  cluster.Node(1).Kill();
  cluster.StartNode(0);
  cluster.StartNode(1);
  cluster.WaitReady();
  REQUIRE(Soon([&]() {
    return HasLine(cluster.LogPath(0), "entry-refused", "directory") ||
           HasLine(cluster.LogPath(1), "entry-refused", "directory");
  }));
}

TEST_CASE("a node whose clock went back is not taken for an earlier start") {
  RelayCluster cluster(27120, "renumbered");
  cluster.Add(Born("i-a", 1000));
  cluster.Configure(1, kRoutes);
  cluster.WaitReady();
  // Another node that has met a start of this one with a higher number.
  const std::uint64_t met = 1ULL << 50;
  relay::HelloFrame hello;
  hello.self = {"node-far", "127.0.0.1:9", 1};
  hello.zone = "zone-b";
  hello.deployment = "test";
  hello.protocol_version = relay::kProtocolVersion;
  hello.known_incarnation = met;
  std::string bytes;
  relay::Append(hello, bytes);
  boost::asio::io_context context;
  boost::asio::ip::tcp::socket socket(context);
  socket.connect({boost::asio::ip::make_address("127.0.0.1"),
                  static_cast<std::uint16_t>(cluster.PeerPort(0))});
  boost::asio::write(socket, boost::asio::buffer(bytes));
  std::string input;
  relay::HelloFrame answer;
  bool is_bad = false;
  while (answer.self.name.empty()) {
    char part[4096];
    const std::size_t size = socket.read_some(boost::asio::buffer(part));
    input.append(part, size);
    const std::optional<relay::RawFrame> frame =
        relay::NextFrame(input, is_bad);
    if (frame.has_value()) {
      REQUIRE(frame->type == relay::FrameType::kHello);
      REQUIRE(relay::Decode(frame->payload, answer));
    }
  }
  REQUIRE(answer.self.name == "node-0");
  REQUIRE(answer.self.incarnation == met + 1);
  REQUIRE(Soon([&]() {
    return HasLine(cluster.LogPath(0), "renumbered", std::to_string(met + 1));
  }));
  // Its record in the store has the number too.
  REQUIRE(Soon([&]() {
    return cluster.Store()
               .Newest("keyed.almondlink-nodes", "node-0")
               .find(std::to_string(met + 1)) != std::string::npos;
  }));
}

}  // namespace
}  // namespace almondlink::test
