#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <cmath>
#include <csignal>
#include <fstream>
#include <functional>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "almondlink/base/hash.h"
#include "almondlink/policy/account_table.h"
#include "test/support/relay_cluster.h"

/// Fair shares among client accounts on processes: a service that is short of
/// capacity, accounts below their part, and one at six times its usual rate
/// over all nodes. Pattern: a random draw within the class takes from all
/// accounts in proportion, 0.3 of the requests of each.
namespace almondlink::test {
namespace {

using Clock = std::chrono::steady_clock;

/// Callers use the first nodes. The others are there to be homes; their
/// targets serve no route.
constexpr int kEntryNodes = 3;
constexpr int kNodes = 5;
constexpr int kHome = 3;
constexpr int kSmallAccounts = 4;
/// Requests per second of each account at each node, as usual.
constexpr double kUsualPerSecond = 4;
constexpr double kSurplus = 6;
/// Two targets with 16 slots each, of which 15 are used, and 350 ms a request:
/// 86 requests per second. The usual 60 fit, the 120 with the surplus do not.
constexpr std::uint32_t kSlots = 16;
constexpr int kWorkMs = 350;
constexpr std::chrono::seconds kSettling{4};
constexpr std::chrono::seconds kObserved{12};
/// Goal of docs/design/lasting-load.md.
constexpr double kMaxLoss = 0.02;

const std::vector<RouteSpec> kRoutes = {{"stock",
                                         "stock.example",
                                         "/stock/",
                                         "stock",
                                         "safe",
                                         5000,
                                         1000,
                                         1,
                                         2,
                                         {}}};

/// The node that all others take for the home of the account.
int HomeOf(const std::string& account) {
  int home = 0;
  std::uint64_t highest = 0;
  for (int node = 0; node < kNodes; ++node) {
    const std::uint64_t rank = StableHash(
        "node-" + std::to_string(node), policy::AccountKeyOf(account).Value());
    if (rank > highest) {
      highest = rank;
      home = node;
    }
  }
  return home;
}

/// Names of accounts whose home is `home`.
std::vector<std::string> NamesAt(int home, int count) {
  std::vector<std::string> names;
  for (int i = 0; static_cast<int>(names.size()) < count; ++i) {
    const std::string name = "account-" + std::to_string(i);
    if (HomeOf(name) == home) {
      names.push_back(name);
    }
  }
  return names;
}

/// Requests of an account, and those answered with 200.
struct Served {
  int requests = 0;
  int served = 0;
  double Share() const {
    return this->requests > 0 ? static_cast<double>(this->served) /
                                    static_cast<double>(this->requests)
                              : 0;
  }
};

struct FairCluster {
  RelayCluster cluster;
  /// The last account is the one with the surplus.
  std::vector<std::string> names = NamesAt(kHome, kSmallAccounts + 1);

  FairCluster(int port, const std::string& name, const std::string& decisions)
      : cluster(port, name) {
    this->cluster.SetDecisions(decisions);
    for (int i = 0; i < kNodes; ++i) {
      standins::FakeInstance::Spec spec =
          Spec("i-" + std::to_string(i), i < 2 ? "stock" : "other");
      spec.capacity = kSlots;
      spec.work_ms = kWorkMs;
      this->cluster.Add(spec);
    }
    std::vector<AccountSpec> accounts;
    for (const std::string& account : this->names) {
      // More than the surplus, so that no quota limits it.
      accounts.push_back({account, {"key-" + account}, 1, 200, 200});
    }
    this->cluster.Configure(1, kRoutes, accounts);
    this->cluster.WaitReady();
  }
};

/// Requests of all accounts at the entry nodes, until destruction.
class AccountLoad {
 public:
  AccountLoad(FairCluster& fair_in, double surplus) : fair(fair_in) {
    this->served.resize(fair.names.size());
    for (std::size_t account = 0; account < fair.names.size(); ++account) {
      const bool is_last = account + 1 == fair.names.size();
      const double per_s = kUsualPerSecond * (is_last ? surplus : 1);
      // Each caller waits for its answer, up to about a second.
      const int callers = static_cast<int>(std::ceil(per_s));
      for (int node = 0; node < kEntryNodes; ++node) {
        for (int caller = 0; caller < callers; ++caller) {
          this->threads.emplace_back(
              [this, account, node, caller, callers, per_s]() {
                this->Run(account, node, caller, callers / per_s, 1 / per_s);
              });
        }
      }
    }
  }
  ~AccountLoad() {
    this->is_stopped = true;
    for (std::thread& thread : this->threads) {
      thread.join();
    }
  }
  AccountLoad(const AccountLoad&) = delete;
  AccountLoad& operator=(const AccountLoad&) = delete;

  /// Counts the requests that are sent from now on.
  void Restart() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->served.assign(this->served.size(), Served());
    this->counted_from = Clock::now();
  }
  /// Requests of the accounts without a surplus.
  Served OfSmall() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    Served sum;
    for (std::size_t i = 0; i + 1 < this->served.size(); ++i) {
      sum.requests += this->served[i].requests;
      sum.served += this->served[i].served;
    }
    return sum;
  }
  Served OfLast() {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->served.back();
  }

 private:
  void Run(std::size_t account,
           int node,
           int caller,
           double interval_s,
           double offset_s) {
    const auto to_duration = [](double seconds) {
      return std::chrono::duration_cast<Clock::duration>(
          std::chrono::duration<double>(seconds));
    };
    const std::string& name = this->fair.names[account];
    Clock::time_point due = Clock::now() + to_duration(offset_s * caller);
    for (int i = 0; !this->is_stopped; ++i, due += to_duration(interval_s)) {
      std::this_thread::sleep_until(due);
      const Clock::time_point sent = Clock::now();
      const unsigned status =
          this->fair.cluster
              .CallWith(node, "stock.example", "/stock/1",
                        name + "-" + std::to_string(node) + "-" +
                            std::to_string(caller) + "-" + std::to_string(i),
                        {{"Authorization", "Bearer key-" + name}})
              .status;
      const std::lock_guard<std::mutex> lock(this->mutex);
      if (sent >= this->counted_from) {
        ++this->served[account].requests;
        this->served[account].served += status == 200 ? 1 : 0;
      }
    }
  }

  FairCluster& fair;
  std::atomic<bool> is_stopped{false};
  std::mutex mutex;
  Clock::time_point counted_from;
  std::vector<Served> served;
  std::vector<std::thread> threads;
};

struct Observed {
  Served small;
  Served last;
};

/// Load with the given surplus of the last account; `disturb` is called when
/// the shares have settled.
Observed Observe(int port,
                 const std::string& name,
                 double surplus,
                 const std::function<void(FairCluster&)>& disturb,
                 const std::string& decisions = "") {
  FairCluster fair(port, name, decisions);
  AccountLoad load(fair, surplus);
  std::this_thread::sleep_for(kSettling);
  load.Restart();
  disturb(fair);
  std::this_thread::sleep_for(kObserved);
  return {load.OfSmall(), load.OfLast()};
}

/// Checks that the accounts below their part lose at most kMaxLoss. About 600
/// requests are observed, whose share has a standard deviation of up to 0.006
/// where 0.98 are served. Three of them are allowed for, so that the check
/// fails by chance once in 700 runs if the loss is kMaxLoss. The bound without
/// sampling error is checked in virtual time (account_fleet_test.cc).
void CheckFair(const Observed& usual, const Observed& loaded) {
  const double deviation =
      std::sqrt((1 - kMaxLoss) * kMaxLoss / loaded.small.requests);
  CAPTURE(usual.small.Share(), usual.last.Share(), loaded.small.Share(),
          loaded.last.Share(), loaded.small.requests, deviation);
  CHECK(usual.small.Share() > 0.9);
  CHECK(loaded.small.Share() >= usual.small.Share() - kMaxLoss - 3 * deviation);
  // The service is short of capacity, or nothing would be shown.
  CHECK(loaded.last.Share() < 0.8);
}

std::string LogsOf(RelayCluster& cluster) {
  std::stringstream text;
  for (int node = 0; node < kNodes; ++node) {
    text << std::ifstream(cluster.LogPath(node)).rdbuf();
  }
  return text.str();
}

TEST_CASE("accounts below their part lose nothing to one with a surplus") {
  const auto leave = [](FairCluster& /*fair*/) {};
  const Observed usual = Observe(18100, "fair-usual", 1, leave);
  std::string logs;
  double refused = 0;
  const Observed loaded =
      Observe(18200, "fair-loaded", kSurplus, [&](FairCluster& fair) {
        std::this_thread::sleep_for(std::chrono::seconds(2));
        logs = LogsOf(fair.cluster);
        for (int node = 0; node < kEntryNodes; ++node) {
          refused += fair.cluster.Metrics(node).Sum(
              "almondlink_account_share_refused_total",
              {{"account", fair.names.back()}});
        }
      });
  CheckFair(usual, loaded);
  // Operators see who was refused and why, and no key.
  CHECK(refused > 0);
  CHECK(logs.find("account-level") != std::string::npos);
  CHECK(logs.find("key-account") == std::string::npos);
}

TEST_CASE("accounts are not told apart where that is switched off") {
  const Observed loaded = Observe(
      18300, "fair-off", kSurplus, [](FairCluster& /*fair*/) {},
      "fair_accounts = false\n");
  CAPTURE(loaded.small.Share(), loaded.last.Share());
  CHECK(loaded.small.Share() < 0.9);
}

TEST_CASE("accounts below their part lose nothing when their home is killed") {
  const auto kill = [](FairCluster& fair) {
    fair.cluster.Node(kHome).Signal(SIGKILL);
  };
  CheckFair(Observe(18400, "fair-kill-usual", 1, kill),
            Observe(18500, "fair-kill", kSurplus, kill));
}

// A suspended node is cut off: its links stay open and carry nothing.
TEST_CASE("accounts below their part lose nothing when their home is cut off") {
  const auto cut_off = [](FairCluster& fair) {
    fair.cluster.Node(kHome).Signal(SIGSTOP);
    std::this_thread::sleep_for(std::chrono::seconds(5));
    fair.cluster.Node(kHome).Signal(SIGCONT);
  };
  CheckFair(Observe(18600, "fair-cut-usual", 1, cut_off),
            Observe(18700, "fair-cut", kSurplus, cut_off));
}

}  // namespace
}  // namespace almondlink::test
