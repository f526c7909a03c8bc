#include "almondlink/control/downstream.h"

#include "almondlink/control/pressure.h"
#include "almondlink/control/routing.h"

namespace almondlink::control {

void RecordDownstreamLevel(Millis now,
                           std::uint32_t level,
                           DownstreamLevel& downstream) {
  const std::uint32_t known =
      DecayedLevel(downstream.level, downstream.received_at, now);
  if (level >= known) {
    downstream.level = level;
    downstream.received_at = now;
  }
}

bool IsShedDownstream(Millis now,
                      ShedRank rank,
                      const DownstreamLevel& downstream) {
  const std::uint32_t level =
      DecayedLevel(downstream.level, downstream.received_at, now);
  return IsShedAt(level, rank);
}

}  // namespace almondlink::control
