#ifndef ALMONDLINK_TEST_SUPPORT_RELAY_CLUSTER_H_
#define ALMONDLINK_TEST_SUPPORT_RELAY_CLUSTER_H_

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "standins/blocking_http.h"
#include "standins/fake_instance.h"
#include "standins/fake_store.h"
#include "test/support/metrics_text.h"
#include "test/support/process.h"
#include "test/support/relay.h"

namespace almondlink::test {

/// One route of the policy that a test writes.
struct RouteSpec {
  std::string name;
  std::string host;
  std::string prefix;
  std::string service;
  std::string kind = "safe";
  int timeout_ms = 5000;
  int aim_ms = 1000;
  int priority = 1;
  int attempts = 2;
  /// `service:weight` pairs in place of the one service.
  std::vector<std::pair<std::string, int>> split;
  bool is_anonymous = false;
};

/// One client account of the policy that a test writes.
struct AccountSpec {
  std::string name;
  std::vector<std::string> keys;
  std::optional<int> priority;
  /// 0: no limit.
  double per_s = 0;
  double burst = 0;
};

/// An instance with its usual behaviour.
standins::FakeInstance::Spec Spec(const std::string& id,
                                  const std::string& service);

/// The operator's configuration with these routes.
std::string MakeConfig(std::uint64_t version,
                       const std::vector<RouteSpec>& routes);
/// With client accounts.
std::string MakeConfig(std::uint64_t version,
                       const std::vector<RouteSpec>& routes,
                       const std::vector<AccountSpec>& accounts);

/// Relay nodes as processes, each with a stand-in instance beside it, and the
/// stand-in store. Ports from `base_port` on, ten for each node.
class RelayCluster {
 public:
  RelayCluster(int base_port, const std::string& name);
  ~RelayCluster();

  /// From now on nodes reach each other through a relay that can be disturbed.
  void UseProxies() { this->has_proxies = true; }
  Relay& Proxy(int node) { return *this->nodes[Index(node)].proxy; }

  /// Lines of the section [relay] of nodes that are added later.
  void SetRelay(std::string lines) { this->relay = std::move(lines); }
  /// The same of the section [decisions].
  void SetDecisions(std::string lines) { this->decisions = std::move(lines); }

  /// Adds a node and its instance; `spec` needs id and service, the ports are
  /// filled in. Returns its number.
  int Add(standins::FakeInstance::Spec spec,
          const std::string& zone = "zone-a");
  void StartNode(int node);
  Process& Node(int node) { return *this->nodes[Index(node)].process; }
  standins::FakeInstance& Instance(int node) {
    return *this->nodes[Index(node)].instance;
  }
  /// Starts another instance in place of the one before.
  void ReplaceInstance(int node, const std::string& id, std::uint64_t born = 0);
  /// Ends the instance and its connections.
  void EndInstance(int node) { this->nodes[Index(node)].instance.reset(); }
  standins::FakeStore& Store() { return this->store; }
  int Door(int node) const { return node; }

  /// Path of the health checks in policies that are written from now on.
  void SetHealthPath(std::string path) { this->health_path = std::move(path); }
  void Configure(std::uint64_t version, const std::vector<RouteSpec>& routes);
  void Configure(std::uint64_t version,
                 const std::vector<RouteSpec>& routes,
                 const std::vector<AccountSpec>& accounts);
  /// Waits until every node is ready, knows all others, and each instance has
  /// been seen everywhere.
  void WaitReady();

  /// A request through the node's door for callers.
  standins::PlainAnswer Call(int node,
                             const std::string& host,
                             const std::string& path,
                             const std::string& id,
                             const std::string& method = "GET",
                             const std::string& body = "",
                             int left_ms = 5000);
  /// A request with these fields besides, on a connection of its own.
  standins::PlainAnswer CallWith(
      int node,
      const std::string& host,
      const std::string& path,
      const std::string& id,
      const std::map<std::string, std::string>& fields);
  standins::PlainAnswer Ready(int node);
  /// One figure of the metrics without labels, or nothing.
  std::optional<double> Metric(int node, const std::string& name);
  /// All of them, read strictly.
  MetricsText Metrics(int node);
  int CallerPort(int node) const { return this->PortOf(node, 0); }
  int MetricsPort(int node) const;
  /// Where the instance beside the node reports itself.
  int ReportPort(int node) const;

  std::string SettingsPath(int node) const;
  std::string LogPath(int node) const;
  int PeerPort(int node) const;
  /// `relay`: further lines of the section [relay].
  void WriteSettings(int node,
                     const std::string& service,
                     const std::string& relay = "");

 private:
  struct Entry {
    standins::FakeInstance::Spec spec;
    std::string zone;
    std::unique_ptr<standins::FakeInstance> instance;
    std::unique_ptr<Process> process;
    std::unique_ptr<Relay> proxy;
  };
  /// The configuration with the services of the routes and of the instances.
  std::string WithServices(const std::string& config,
                           const std::vector<RouteSpec>& routes) const;
  static std::size_t Index(int node) { return static_cast<std::size_t>(node); }
  int PortOf(int node, int offset) const {
    return this->base_port + node * 10 + offset;
  }

  int base_port;
  bool has_proxies = false;
  std::string relay;
  std::string decisions;
  std::string health_path = "/health";
  std::string folder;
  standins::FakeStore store;
  std::vector<Entry> nodes;
};

/// Looks every few milliseconds until `holds` or ten seconds have passed.
template <typename Condition>
bool Soon(const Condition& holds) {
  for (int i = 0; i < 2000; ++i) {
    if (holds()) {
      return true;
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
  return holds();
}

}  // namespace almondlink::test

#endif  // ALMONDLINK_TEST_SUPPORT_RELAY_CLUSTER_H_
