#include <gflags/gflags.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <mutex>
#include <thread>
#include <vector>

#include "test/support/cluster.h"

/// Measures the latency that almondlink adds to a call: calls through two nodes
/// (the entry node and the target's node), with many open connections on the
/// caller port, against the same calls sent directly to the target.

DEFINE_int32(connections, 1300, "connections open on the caller port");
DEFINE_int32(threads, 4, "concurrent callers");
DEFINE_int32(calls, 20000, "calls per measurement");
DEFINE_int32(pause_us,
             500,
             "pause of a caller between two calls, in microseconds");

namespace {

using almondlink::standins::BlockingHttp;
using almondlink::standins::PlainRequest;
using almondlink::test::Cluster;
using almondlink::test::Instance;

/// Sends calls over the connections in turn; returns the sorted latencies of
/// successful calls in milliseconds.
std::vector<double> TimeCalls(std::vector<BlockingHttp>& clients,
                              const PlainRequest& request) {
  std::vector<double> times;
  std::mutex mutex;
  std::vector<std::thread> threads;
  const std::size_t callers = static_cast<std::size_t>(FLAGS_threads);
  for (std::size_t thread = 0; thread < callers; ++thread) {
    threads.emplace_back([&, thread]() {
      std::vector<double> own;
      std::size_t at = thread;
      for (int i = 0; i < FLAGS_calls / FLAGS_threads; ++i) {
        at = at + callers < clients.size() ? at + callers : thread;
        const auto start = std::chrono::steady_clock::now();
        const unsigned status = clients[at].Send(request).status;
        const double took = std::chrono::duration<double, std::milli>(
                                std::chrono::steady_clock::now() - start)
                                .count();
        if (status == 200) {
          own.push_back(took);
        }
        std::this_thread::sleep_for(std::chrono::microseconds(FLAGS_pause_us));
      }
      const std::lock_guard<std::mutex> guard(mutex);
      times.insert(times.end(), own.begin(), own.end());
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::sort(times.begin(), times.end());
  return times;
}

double Percentile(const std::vector<double>& sorted, double share) {
  return sorted.empty() ? 0
                        : sorted[std::min(
                              sorted.size() - 1,
                              static_cast<std::size_t>(
                                  share * static_cast<double>(sorted.size())))];
}

void Print(const char* name, const std::vector<double>& times) {
  std::printf(
      "%-10s %7zu answered   p50 %.3f ms   p99 %.3f ms   p99.9 %.3f ms\n", name,
      times.size(), Percentile(times, 0.5), Percentile(times, 0.99),
      Percentile(times, 0.999));
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  Cluster cluster(23000, "bench-added-latency");
  cluster.StartLog();
  const Instance& shop =
      cluster.Add({"shop-1", "zone-a", "shop", 256, 0, "", true, {}});
  const Instance& entry =
      cluster.Add({"stock-1", "zone-b", "stock", 256, 0, "", true, {}});
  cluster.Release(almondlink::test::ShopBundle(1));
  cluster.WaitReady(2);
  const PlainRequest request =
      almondlink::test::MakeRequest("GET", "shop", "/items/1", "1");
  std::vector<BlockingHttp> direct;
  direct.reserve(static_cast<std::size_t>(FLAGS_threads));
  for (int i = 0; i < FLAGS_threads; ++i) {
    direct.emplace_back(almondlink::config::Endpoint{
        "127.0.0.1", static_cast<std::uint16_t>(shop.port + 3)});
  }
  std::vector<BlockingHttp> through;
  through.reserve(static_cast<std::size_t>(FLAGS_connections));
  for (int i = 0; i < FLAGS_connections; ++i) {
    through.push_back(cluster.Connect(entry));
    if (!through.back().Connect()) {
      std::fprintf(stderr, "connection %d refused\n", i);
      return 1;
    }
  }
  TimeCalls(through, request);
  for (int round = 0; round < 3; ++round) {
    const std::vector<double> straight = TimeCalls(direct, request);
    const std::vector<double> two_nodes = TimeCalls(through, request);
    Print("direct", straight);
    Print("two nodes", two_nodes);
    std::printf("added      p50 %.3f ms   p99 %.3f ms\n",
                Percentile(two_nodes, 0.5) - Percentile(straight, 0.5),
                Percentile(two_nodes, 0.99) - Percentile(straight, 0.99));
  }
  return 0;
}
