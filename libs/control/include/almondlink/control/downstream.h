#ifndef ALMONDLINK_CONTROL_DOWNSTREAM_H_
#define ALMONDLINK_CONTROL_DOWNSTREAM_H_

#include <cstdint>

#include "almondlink/base/clock.h"
#include "almondlink/control/shed_rank.h"

/// Pressure met deeper in the chain, per operation.
///
/// When a target fails a request because a call it made was refused for
/// pressure, its node sends that level back with the answer. The entry node
/// then refuses, before any work, the requests of that operation with the ranks
/// that would die deeper; equal ranks at every hop make those the same
/// requests. A level is believed for kLevelLife and falls over that time, so
/// the first requests after it try the chain again.
namespace almondlink::control {

/// Level of one operation at one entry node. Plain data; one thread at a time.
struct DownstreamLevel {
  std::uint32_t level = 0;
  Millis received_at;
};

/// Takes the level of an answer; 0 is an answer that met none.
void RecordDownstreamLevel(Millis now,
                           std::uint32_t level,
                           DownstreamLevel& downstream);

/// Whether a request of that rank should be refused at entry.
bool IsShedDownstream(Millis now,
                      ShedRank rank,
                      const DownstreamLevel& downstream);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_DOWNSTREAM_H_
