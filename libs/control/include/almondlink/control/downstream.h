#ifndef ALMONDLINK_CONTROL_DOWNSTREAM_H_
#define ALMONDLINK_CONTROL_DOWNSTREAM_H_

#include <cstdint>

#include "almondlink/base/clock.h"
#include "almondlink/control/shed_rank.h"

/// Pressure of services further down the call chain, per operation.
///
/// When a target fails a request because one of its own calls was refused for
/// overload, its node returns the pressure level of that refusal with the
/// answer. The entry node then refuses requests of this operation by the same
/// ranks before any work is done. Ranks are the same on every hop, so these are
/// the requests that would fail further down. A level decays to zero over
/// kLevelLifetime, so that later requests probe the chain again.
namespace almondlink::control {

/// Downstream pressure level of one operation at one entry node. Not thread
/// safe.
struct DownstreamLevel {
  std::uint32_t level = 0;
  Millis received_at;
};

/// Records the level from an answer; 0 if no call was refused for overload. A
/// level below the decayed current one is ignored.
void RecordDownstreamLevel(Millis now,
                           std::uint32_t level,
                           DownstreamLevel& downstream);

/// Whether a request of this rank is to be refused at the entry node.
bool IsShedDownstream(Millis now,
                      ShedRank rank,
                      const DownstreamLevel& downstream);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_DOWNSTREAM_H_
