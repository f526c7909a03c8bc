#ifndef ALMONDLINK_CONTROL_DEMAND_METER_H_
#define ALMONDLINK_CONTROL_DEMAND_METER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "almondlink/base/clock.h"

/// What is asked of a target, by the root route that the calls were made for:
/// load is refused at the root, so that is where it has to be told apart.
///
/// Arrivals and the time of one call are kept apart. How many calls a root
/// request leads to is structure and changes with a release of software, so
/// arrivals are averaged over seconds; how long a call takes changes when a
/// target turns slow, so it follows the last few dozen calls. An estimate
/// without a new call is believed for a second: a target that seems slow gets
/// no calls, and would seem slow for ever.
namespace almondlink::control {

/// Calls of one root route at one target.
struct RouteDemand {
  std::uint32_t route = 0;
  double calls_per_s = 0;
  /// 0 if unknown.
  double work_ms = 0;
};

/// A rate that is averaged over a time that is given at each update.
struct RateMeter {
  /// Below 0 where more was taken back than came.
  std::int32_t events = 0;
  double per_s = 0;
};

/// Closes a window of `span_ms`; `memory_ms` is the time constant.
void UpdateRate(double span_ms, double time_constant_ms, RateMeter& meter);

/// Time constant of the rates whose ratio is the number of calls for each root
/// request. Both sides use it, so that a change of load moves both alike.
constexpr double kCallRatioTimeConstantMs = 3000;

/// State of one target's meter. Plain data; one thread at a time.
struct DemandMeter {
  struct PerRoute {
    RateMeter arrivals;
    double work_ms = 0;
    Millis sampled_at;
  };
  std::map<std::uint32_t, PerRoute> routes;
  Millis window_start;
};

/// Notes one request that arrived for `route`, whatever becomes of it.
void RecordDemand(std::uint32_t route, DemandMeter& meter);

/// Takes one back that the target refused without running: it needed no slot,
/// and counted as demand it would have roots refused for room that is there.
void RemoveRefusedDemand(std::uint32_t route, DemandMeter& meter);

/// Notes how long the target worked for one request of `route`.
void RecordWork(std::uint32_t route,
                Millis now,
                LatencyMs work,
                DemandMeter& meter);

/// Forgets how long calls take, because another start of the target has come.
void ResetWork(DemandMeter& meter);

/// Closes the window that began at the last call. Routes without arrivals are
/// forgotten after a while.
void UpdateDemand(Millis now, DemandMeter& meter);

/// What is asked now, by route; routes that ask next to nothing are left out.
std::vector<RouteDemand> DemandOf(const DemandMeter& meter);

/// Mean time of one request in milliseconds over all routes, by their rates; 0
/// if unknown.
double MeanWorkMs(const DemandMeter& meter);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_DEMAND_METER_H_
