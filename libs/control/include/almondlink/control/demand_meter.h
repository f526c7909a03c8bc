#ifndef ALMONDLINK_CONTROL_DEMAND_METER_H_
#define ALMONDLINK_CONTROL_DEMAND_METER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "almondlink/base/clock.h"

/// How much of a target its callers ask for, whether or not it has the room.
///
/// By Little's law arrivals per second times the time that one request takes
/// is the number of slots wanted. It is counted by the root route that the
/// calls were made for, since that is where load can be refused before it
/// costs anything. What is in use would tell less: it stops at the number of
/// slots however much more is asked for.
namespace almondlink::control {

/// Slots wanted at one service by the requests of one root route.
struct RouteDemand {
  std::uint32_t route = 0;
  double slots = 0;
};

/// State of one target's meter. Plain data; one thread at a time.
struct DemandMeter {
  struct PerRoute {
    std::uint32_t arrivals = 0;
    double rate_per_ms = 0;
    double work_ms = 0;
  };
  std::map<std::uint32_t, PerRoute> routes;
  Millis window_start;
};

/// Notes one request that arrived for `route`, admitted or not.
void NoteDemand(std::uint32_t route, DemandMeter& meter);

/// Notes how long the target worked for one request of `route`.
void NoteWork(std::uint32_t route, LatencyMs work, DemandMeter& meter);

/// Closes the window that began at the last call. Routes without arrivals are
/// forgotten after a while.
void UpdateDemand(Millis now, DemandMeter& meter);

/// Slots wanted now, by route; routes that want next to nothing are left out.
std::vector<RouteDemand> DemandOf(const DemandMeter& meter);

/// Mean time of one request in milliseconds over all routes, by their rates; 0
/// if unknown.
double MeanWorkMs(const DemandMeter& meter);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_DEMAND_METER_H_
