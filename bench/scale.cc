#include <gflags/gflags.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "test/support/cluster.h"

/// Measures the cost of nodes by their number: memory, CPU time, gossip
/// traffic, requests to the log, and the time until a release is in force on
/// all nodes. Uses the intervals of a deployment (probe every second, poll
/// every 4 s), not the shorter ones of tests.

DEFINE_string(nodes, "10 50 100", "numbers of nodes to measure");
DEFINE_int32(seconds,
             20,
             "length of each idle and churn measurement in seconds");

namespace {

using almondlink::test::Cluster;
using almondlink::test::Instance;
using almondlink::test::InstanceSpec;

/// Resource usage of one process.
struct ResourceUsage {
  double cpu_s = 0;
  double resident_mb = 0;
  double threads = 0;
};

ResourceUsage ReadResourceUsage(pid_t pid) {
  ResourceUsage usage;
  std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
  std::string word;
  std::vector<std::string> words;
  while (stat >> word) {
    words.push_back(word);
  }
  if (words.size() < 24) {
    return usage;
  }
  const double ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
  const double page = static_cast<double>(sysconf(_SC_PAGESIZE));
  usage.cpu_s = (std::stod(words[13]) + std::stod(words[14])) / ticks;
  usage.threads = std::stod(words[19]);
  usage.resident_mb = std::stod(words[23]) * page / 1e6;
  return usage;
}

/// Sums over a set of nodes at one time.
struct Snapshot {
  ResourceUsage usage;
  double gossip_bytes = 0;
  double log_reads = 0;
  double log_appends = 0;
};

Snapshot TakeSnapshot(Cluster& cluster, const std::vector<Instance*>& nodes) {
  Snapshot sum;
  for (const Instance* node : nodes) {
    const ResourceUsage usage = ReadResourceUsage(node->node->Id());
    sum.usage.cpu_s += usage.cpu_s;
    sum.usage.resident_mb += usage.resident_mb;
    sum.usage.threads += usage.threads;
    const nlohmann::json dump = cluster.Dump(*node);
    if (dump.is_null()) {
      continue;
    }
    sum.gossip_bytes += dump["gossip"]["sent_bytes"].get<double>();
    sum.log_reads += dump["platform"]["reads"].get<double>() +
                     dump["platform"]["claims"]["reads"].get<double>();
    sum.log_appends += dump["platform"]["appends"].get<double>() +
                       dump["platform"]["claims"]["appends"].get<double>();
  }
  return sum;
}

void Print(const char* name,
           std::size_t count,
           const Snapshot& before,
           const Snapshot& after,
           double seconds) {
  const double nodes = static_cast<double>(count);
  std::printf(
      "%4zu nodes %-8s per node: %.2f %% of a core, %.1f MB, %.0f threads, "
      "gossip %.0f B/s sent, log %.3f reads/s %.3f appends/s\n",
      count, name,
      100 * (after.usage.cpu_s - before.usage.cpu_s) / seconds / nodes,
      after.usage.resident_mb / nodes, after.usage.threads / nodes,
      (after.gossip_bytes - before.gossip_bytes) / seconds / nodes,
      (after.log_reads - before.log_reads) / seconds / nodes,
      (after.log_appends - before.log_appends) / seconds / nodes);
  std::fflush(stdout);
}

void Pause(double seconds) {
  std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}

void Measure(std::size_t count) {
  Cluster cluster(24000, "bench-scale");
  cluster.StartLog();
  std::vector<Instance*> nodes;
  for (std::size_t i = 0; i < count; ++i) {
    InstanceSpec spec;
    spec.name = "node-" + std::to_string(i);
    spec.zone = "zone-" + std::to_string(i % 7);
    spec.service = i % 2 == 0 ? "shop" : "stock";
    spec.has_target = false;
    spec.is_production = true;
    nodes.push_back(&cluster.Add(spec));
  }
  const auto start = std::chrono::steady_clock::now();
  std::string output;
  cluster.Release(almondlink::test::ShopBundle(1), &output);
  const double took =
      std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
          .count();
  std::printf("%4zu nodes started and bundle in force on all after %.1f s\n",
              count, took);
  cluster.WaitReady(count);
  Pause(5);
  const Snapshot first = TakeSnapshot(cluster, nodes);
  Pause(FLAGS_seconds);
  const Snapshot second = TakeSnapshot(cluster, nodes);
  Print("idle", count, first, second, FLAGS_seconds);
  // Churn: every two seconds a node of the second half restarts; the first half
  // is measured.
  const std::vector<Instance*> kept(
      nodes.begin(), nodes.begin() + static_cast<std::ptrdiff_t>(count / 2));
  const Snapshot kept_before = TakeSnapshot(cluster, kept);
  for (int i = 0; i < FLAGS_seconds / 2; ++i) {
    Instance& victim =
        *nodes[count / 2 + static_cast<std::size_t>(i) % (count / 2)];
    victim.node->Kill();
    cluster.StartNode(victim);
    Pause(2);
  }
  Print("churn", kept.size(), kept_before, TakeSnapshot(cluster, kept),
        FLAGS_seconds);
  for (int version = 2; version <= 4; ++version) {
    output.clear();
    cluster.Release(almondlink::test::ShopBundle(version), &output);
    const std::size_t line = output.rfind(" ms ");
    const std::size_t begin = output.rfind('\n', line) + 1;
    std::printf("%4zu nodes release %d in force on all after %s ms\n", count,
                version, output.substr(begin, line - begin).c_str());
  }
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  std::istringstream numbers(FLAGS_nodes);
  std::size_t count = 0;
  while (numbers >> count) {
    Measure(count);
  }
  return 0;
}
