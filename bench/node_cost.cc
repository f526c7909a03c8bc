#include <gflags/gflags.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>
#include <vector>

#include "almondlink/control/claims.h"
#include "test/support/cluster.h"

/// Measures the CPU time and memory of a node per call, per open caller
/// connection and per operation of the bundle, for docs/CAPACITY.md.

DEFINE_int32(calls, 30000, "calls per measurement");
DEFINE_int32(threads, 8, "concurrent callers");
DEFINE_int32(connections, 1300, "connections to open to measure their memory");
DEFINE_int32(operations, 400, "operations of the large bundle");

namespace {

using almondlink::standins::BlockingHttp;
using almondlink::test::Cluster;
using almondlink::test::Instance;

double CpuSeconds(const Instance& instance) {
  std::ifstream stat("/proc/" + std::to_string(instance.node->Id()) + "/stat");
  std::string word;
  double ticks = 0;
  for (int i = 1; i <= 15 && stat >> word; ++i) {
    ticks += i >= 14 ? std::stod(word) : 0;
  }
  return ticks / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double ResidentKb(const Instance& instance) {
  std::ifstream status("/proc/" + std::to_string(instance.node->Id()) +
                       "/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.rfind("VmRSS:", 0) == 0) {
      return std::stod(line.substr(6));
    }
  }
  return 0;
}

/// Sends at-most-once orders or repeatable reads from several threads.
void SendCalls(Cluster& cluster, const Instance& entry, bool is_order) {
  std::vector<std::thread> threads;
  threads.reserve(static_cast<std::size_t>(FLAGS_threads));
  const int calls = is_order ? FLAGS_calls / 20 : FLAGS_calls;
  for (int thread = 0; thread < FLAGS_threads; ++thread) {
    threads.emplace_back([&, calls]() {
      BlockingHttp client = cluster.Connect(entry);
      for (int i = 0; i < calls / FLAGS_threads; ++i) {
        almondlink::standins::PlainRequest request =
            is_order
                ? almondlink::test::MakeRequest("POST", "shop", "/orders/1",
                                                "1")
                : almondlink::test::MakeRequest("GET", "shop", "/items/1", "1");
        if (is_order) {
          request.headers["Idempotency-Key"] = almondlink::test::FreshKey();
        }
        client.Send(request);
      }
    });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
}

void MeasureCalls(Cluster& cluster,
                  const Instance& entry,
                  const Instance& shop,
                  bool is_order) {
  SendCalls(cluster, entry, is_order);
  const double entry_before = CpuSeconds(entry);
  const double shop_before = CpuSeconds(shop);
  const auto start = std::chrono::steady_clock::now();
  SendCalls(cluster, entry, is_order);
  const double seconds =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
          .count();
  const double calls = is_order ? FLAGS_calls / 20.0 : FLAGS_calls;
  std::printf(
      "%-12s %.0f calls/s  entry node %.1f us/call  target's node %.1f "
      "us/call\n",
      is_order ? "at-most-once" : "repeatable", calls / seconds,
      1e6 * (CpuSeconds(entry) - entry_before) / calls,
      1e6 * (CpuSeconds(shop) - shop_before) / calls);
}

double OwnResidentKb() {
  std::ifstream status("/proc/self/status");
  std::string line;
  while (std::getline(status, line)) {
    if (line.rfind("VmRSS:", 0) == 0) {
      return std::stod(line.substr(6));
    }
  }
  return 0;
}

/// Measures the memory of the claim state per idempotency key, in this process.
void MeasureClaimMemory() {
  constexpr int kKeys = 200'000;
  const double before = OwnResidentKb();
  almondlink::control::Claims claims;
  for (int i = 0; i < kKeys; ++i) {
    almondlink::wire::ClaimBatch batch;
    batch.record_id = "node-123456/1796236210878/" + std::to_string(i / 8);
    batch.node = "node-123456";
    batch.keys = {almondlink::test::FreshKey()};
    almondlink::control::ApplyClaims(static_cast<std::uint64_t>(i), batch,
                                     almondlink::Millis{i}, claims);
    claims.record_ids.erase(batch.record_id);
  }
  std::printf("per idempotency key of the claim state: %.3f kB\n",
              (OwnResidentKb() - before) / kKeys);
}

std::string LargeBundle(int version) {
  std::string text = almondlink::test::ShopBundle(version);
  for (int i = 0; i < FLAGS_operations; ++i) {
    const std::string name = "operation-" + std::to_string(i);
    text.append("[operation ").append(name);
    text.append("]\nservice = stock\nmethod = GET\npath = /").append(name);
    text.append("/{id}\nkind = stock\ncriticality = normal\n");
    text.append("repeatable = true\ntimeout = 2s\nretries = 3\n");
  }
  return text;
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  MeasureClaimMemory();
  Cluster cluster(23700, "bench-node-cost");
  cluster.StartLog();
  const Instance& shop =
      cluster.Add({"shop-1", "zone-a", "shop", 256, 0, "", true, {}});
  const Instance& entry =
      cluster.Add({"stock-1", "zone-b", "stock", 256, 0, "", true, {}});
  cluster.Release(almondlink::test::ShopBundle(1));
  cluster.WaitReady(2);
  const double started = ResidentKb(entry);
  MeasureCalls(cluster, entry, shop, false);
  MeasureCalls(cluster, entry, shop, true);
  const double warm = ResidentKb(entry);
  std::printf("memory: %.1f MB after the start, %.1f MB after the calls\n",
              started / 1024, warm / 1024);
  {
    std::vector<BlockingHttp> open;
    open.reserve(static_cast<std::size_t>(FLAGS_connections));
    for (int i = 0; i < FLAGS_connections; ++i) {
      open.push_back(cluster.Connect(entry));
      open.back().Send(
          almondlink::test::MakeRequest("GET", "shop", "/items/1", "1"));
    }
    std::printf("per open caller connection that made a call: %.1f kB\n",
                (ResidentKb(entry) - warm) / FLAGS_connections);
  }
  const double before = ResidentKb(shop);
  cluster.Release(LargeBundle(2));
  std::printf("per operation of the bundle: %.2f kB (bundle of %zu bytes)\n",
              (ResidentKb(shop) - before) / FLAGS_operations,
              LargeBundle(2).size());
  return 0;
}
