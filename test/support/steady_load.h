#ifndef ALMONDLINK_TEST_SUPPORT_STEADY_LOAD_H_
#define ALMONDLINK_TEST_SUPPORT_STEADY_LOAD_H_

#include <atomic>
#include <chrono>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "test/support/relay_cluster.h"

namespace almondlink::test {

using SteadyTime = std::chrono::steady_clock::time_point;

/// One request of a caller, and the fields of its answer that tests look at.
struct LoadRecord {
  std::string id;
  /// The node that it began at.
  int node = 0;
  SteadyTime sent;
  SteadyTime answered;
  unsigned status = 0;
  /// The instance whose own answer it is; empty for an answer of a node.
  std::string instance;
  std::string rate_limit;
  std::string retry_after;
  bool says_leaving = false;
};

/// Requests at a steady rate at each of some nodes, from construction until
/// Stop(). A caller that waits for its answer sends the requests that came due
/// meanwhile as soon as it has it.
class SteadyLoad {
 public:
  struct Spec {
    std::vector<int> nodes;
    double per_s_and_node = 10;
    int callers_per_node = 4;
    std::string host;
    std::string path;
    std::string method = "GET";
    int left_ms = 2000;
  };

  SteadyLoad(RelayCluster& cluster, Spec spec);
  ~SteadyLoad();
  SteadyLoad(const SteadyLoad&) = delete;
  SteadyLoad& operator=(const SteadyLoad&) = delete;

  /// Ends the load and returns its requests in no order. Call it once.
  std::vector<LoadRecord> Stop();

 private:
  void Run(int node, int caller);

  RelayCluster& cluster;
  Spec spec;
  std::atomic<bool> is_stopped{false};
  std::mutex mutex;
  std::vector<LoadRecord> records;
  std::vector<std::thread> threads;
};

}  // namespace almondlink::test

#endif  // ALMONDLINK_TEST_SUPPORT_STEADY_LOAD_H_
