#include "test/soak/soak.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <fstream>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <random>
#include <thread>
#include <utility>

#include "test/soak/repeat_check.h"
#include "test/support/relay_cluster.h"
#include "test/support/target_notices.h"

namespace almondlink::test {

namespace {

using Clock = std::chrono::steady_clock;
using standins::InstanceFault;
using standins::StoreFault;
using Millis = std::chrono::milliseconds;

/// Callers for each node.
constexpr double kCallersPerNode = 1.7;
/// Policies written one right after the other.
constexpr int kSeries = 5;
/// Time within which a leaving instance must get nothing more, as in the nodes'
/// settings.
constexpr Millis kDrain{2000};
/// Within this time after the first request its answer has been passed on.
constexpr Millis kPassedOn{300};
/// Time for which an instance names a limit or says that it leaves: until the
/// rule binds, and some more.
constexpr Millis kNotice{5200};
/// After the last fault everything is back within this time.
constexpr Millis kRecovery{6000};
constexpr Millis kMeasured{1500};
constexpr double kServedAfter = 0.95;
constexpr int kBodySize = 20;

/// What a caller was told of one request.
struct Told {
  std::string id;
  bool is_unsafe = false;
  unsigned status = 0;
};

/// One soak from its start to its verdict.
class Soak {
 public:
  explicit Soak(const SoakOptions& options_in)
      : options(options_in),
        random(options_in.seed),
        cluster(options_in.base_port,
                "soak-" + std::to_string(options_in.base_port)) {}

  SoakResult Run() {
    this->Build();
    const int many = static_cast<int>(kCallersPerNode * this->options.nodes);
    for (int i = 0; i < many; ++i) {
      this->callers.emplace_back([this, i]() { this->CallLoop(i); });
    }
    this->Disturb();
    this->Restore();
    std::this_thread::sleep_for(kRecovery);
    this->CheckRecovery();
    this->is_stopped = true;
    for (std::thread& caller : this->callers) {
      caller.join();
    }
    this->CheckRuns();
    return std::move(this->result);
  }

 private:
  /// A third each of front, shop (each request calls stock once) and stock.
  void Build() {
    this->cluster.UseProxies();
    if (this->options.has_sums) {
      this->cluster.SetDecisions("direct_nodes = 2\n");
    }
    const std::array<const char*, 3> services = {"front", "shop", "stock"};
    for (int node = 0; node < this->options.nodes; ++node) {
      standins::FakeInstance::Spec spec;
      spec.service = services[static_cast<std::size_t>(node) % services.size()];
      spec.id = this->NextInstance(node);
      spec.work_ms = 5;
      spec.body_size = kBodySize;
      if (spec.service == "shop") {
        spec.calls = {{"soak.example", "/stock/1"}};
      }
      this->service_of[node] = spec.service;
      this->cluster.Add(spec,
                        node < this->options.nodes / 2 ? "zone-a" : "zone-b");
    }
    this->Configure();
    this->cluster.WaitReady();
  }

  void Configure() {
    this->version += 1 + this->Draw(3);
    std::vector<RouteSpec> routes = {
        {"shop", "soak.example", "/shop/", "shop"},
        {"pay", "soak.example", "/pay/", "stock", "unsafe", 5000, 1000, 0},
        {"stock", "soak.example", "/stock/", "stock"}};
    routes.push_back({"v", "soak.example",
                      "/v" + std::to_string(this->version) + "/", "stock"});
    this->cluster.Configure(this->version, routes);
  }

  std::string NextInstance(int node) {
    return this->instance_of[node] = "i-" + std::to_string(node) + "-" +
                                     std::to_string(++this->instances);
  }

  std::uint64_t Draw(std::uint64_t below) {
    return std::uniform_int_distribution<std::uint64_t>(
        0, below - 1)(this->random);
  }

  void Note(const std::string& what) {
    const auto at =
        std::chrono::duration_cast<Millis>(Clock::now() - this->started);
    this->result.events.push_back(std::to_string(at.count()) + " ms " + what);
  }

  void Break(const std::string& what) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->result.broken.push_back(what);
  }

  // ---- traffic ----

  /// Requests one after the other on a connection that is kept until its node
  /// closes it.
  void CallLoop(int caller) {
    const int node = caller % this->options.nodes;
    standins::BlockingHttp client(
        {"127.0.0.1",
         static_cast<std::uint16_t>(this->cluster.CallerPort(node))},
        Millis(7000));
    for (int i = 0; !this->is_stopped; ++i) {
      Told told;
      told.id = std::to_string(caller) + "-" + std::to_string(i);
      told.is_unsafe = i % 3 == 0;
      standins::PlainRequest request;
      request.method = told.is_unsafe ? "POST" : "GET";
      request.target = told.is_unsafe ? "/pay/1"
                       : i % 3 == 1   ? "/shop/1"
                                      : "/stock/1";
      request.headers["Host"] = "soak.example";
      request.headers["Request-Id"] = told.id;
      request.headers["Deadline-Ms"] = "3000";
      const standins::PlainAnswer answer = client.Send(request);
      told.status = answer.status;
      this->Check(told, answer);
      if (answer.status != 200) {
        std::this_thread::sleep_for(Millis(20));
      }
    }
  }

  void Check(const Told& told, const standins::PlainAnswer& answer) {
    if (answer.status == 200) {
      const bool is_whole = answer.body == std::string(kBodySize, 'b') &&
                            answer.Header("request-id") == told.id &&
                            !answer.Header("response-seal").empty();
      if (!is_whole) {
        this->Break("MIXED: " + told.id + " got another answer");
      }
    }
    const std::lock_guard<std::mutex> lock(this->mutex);
    ++(answer.status == 200   ? this->result.answered
       : answer.status == 503 ? this->result.refused
                              : this->result.failed);
    ++(answer.status == 200 ? this->recent_whole : this->recent_other);
    this->told.push_back(told);
  }

  // ---- faults ----

  void Disturb() {
    this->started = Clock::now();
    const auto until =
        this->started + std::chrono::seconds(this->options.seconds);
    while (Clock::now() < until) {
      const int node = static_cast<int>(
          this->Draw(static_cast<std::uint64_t>(this->options.nodes)));
      switch (this->Draw(this->options.kinds)) {
        case 0:
          this->KillNode(node);
          break;
        case 1:
          this->StopNode(node);
          break;
        case 2:
          this->PauseNode(node);
          break;
        case 3:
          this->Note("store fault");
          this->cluster.Store().SetFaults(
              static_cast<StoreFault>(1 + this->Draw(4)));
          break;
        case 4:
          this->Note("store refuses node " + std::to_string(node));
          this->cluster.Store().SetFault(
              node, static_cast<StoreFault>(this->Draw(4)));
          break;
        case 5:
          this->Note("store is whole and forgets");
          this->cluster.Store().SetFaults(StoreFault::kNone);
          this->cluster.Store().Compact("keyed.op");
          break;
        case 6:
          this->FaultInstance(node);
          break;
        case 7:
          this->DrainInstance(node);
          break;
        case 8:
          this->Note("policy " + std::to_string(this->version));
          this->Configure();
          break;
        case 9:
          this->Note("links to node " + std::to_string(node) + " go silent");
          this->Draw(2) == 0 ? this->cluster.Proxy(node).Silence()
                             : this->cluster.Proxy(node).SilenceOneWay();
          break;
        case 10:
          this->Note("links to node " + std::to_string(node) + " are cut");
          this->cluster.Proxy(node).Cut();
          break;
        case 12:
          this->ReloadNode(node);
          break;
        case 13:
          this->KillMany(this->Draw(3) == 0);
          break;
        case 16:
          this->LimitInstance(node);
          break;
        case 17:
          this->SayLeaving(node);
          break;
        case 18:
          this->RefuseUnclearly(node);
          break;
        case 19:
          this->PauseInTurn();
          break;
        case 20:
          this->LeaveAmongKills(node);
          break;
        case 14:
          this->Note("a series of policies");
          for (int i = 0; i < kSeries; ++i) {
            this->Configure();
          }
          break;
        default:
          this->Note("links to node " + std::to_string(node) + " are slow");
          this->cluster.Proxy(node).SetDelay(
              static_cast<int>(this->Draw(3) * 20));
          break;
      }
      std::this_thread::sleep_for(Millis(100 + this->Draw(600)));
    }
  }

  void KillNode(int node) {
    this->Note("kill node " + std::to_string(node));
    this->cluster.Node(node).Kill();
    this->cluster.StartNode(node);
  }

  /// Half of the nodes, or all of them, at the same moment.
  void KillMany(bool is_all) {
    this->Note(is_all ? "kill all nodes" : "kill every second node");
    const int step = is_all ? 1 : 2;
    for (int node = 0; node < this->options.nodes; node += step) {
      this->cluster.Node(node).Kill();
    }
    for (int node = 0; node < this->options.nodes; node += step) {
      this->cluster.StartNode(node);
    }
  }

  /// The settings file changes, at times to one with a fault, with or without a
  /// signal. Nothing in flight is touched and the node goes on.
  void ReloadNode(int node) {
    const bool is_faulty = this->Draw(3) == 0;
    this->Note("settings of node " + std::to_string(node) + " change" +
               (is_faulty ? ", with a fault" : ""));
    this->cluster.WriteSettings(node, this->service_of[node]);
    if (is_faulty) {
      std::ofstream(this->cluster.SettingsPath(node), std::ios::app)
          << "[relay\nenabled = perhaps\n";
    }
    if (this->Draw(2) == 0) {
      this->cluster.Node(node).Signal(SIGHUP);
    }
    if (is_faulty) {
      std::this_thread::sleep_for(Millis(1200));
      this->cluster.WriteSettings(node, this->service_of[node]);
    }
  }

  void StopNode(int node) {
    this->Note("stop node " + std::to_string(node));
    this->cluster.Node(node).Signal(SIGTERM);
    const int code = this->cluster.Node(node).Wait();
    if (code != 0) {
      this->Break("EXIT: node " + std::to_string(node) + " stopped with " +
                  std::to_string(code));
    }
    this->cluster.StartNode(node);
  }

  void PauseNode(int node) {
    this->Note("pause node " + std::to_string(node));
    this->cluster.Node(node).Signal(SIGSTOP);
    std::this_thread::sleep_for(Millis(200 + this->Draw(1500)));
    this->cluster.Node(node).Signal(SIGCONT);
  }

  void FaultInstance(int node) {
    const auto fault = static_cast<InstanceFault>(this->Draw(7));
    this->Note("instance " + std::to_string(node) + " fault " +
               std::to_string(static_cast<int>(fault)));
    this->cluster.Instance(node).SetFault(fault);
  }

  /// The instances of a service refuse, with or without the id, at times twice,
  /// and send refusals that belong to no request on used connections.
  void RefuseUnclearly(int node) {
    constexpr std::array<InstanceFault, 4> kFaults = {
        InstanceFault::kNone, InstanceFault::kShed, InstanceFault::kShedTwice,
        InstanceFault::kShedNamedTwice};
    const std::array<std::string, 4> strays = {
        "", standins::MakeAnswer(503, "Not-Executed: 1\r\n", ""),
        standins::MakeAnswer(400, "Not-Executed: 1\r\n", ""),
        standins::MakeAnswer(421, "", "")};
    const std::size_t fault = this->Draw(kFaults.size());
    const std::size_t stray = this->Draw(strays.size());
    this->Note("instances of " + this->service_of[node] + " refuse, fault " +
               std::to_string(fault) + ", stray " + std::to_string(stray));
    for (const auto& [other, service] : this->service_of) {
      if (service == this->service_of[node]) {
        this->cluster.Instance(other).SetFault(kFaults[fault]);
        this->cluster.Instance(other).SetStrayBytes(strays[stray]);
      }
    }
  }

  /// Short pauses of the nodes, one after the other.
  void PauseInTurn() {
    this->Note("all nodes pause in turn");
    for (int node = 0; node < this->options.nodes; ++node) {
      this->cluster.Node(node).Signal(SIGSTOP);
      std::this_thread::sleep_for(Millis(10 + this->Draw(490)));
      this->cluster.Node(node).Signal(SIGCONT);
    }
  }

  /// The instance leaves, serves on for a while, and another takes its place.
  void DrainInstance(int node) {
    this->Note("instance " + std::to_string(node) + " leaves");
    standins::FakeInstance& leaving = this->cluster.Instance(node);
    leaving.SetReports(false);
    const unsigned status = this->Draw(2) == 0
                                ? leaving.Report("draining", 1'000'000)
                                : leaving.Leave();
    const auto acknowledged = Clock::now();
    std::this_thread::sleep_for(kDrain + Millis(300));
    if (status == 200) {
      for (const standins::SeenRequest& seen : leaving.Seen()) {
        if (seen.at > acknowledged + kDrain) {
          this->Break("DRAIN: " + seen.id + " reached a leaving instance");
        }
      }
    }
    this->Collect(node);
    this->cluster.ReplaceInstance(node, this->NextInstance(node));
  }

  /// The instance leaves, nodes are killed, and a report from before the leave
  /// arrives late. The store is whole: without it an acknowledged leave may be
  /// lost with all nodes.
  void LeaveAmongKills(int node) {
    this->Note("instance " + std::to_string(node) + " leaves among kills");
    this->cluster.Store().SetFaults(StoreFault::kNone);
    standins::FakeInstance& leaving = this->cluster.Instance(node);
    leaving.SetReports(false);
    const unsigned status = leaving.Leave();
    const auto acknowledged = Clock::now();
    for (std::uint64_t kills = 1 + this->Draw(3); kills > 0; --kills) {
      this->Draw(3) == 0 ? this->KillMany(this->Draw(2) == 0)
                         : this->KillNode(node);
      std::this_thread::sleep_for(Millis(this->Draw(400)));
    }
    leaving.Report("ready", 999'999);
    std::this_thread::sleep_for(kDrain + Millis(500));
    if (status == 200) {
      for (const standins::SeenRequest& seen : leaving.Seen()) {
        if (seen.at > acknowledged + kDrain) {
          this->Break("DRAIN: " + seen.id + " reached an instance that left");
        }
      }
    }
    this->Collect(node);
    this->cluster.ReplaceInstance(node, this->NextInstance(node));
  }

  /// The instance names a limit in its answers for a while.
  void LimitInstance(int node) {
    const auto per_s = static_cast<double>(1 + this->Draw(10));
    this->Note("instance " + std::to_string(node) + " names a limit of " +
               std::to_string(per_s));
    standins::FakeInstance& limited = this->cluster.Instance(node);
    limited.SetFault(InstanceFault::kNone);
    limited.SetRateLimit(std::to_string(per_s));
    const NamedRate named{this->instance_of[node], per_s, Clock::now()};
    std::this_thread::sleep_for(kNotice);
    const int over = ArrivalsOverLimit(named, limited.Seen());
    if (over > 0) {
      this->Break("LIMIT: " + std::to_string(over) + " requests too many at " +
                  named.instance);
    }
    limited.SetRateLimit("");
  }

  /// The instance says that it leaves in its answers only, and another takes
  /// its place.
  void SayLeaving(int node) {
    this->Note("instance " + std::to_string(node) + " says that it leaves");
    standins::FakeInstance& leaving = this->cluster.Instance(node);
    leaving.SetFault(InstanceFault::kNone);
    const auto since = Clock::now();
    leaving.SetSaysLeaving(true);
    std::this_thread::sleep_for(kNotice);
    std::optional<Clock::time_point> first;
    for (const standins::SeenRequest& seen : leaving.Seen()) {
      if (seen.at >= since) {
        first = std::min(seen.at, first.value_or(seen.at));
      }
    }
    for (const standins::SeenRequest& seen : leaving.Seen()) {
      if (first.has_value() && seen.at > *first + kPassedOn + kDrain) {
        this->Break("DRAIN: " + seen.id +
                    " reached an instance that says that it leaves");
      }
    }
    this->Collect(node);
    this->cluster.ReplaceInstance(node, this->NextInstance(node));
  }

  void Restore() {
    this->Note("everything is whole again");
    this->cluster.Store().SetFaults(StoreFault::kNone);
    for (int node = 0; node < this->options.nodes; ++node) {
      this->cluster.Proxy(node).SetDelay(0);
      this->cluster.Instance(node).SetFault(InstanceFault::kNone);
      this->cluster.Instance(node).SetStrayBytes("");
    }
    this->Configure();
  }

  // ---- checks ----

  void CheckRecovery() {
    for (int node = 0; node < this->options.nodes; ++node) {
      const double version =
          this->cluster.Metric(node, "almondlink_policy_version").value_or(-1);
      if (version != static_cast<double>(this->version)) {
        this->Break("CONFIG: node " + std::to_string(node) +
                    " has policy version " + std::to_string(version));
      }
    }
    {
      const std::lock_guard<std::mutex> lock(this->mutex);
      this->recent_whole = 0;
      this->recent_other = 0;
    }
    std::this_thread::sleep_for(kMeasured);
    const std::lock_guard<std::mutex> lock(this->mutex);
    const int all = this->recent_whole + this->recent_other;
    if (this->recent_whole < kServedAfter * all || all == 0) {
      this->result.broken.push_back(
          "RECOVER: " + std::to_string(this->recent_whole) + " of " +
          std::to_string(all) + " whole after the last fault");
    }
  }

  /// Takes over what an instance saw before it goes.
  void Collect(int node) {
    for (const standins::SeenRequest& seen :
         this->cluster.Instance(node).Seen()) {
      ++this->runs[seen.id];
      this->arrivals[this->service_of[node]].emplace_back(seen.at, seen.id);
      const bool is_stock = this->service_of[node] == "stock";
      const bool is_allowed = seen.target == "/shop/1"
                                  ? this->service_of[node] == "shop"
                                  : is_stock;
      if (!is_allowed) {
        this->Break("ROUTE: " + seen.id + " ran at " + this->service_of[node]);
      }
    }
  }

  void CheckRuns() {
    for (int node = 0; node < this->options.nodes; ++node) {
      this->Collect(node);
    }
    for (auto& [service, all] : this->arrivals) {
      const RepeatCheck check = CheckRepeats(std::move(all));
      this->result.repeats += check.repeats;
      if (check.is_broken) {
        this->Break("BUDGET: " + std::to_string(check.worst_repeats) +
                    " repeats at " + service + " for " +
                    std::to_string(check.worst_requests) + " requests");
      }
    }
    for (const Told& entry : this->told) {
      const int runs = this->runs[entry.id];
      if (entry.is_unsafe && runs > 1) {
        this->Break("TWICE: " + entry.id + " ran " + std::to_string(runs));
      }
      if (entry.is_unsafe && entry.status == 503 && runs > 0) {
        this->Break("REFUSED: " + entry.id + " was told not run and ran");
      }
    }
  }

  SoakOptions options;
  std::mt19937_64 random;
  RelayCluster cluster;
  SoakResult result;
  Clock::time_point started = Clock::now();
  std::map<int, std::string> service_of;
  std::map<int, std::string> instance_of;
  std::map<std::string, int> runs;
  /// What reached the targets of each service.
  std::map<std::string, std::vector<Arrival>> arrivals;
  std::vector<Told> told;
  std::vector<std::thread> callers;
  std::mutex mutex;
  std::atomic<bool> is_stopped{false};
  std::uint64_t version = 0;
  int instances = 0;
  int recent_whole = 0;
  int recent_other = 0;
};

}  // namespace

SoakResult RunSoak(const SoakOptions& options) {
  Soak soak(options);
  return soak.Run();
}

}  // namespace almondlink::test
