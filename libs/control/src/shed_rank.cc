#include "almondlink/control/shed_rank.h"

#include "almondlink/base/hash.h"

namespace almondlink::control {

ShedRank RankOf(Criticality criticality, RootId root) {
  const std::uint64_t hash = StableHash(root.low, root.high);
  return ShedRank(static_cast<std::uint32_t>(criticality) * kRanksPerClass +
                  static_cast<std::uint32_t>(hash % kRanksPerClass));
}

}  // namespace almondlink::control
