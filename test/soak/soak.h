#ifndef ALMONDLINK_TEST_SOAK_SOAK_H_
#define ALMONDLINK_TEST_SOAK_SOAK_H_

#include <cstdint>
#include <string>
#include <vector>

/// A randomized fault soak of relay nodes: real processes, stand-ins for store
/// and instances, and disturbed links, under traffic. The promises are checked
/// from outside, from what callers and instances saw.
namespace almondlink::test {

struct SoakOptions {
  std::uint64_t seed = 1;
  int seconds = 8;
  int base_port = 26000;
};

struct SoakResult {
  /// What was done, in order, with its time in milliseconds.
  std::vector<std::string> events;
  /// Promises that were broken; empty if all held.
  std::vector<std::string> broken;
  int answered = 0;
  int refused = 0;
  int failed = 0;
};

/// Runs one soak. Ends only processes that it started.
SoakResult RunSoak(const SoakOptions& options);

}  // namespace almondlink::test

#endif  // ALMONDLINK_TEST_SOAK_SOAK_H_
