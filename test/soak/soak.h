#ifndef ALMONDLINK_TEST_SOAK_SOAK_H_
#define ALMONDLINK_TEST_SOAK_SOAK_H_

#include <cstdint>
#include <string>
#include <vector>

/// A randomized fault soak of relay nodes: real processes, stand-ins for store
/// and instances, and disturbed links, under traffic. The promises are checked
/// from outside, from what callers and instances saw.
namespace almondlink::test {

/// Kinds of faults that there are.
constexpr std::uint64_t kFaultKinds = 21;

struct SoakOptions {
  std::uint64_t seed = 1;
  int seconds = 8;
  int base_port = 26000;
  int nodes = 6;
  /// Kinds of faults to draw from. A seed that failed is played again with the
  /// number it failed with, since another number draws other faults.
  std::uint64_t kinds = kFaultKinds;
  /// The nodes sum their loads, as those of a large fleet do.
  bool has_sums = false;
};

struct SoakResult {
  /// What was done, in order, with its time in milliseconds.
  std::vector<std::string> events;
  /// Promises that were broken; empty if all held.
  std::vector<std::string> broken;
  int answered = 0;
  int refused = 0;
  int failed = 0;
  /// Arrivals at targets beyond the first of each request.
  int repeats = 0;
};

/// Runs one soak. Ends only processes that it started.
SoakResult RunSoak(const SoakOptions& options);

}  // namespace almondlink::test

#endif  // ALMONDLINK_TEST_SOAK_SOAK_H_
