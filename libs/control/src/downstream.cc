#include "almondlink/control/downstream.h"

#include "almondlink/control/pressure.h"
#include "almondlink/control/routing.h"

namespace almondlink::control {

void NoteDownstreamLevel(Millis now,
                         std::uint32_t level,
                         DownstreamLevel& downstream) {
  const std::uint32_t known =
      FreshLevel(downstream.level, downstream.told, now);
  if (level >= known) {
    downstream.level = level;
    downstream.told = now;
  }
}

bool IsShedDownstream(Millis now,
                      ShedRank rank,
                      const DownstreamLevel& downstream) {
  const std::uint32_t level =
      FreshLevel(downstream.level, downstream.told, now);
  return IsShedAt(level, rank);
}

}  // namespace almondlink::control
