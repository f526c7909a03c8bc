#ifndef ALMONDLINK_CONTROL_CHAIN_COUNTS_H_
#define ALMONDLINK_CONTROL_CHAIN_COUNTS_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

/// Counts the calls that a root request leads to at each service.
///
/// The counts travel back with the answers: each answer carries the calls that
/// were run for it, a target that makes calls adds their counts to its own, and
/// the entry node of a root request receives the total with the root's answer.
///
/// A ratio of arrival rates would be inaccurate: the calls of a chain arrive up
/// to seconds after their root request, so the ratio is too low while load
/// rises and too high once load is held back.
namespace almondlink::control {

/// Number of calls that ran at one service.
struct ServiceCount {
  /// Number derived from the service's name, the same on all nodes.
  std::uint32_t service = 0;
  std::uint32_t runs = 0;
};

/// Calls that ran at the services of a chain or of a part of one. Allocates no
/// memory, because one is built for every answer.
struct CallCounts {
  /// Maximum number of services in one chain. In a deployment of 40 services no
  /// root request reached more.
  static constexpr std::size_t kMaxServices = 16;
  std::array<ServiceCount, kMaxServices> entries{};
  std::size_t size = 0;
  /// Whether services beyond kMaxServices were left out.
  bool is_truncated = false;
};

/// Adds the calls at one service.
void AddRuns(const ServiceCount& runs, CallCounts& counts);
/// Adds the counts of all services in `added`.
void AddCounts(const CallCounts& added, CallCounts& counts);

/// Number of calls at a service; 0 if it is not included.
std::uint32_t RunsAt(std::uint32_t service, const CallCounts& counts);

/// Mean number of calls at a service per completed root request.
struct ServiceCalls {
  std::uint32_t service = 0;
  double per_root = 0;
};

/// Mean calls per root request by route, as counted by one node for its own
/// root requests. Not thread safe.
struct ChainCounts {
  struct Chain {
    double roots = 0;
    std::vector<ServiceCalls> calls;
  };
  std::map<std::uint32_t, Chain> routes;
};

/// Records the calls of an answered root request. Truncated and empty counts
/// are ignored. The mean is over all root requests of the route up to a dozen
/// and then exponentially weighted, so that a software release, or targets that
/// refuse part of the calls and end chains early, show within a second or two.
void RecordChain(std::uint32_t route,
                 const CallCounts& counts,
                 ChainCounts& chains);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_CHAIN_COUNTS_H_
