#ifndef ALMONDLINK_REVIEW_COMMON_DEPLOYMENT_H_
#define ALMONDLINK_REVIEW_COMMON_DEPLOYMENT_H_

#include <sys/types.h>

#include <atomic>
#include <cstdint>
#include <fstream>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "review/common/narrow_link.h"
#include "review/common/sockets.h"
#include "standins/fake_store.h"

/// A small deployment on loopback: the node of each machine is started with the
/// command of the deploy file and settings made from its template; store,
/// instances and clients are stand-ins of this process.
namespace almondlink::review {

/// Ports of a machine, the same on all machines.
constexpr int kInstancePort = 18301;
constexpr int kReadyPort = 18302;
constexpr int kOutboundPort = 18304;
constexpr int kControlPort = 18306;
constexpr int kPeerPort = 17620;
constexpr int kLinkPort = 17621;
constexpr int kMetricsPort = 9464;

/// Writes what was sent, answered and run, with the time since the start.
/// Thread safe.
class Record {
 public:
  explicit Record(const std::string& path);
  void Write(const std::string& line);

 private:
  std::mutex mutex;
  std::ofstream out;
  std::int64_t started;
};

/// One machine: a node, and the instance beside it.
struct Machine {
  std::string name;
  std::string zone;
  std::string service;
  std::string ip;
  std::string instance_id;
  int capacity = 100;
  pid_t node = -1;
  /// Rate of the machine's network link; 0: that of the loopback.
  double link_mbps = 0;
  std::unique_ptr<NarrowLink> link;
  /// Whether the instance sends its reports.
  std::atomic<bool> reports{true};
};

/// Figures that the settings of a deployment carry.
struct Bounds {
  int drain_ms = 2000;
  int grace_s = 6;
  double budget_ratio = 0.2;
  int budget_window_s = 10;
  int retry_slack = 48;
};

/// A row of the routes of a configuration.
struct Route {
  std::string name;
  std::string host;
  std::string prefix;
  std::string kind;
  int timeout_ms = 5000;
  int aim_ms = 1500;
  int attempts = 2;
  std::string service;
};

class Deployment {
 public:
  /// `folder`: for settings and the logs of the nodes.
  Deployment(std::string folder, Record& record);
  /// Kills the nodes that still run.
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// Adds a machine; its node starts with StartNodes().
  Machine& Add(const std::string& zone, const std::string& service);
  /// Writes the configuration as the operator does.
  void Configure(std::uint64_t version, const std::vector<Route>& routes);
  void StartNode(Machine& machine);
  /// Starts all nodes and the reports of all instances, and waits until each
  /// node is ready and has `targets` open targets. False if that takes longer
  /// than fifteen seconds.
  bool StartNodes(int targets);
  void Signal(const Machine& machine, int number);
  /// Whether the node's process has ended; its status is written to the record.
  bool HasEnded(Machine& machine);
  /// Largest resident memory of the node so far, in kilobytes.
  static std::int64_t PeakMemoryKb(const Machine& machine);
  static std::int64_t MemoryKb(const Machine& machine);
  /// Status of GET /ready; 0 if there is no answer.
  static int Ready(const Machine& machine);

  Bounds bounds;
  std::vector<std::unique_ptr<Machine>> machines;

 private:
  void WriteSettings(const Machine& machine) const;
  void ReportAll();
  static int OpenTargets(const Machine& machine);

  std::string folder;
  Record& record;
  standins::FakeStore store;
  int store_port = 0;
  bool is_first_start = true;
  std::atomic<bool> is_stopped{false};
  std::thread reports;
};

}  // namespace almondlink::review

#endif  // ALMONDLINK_REVIEW_COMMON_DEPLOYMENT_H_
