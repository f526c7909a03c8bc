#ifndef ALMONDLINK_CONTROL_DEMAND_METER_H_
#define ALMONDLINK_CONTROL_DEMAND_METER_H_

#include <cstdint>
#include <map>
#include <vector>

#include "almondlink/base/clock.h"

/// Measures the demand for one target by the route of the root request that the
/// calls belong to, since load is refused per route at the root.
///
/// The rate of arrivals and the time of a call are averaged separately. The
/// number of calls per root request depends on the software and changes with a
/// release, so arrivals are averaged over seconds. The time of a call changes
/// when a target becomes slow, so it follows the last few dozen calls. The
/// estimate of the time expires one second after the last call: a target that
/// seems slow gets no calls, and the estimate would otherwise never be
/// corrected.
namespace almondlink::control {

/// Calls at one target that belong to root requests of one route.
struct RouteDemand {
  std::uint32_t route = 0;
  double calls_per_s = 0;
  /// Mean time of a call in milliseconds; 0 if unknown.
  double work_ms = 0;
};

/// Exponentially averaged event rate.
struct RateMeter {
  /// Events in the current window; negative if more were removed than added.
  std::int32_t events = 0;
  double per_s = 0;
};

/// Closes a window of `span_ms` milliseconds (above 0) and updates the average
/// with the time constant `time_constant_ms`.
void UpdateRate(double span_ms, double time_constant_ms, RateMeter& meter);

/// Time constant of the two rates whose ratio is the number of calls per root
/// request. Both use the same one, so that a change of load affects them alike.
constexpr double kCallRatioTimeConstantMs = 3000;

/// Demand for one target. Not thread safe.
struct DemandMeter {
  struct PerRoute {
    RateMeter arrivals;
    double work_ms = 0;
    Millis sampled_at;
  };
  std::map<std::uint32_t, PerRoute> routes;
  Millis window_start;
};

/// Counts a request that arrived for `route`, whether or not it is run.
void RecordDemand(std::uint32_t route, DemandMeter& meter);

/// Removes a counted request that the target refused without running it. Such a
/// request uses no slot; as demand it would make nodes refuse root requests
/// although slots are free.
void RemoveRefusedDemand(std::uint32_t route, DemandMeter& meter);

/// Records the time that the target spent on one request of `route`.
void RecordWork(std::uint32_t route,
                Millis now,
                LatencyMs work,
                DemandMeter& meter);

/// Discards the estimates of call times after a restart of the target.
void ResetWork(DemandMeter& meter);

/// Closes the rate window that began with the previous call. Routes whose rate
/// has fallen to nearly zero are removed.
void UpdateDemand(Millis now, DemandMeter& meter);

/// Current demand by route, without routes of negligible rate.
std::vector<RouteDemand> DemandOf(const DemandMeter& meter);

/// Mean time of a request in milliseconds over all routes, weighted by their
/// rates; 0 if unknown.
double MeanWorkMs(const DemandMeter& meter);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_DEMAND_METER_H_
