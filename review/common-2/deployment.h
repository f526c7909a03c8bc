#ifndef ALMONDLINK_REVIEW_COMMON_2_DEPLOYMENT_H_
#define ALMONDLINK_REVIEW_COMMON_2_DEPLOYMENT_H_

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/common-2/net.h"
#include "standins/fake_store.h"
#include "test/support/process.h"

/// A small deployment for the review's cases: nodes as the deploy file starts
/// them, the project's stand-in of the platform's store, and instances.
namespace almondlink::review {

/// A request as an instance received it.
struct Received {
  Head head;
  std::string body;
  std::string Id() const { return this->head.Field("request-id"); }
  std::string Path() const;
};

/// An application instance: serves requests and reports itself to the node
/// beside it. A request that names another instance gets 421.
class Instance {
 public:
  struct Spec {
    std::string id;
    std::string service;
    std::string zone;
    Address address;
    /// Where the node takes heartbeats.
    Address control;
    /// The address that the node uses, if a proxy stands before the instance.
    Address told;
    int capacity = 64;
  };
  /// Answers one request on its connection. False: the connection is closed.
  using Run = std::function<bool(const Received&, const Socket&)>;

  Instance(Spec spec, Run run, Record& record);
  ~Instance();
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  /// Sends one report of its life: `call` is "heartbeat" or "leave". Returns
  /// the status of the answer, 0 if none came within a second.
  int Tell(const std::string& call, const std::string& body) const;
  /// The body of a heartbeat as it would be sent now.
  std::string Heartbeat();
  /// It reports no more, and serves on.
  void StopHeartbeats() { this->has_heartbeats = false; }

  /// It is gone without a word: it listens and reports no more, and what it
  /// has begun is never answered. Its connections stay open.
  void FallSilent();

  /// Requests that it has begun to run.
  std::vector<Received> Ran();
  const std::string& Id() const { return this->spec.id; }

 private:
  void Serve(Socket socket);
  void Live();
  Spec spec;
  Run run;
  Record& record;
  std::mutex mutex;
  std::vector<Received> ran;
  std::vector<std::shared_ptr<Socket>> open;
  std::atomic<bool> is_stopped{false};
  std::atomic<bool> is_silent{false};
  std::atomic<bool> has_heartbeats{true};
  std::atomic<int> sequence{0};
  std::unique_ptr<Listener> listener;
  std::thread life;
};

/// Head of a success with the marks of an instance; its body follows.
std::string SuccessHead(const Received& request,
                        const std::string& instance,
                        std::size_t size);

struct Route {
  std::string name;
  std::string host;
  std::string prefix;
  std::string service;
  std::string kind = "safe";
  int timeout_ms = 5000;
  int aim_ms = 1500;
  int priority = 1;
  int attempts = 2;
};

/// Nodes on loopback addresses of their own, with free ports.
class Deployment {
 public:
  struct Node {
    std::string name;
    std::string service;
    std::string zone;
    std::string ip;
    Address caller;
    Address ready;
    Address control;
    /// Where the node finds its instance.
    Address instance;
    int peer_port = 0;
    int store_port = 0;
    std::string settings;
    std::unique_ptr<test::Process> process;
  };

  /// `root`: the repository; nodes are started from there.
  Deployment(std::string root, Record& record);
  ~Deployment();

  int Add(const std::string& service, const std::string& zone);
  void Start(int node, bool is_first_start);
  /// Writes the settings of a running node anew, for another service at the
  /// same address, without a signal.
  void ChangeService(int node, const std::string& service);
  Node& At(int node) { return *this->nodes[static_cast<std::size_t>(node)]; }
  void Configure(int version,
                 const std::vector<Route>& routes,
                 const std::vector<std::string>& services);
  /// Bytes of a request's body that the configuration allows; before
  /// Configure().
  void SetMaxBody(std::size_t bytes) { this->max_body = bytes; }
  /// Waits until all nodes are ready and one request to each route is served
  /// at each node. False if that does not come.
  bool WaitReady(const std::vector<Route>& routes);
  standins::FakeStore& Store() { return this->store; }

 private:
  void WriteSettings(const Node& node, bool is_first_start);

  std::string root;
  std::string folder;
  Record& record;
  standins::FakeStore store;
  std::size_t max_body = std::size_t{64} * 1024 * 1024;
  std::vector<std::unique_ptr<Node>> nodes;
};

/// Whether the case is to play its disruption (variable TROUBLE).
bool HasTrouble();

/// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

}  // namespace almondlink::review

#endif  // ALMONDLINK_REVIEW_COMMON_2_DEPLOYMENT_H_
