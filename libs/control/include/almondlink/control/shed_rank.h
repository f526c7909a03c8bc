#ifndef ALMONDLINK_CONTROL_SHED_RANK_H_
#define ALMONDLINK_CONTROL_SHED_RANK_H_

#include <cstdint>

#include "almondlink/base/ids.h"

/// Order in which requests are shed.
///
/// rank = class * 256 + hash of the root request in 0..255. Lower ranks are
/// kept. Only the root id is hashed, so every hop keeps the same root requests
/// of a class and these complete; with independent choices each hop would drop
/// others.
namespace almondlink::control {

using ShedRank = Strong<struct ShedRankTag, std::uint32_t>;

constexpr std::uint32_t kRanksPerClass = 256;
constexpr std::uint32_t kRankCount = kRanksPerClass * kCriticalityCount;

/// Rank of a request. Pure.
ShedRank RankOf(Criticality criticality, RootId root);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_SHED_RANK_H_
