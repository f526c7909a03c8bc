#ifndef ALMONDLINK_CONTROL_CHAIN_COUNTS_H_
#define ALMONDLINK_CONTROL_CHAIN_COUNTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

/// How many calls a root request leads to at each service, counted on the way
/// back: each answer carries what was run for it, the target that made calls
/// adds theirs to its own, and so the entry node of a root gets the sum with
/// the root's answer.
///
/// Set against rates of arrivals this could only be guessed: the calls of a
/// chain come up to seconds after its root, so while load rises there are too
/// few of them for each root, and once it is held back too many.
namespace almondlink::control {

/// Runs at one service.
struct ServiceCount {
  /// Number of the service's name, the same on all nodes.
  std::uint32_t service = 0;
  std::uint32_t runs = 0;
};

/// Runs at all services of a chain, or of a part of one. Without allocation: it
/// is made for every answer.
struct CallCounts {
  /// Services of one chain; no root of 40 services calls more of them.
  static constexpr std::size_t kMaxServices = 16;
  std::array<ServiceCount, kMaxServices> entries{};
  std::size_t size = 0;
  /// More services than there is room for were left out.
  bool is_truncated = false;
};

/// Adds runs at a service.
void AddRuns(const ServiceCount& runs, CallCounts& counts);
/// Adds all of `more`.
void AddCounts(const CallCounts& added, CallCounts& counts);

/// Runs at that service.
std::uint32_t RunsAt(std::uint32_t service, const CallCounts& counts);

/// Mean runs at a service for each root that ended.
struct ServiceCalls {
  std::uint32_t service = 0;
  double per_root = 0;
};

/// What one node has learned of the chains of its own roots, by route. Plain
/// data; one thread at a time.
struct ChainCounts {
  struct Chain {
    double roots = 0;
    std::vector<ServiceCalls> calls;
  };
  std::map<std::uint32_t, Chain> routes;
};

/// Notes a root that was answered, with what ran for it. The first few count
/// alike, later the last dozen or so: a release of software, or targets that
/// refuse a part and end chains early, show within a second or two.
void RecordChain(std::uint32_t route,
                 const CallCounts& counts,
                 ChainCounts& chains);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_CHAIN_COUNTS_H_
