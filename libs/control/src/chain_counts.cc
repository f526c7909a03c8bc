#include "almondlink/control/chain_counts.h"

#include <algorithm>

namespace almondlink::control {

namespace {

/// Root requests that the mean extends over. Few suffice, since the means of
/// all nodes are averaged again.
constexpr double kMaxAveragedRoots = 12;

}  // namespace

void AddRuns(const ServiceCount& runs, CallCounts& counts) {
  ServiceCount* const end = counts.entries.data() + counts.size;
  ServiceCount* const found = std::find_if(
      counts.entries.data(), end, [&runs](const ServiceCount& entry) {
        return entry.service == runs.service;
      });
  if (found != end) {
    found->runs += runs.runs;
  } else if (counts.size < CallCounts::kMaxServices) {
    counts.entries[counts.size] = runs;
    ++counts.size;
  } else {
    counts.is_truncated = true;
  }
}

std::uint32_t RunsAt(std::uint32_t service, const CallCounts& counts) {
  for (std::size_t i = 0; i < counts.size; ++i) {
    if (counts.entries[i].service == service) {
      return counts.entries[i].runs;
    }
  }
  return 0;
}

void AddCounts(const CallCounts& added, CallCounts& counts) {
  for (std::size_t i = 0; i < added.size; ++i) {
    AddRuns(added.entries[i], counts);
  }
  counts.is_truncated = counts.is_truncated || added.is_truncated;
}

void RecordChain(std::uint32_t route,
                 const CallCounts& counts,
                 ChainCounts& chains) {
  if (counts.is_truncated || counts.size == 0) {
    return;
  }
  ChainCounts::Chain& chain = chains.routes[route];
  chain.roots = std::min(kMaxAveragedRoots, chain.roots + 1);
  for (ServiceCalls& known : chain.calls) {
    known.per_root -= known.per_root / chain.roots;
  }
  for (std::size_t i = 0; i < counts.size; ++i) {
    const ServiceCount& runs = counts.entries[i];
    auto known = std::find_if(
        chain.calls.begin(), chain.calls.end(),
        [&runs](const ServiceCalls& c) { return c.service == runs.service; });
    if (known == chain.calls.end()) {
      known = chain.calls.insert(known, ServiceCalls{runs.service, 0});
    }
    known->per_root += runs.runs / chain.roots;
  }
}

}  // namespace almondlink::control
