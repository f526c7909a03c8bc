#ifndef ALMONDLINK_TEST_SUPPORT_CLUSTER_H_
#define ALMONDLINK_TEST_SUPPORT_CLUSTER_H_

#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

#include "almondlink/policy/signing.h"
#include "standins/blocking_http.h"
#include "test/support/process.h"

namespace almondlink::test {

/// What to start one instance with.
struct InstanceSpec {
  std::string name;
  std::string zone = "zone-a";
  std::string service;
  int slots = 16;
  int work_ms = 1;
  std::string calls = {};
  bool has_log = true;
  /// Extra lines for sections, for example "[mesh]" -> "link_ping = 100ms".
  std::map<std::string, std::string> extra = {};
  /// Without, nothing listens at the target's address.
  bool has_target = true;
  /// The default intervals instead of the short ones of tests.
  bool is_production = false;
  /// Path prefix of requests that end the target.
  std::string deadly = {};
};

/// A target and its node.
struct Instance {
  InstanceSpec spec;
  int port = 0;
  std::unique_ptr<Process> target;
  std::unique_ptr<Process> node;
};

/// A small deployment of real processes on loopback, with short intervals.
class Cluster {
 public:
  /// Ports from `base_port` on; files in a folder of the build.
  explicit Cluster(int base_port, const std::string& name);
  ~Cluster();

  void StartLog();
  /// Starts target and node; does not wait.
  Instance& Add(const InstanceSpec& spec);
  void StartNode(Instance& instance);
  void StartTarget(Instance& instance) const;
  /// Releases `text` with two signatures; waits until each node has it.
  void Release(const std::string& text, std::string* shown = nullptr);
  /// Runs the tool with the flags of this deployment.
  int Tool(std::vector<std::string> arguments, std::string& output);

  Instance& Get(const std::string& name);
  /// Waits until all nodes have a bundle and see `count` living members.
  void WaitReady(std::size_t count);
  /// `/dump` of a node; null if it does not answer.
  nlohmann::json Dump(const Instance& instance);

  standins::BlockingHttp Connect(const Instance& instance) const;
  standins::PlainAnswer Call(const Instance& instance,
                             const standins::PlainRequest& request) const;
  void SetLogFault(const std::string& mode, int ms = 0);
  void TrimLog(const std::string& stream, int below);
  void SetTargetFault(const Instance& instance, const std::string& fault);
  /// Lines of a target's ledger.
  std::vector<std::string> Ledger(const Instance& instance);

  /// File of the bundle that was released last.
  std::string BundlePath() const { return this->folder + "/bundle.ini"; }

  std::string key_path(const std::string& name) const;
  std::string operators;
  policy::DeploymentKey deployment_key;

 private:
  std::string WriteSettings(const Instance& instance) const;

  int base_port;
  std::string folder;
  std::unique_ptr<Process> log;
  std::vector<std::unique_ptr<Instance>> instances;
};

/// Polls until `condition` holds; false after 20 s.
bool Eventually(const std::function<bool()>& condition);

/// A fresh Idempotency-Key.
std::string FreshKey();

/// A request with the headers that every caller sends.
standins::PlainRequest MakeRequest(const std::string& method,
                                   const std::string& service,
                                   const std::string& target,
                                   const std::string& number);

/// The test deployment's bundle: service `shop` with GET /items/{id}
/// (repeatable) and POST /orders/{id} (at-most-once), service `stock` with GET
/// /stock/{id}.
std::string ShopBundle(int version);

}  // namespace almondlink::test

#endif  // ALMONDLINK_TEST_SUPPORT_CLUSTER_H_
