#include "almondlink/control/demand_meter.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace almondlink::control {

namespace {

/// Weight of one sample of the call time. Thirty samples, some tens of
/// milliseconds on a busy target, follow a target that becomes slow.
constexpr double kWorkWeight = 1.0 / 30;
/// Time after the last sample at which the estimate of the call time expires.
constexpr Millis kEstimateLifetime{1000};
constexpr double kMinReportedPerSecond = 0.05;
constexpr double kMillisPerSecond = 1000;

}  // namespace

void UpdateRate(double span_ms, double time_constant_ms, RateMeter& meter) {
  const double keep = std::exp(-span_ms / time_constant_ms);
  const double rate = meter.events / span_ms * kMillisPerSecond;
  meter.per_s = std::max(0.0, keep * meter.per_s + (1 - keep) * rate);
  meter.events = 0;
}

void RecordDemand(std::uint32_t route, DemandMeter& meter) {
  ++meter.routes[route].arrivals.events;
}

void RemoveRefusedDemand(std::uint32_t route, DemandMeter& meter) {
  --meter.routes[route].arrivals.events;
}

void RecordWork(std::uint32_t route,
                Millis now,
                LatencyMs work,
                DemandMeter& meter) {
  DemandMeter::PerRoute& entry = meter.routes[route];
  entry.sampled_at = now;
  if (entry.work_ms == 0) {
    entry.work_ms = work.count;
    return;
  }
  entry.work_ms += kWorkWeight * (work.count - entry.work_ms);
}

void ResetWork(DemandMeter& meter) {
  for (auto& [route, entry] : meter.routes) {
    entry.work_ms = 0;
  }
}

void UpdateDemand(Millis now, DemandMeter& meter) {
  const double span = static_cast<double>((now - meter.window_start).count);
  if (span <= 0) {
    return;
  }
  meter.window_start = now;
  for (auto entry = meter.routes.begin(); entry != meter.routes.end();) {
    RateMeter& arrivals = entry->second.arrivals;
    UpdateRate(span, kCallRatioTimeConstantMs, arrivals);
    if (now - entry->second.sampled_at > kEstimateLifetime) {
      entry->second.work_ms = 0;
    }
    const bool is_forgotten = arrivals.per_s < kMinReportedPerSecond / 2;
    entry = is_forgotten ? meter.routes.erase(entry) : std::next(entry);
  }
}

std::vector<RouteDemand> DemandOf(const DemandMeter& meter) {
  std::vector<RouteDemand> demand;
  for (const auto& [route, entry] : meter.routes) {
    if (entry.arrivals.per_s >= kMinReportedPerSecond) {
      demand.push_back({route, entry.arrivals.per_s, entry.work_ms});
    }
  }
  return demand;
}

double MeanWorkMs(const DemandMeter& meter) {
  double rate = 0;
  double slots = 0;
  for (const auto& [route, entry] : meter.routes) {
    if (entry.work_ms > 0) {
      rate += entry.arrivals.per_s;
      slots += entry.arrivals.per_s * entry.work_ms;
    }
  }
  return rate > 0 ? slots / rate : 0;
}

}  // namespace almondlink::control
