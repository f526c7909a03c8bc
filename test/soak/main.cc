#include <gflags/gflags.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <random>
#include <sstream>

#include "test/soak/soak.h"

/// soak: runs randomized faults and prints each seed with its verdict.
///
/// Exit code 1 if a promise was broken. `--cases` runs the seeds that a file
/// lists, one a line: the seed, the number of kinds of faults that it was drawn
/// from, and its cause behind a `#`.

DEFINE_uint64(seed, 0, "first seed; 0 draws a fresh one");
DEFINE_int32(count, 1, "number of seeds, one after the other");
DEFINE_int32(seconds, 8, "time with faults, for each seed");
DEFINE_int32(base_port, 26000, "first port; ten for each node are used");
DEFINE_int32(nodes, 6, "nodes, each a process with an instance beside it");
DEFINE_bool(sums, false, "nodes sum their loads, as in a large fleet");
DEFINE_string(cases, "", "file of seeds to run first");

namespace {

/// True if all promises held.
bool RunOne(std::uint64_t seed, std::uint64_t kinds) {
  almondlink::test::SoakOptions options;
  options.seed = seed;
  options.kinds = kinds;
  options.nodes = FLAGS_nodes;
  options.seconds = FLAGS_seconds;
  options.base_port = FLAGS_base_port;
  options.has_sums = FLAGS_sums;
  const almondlink::test::SoakResult result =
      almondlink::test::RunSoak(options);
  std::printf(
      "seed %llu: %zu events, %d whole, %d refused, %d other, %d repeats, "
      "%zu broken\n",
      static_cast<unsigned long long>(seed), result.events.size(),
      result.answered, result.refused, result.failed, result.repeats,
      result.broken.size());
  if (!result.broken.empty()) {
    for (const std::string& event : result.events) {
      std::printf("  %s\n", event.c_str());
    }
    for (const std::string& broken : result.broken) {
      std::printf("  BROKEN %s\n", broken.c_str());
    }
  }
  std::fflush(stdout);
  return result.broken.empty();
}

}  // namespace

int main(int argc, char** argv) {
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  bool is_good = true;
  if (!FLAGS_cases.empty()) {
    std::ifstream file(FLAGS_cases);
    if (!file) {
      std::fprintf(stderr, "%s: cannot be read\n", FLAGS_cases.c_str());
      return 2;
    }
    std::string line;
    while (std::getline(file, line)) {
      std::istringstream words(line);
      std::uint64_t seed = 0;
      std::uint64_t kinds = 0;
      if (words >> seed >> kinds) {
        is_good = RunOne(seed, kinds) && is_good;
      }
    }
  }
  std::uint64_t seed = FLAGS_seed;
  if (seed == 0) {
    seed = std::random_device()() % 1'000'000 + 1;
  }
  for (int i = 0; i < FLAGS_count; ++i) {
    is_good = RunOne(seed + static_cast<std::uint64_t>(i),
                     almondlink::test::kFaultKinds) &&
              is_good;
  }
  return is_good ? 0 : 1;
}
