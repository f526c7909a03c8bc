#include "almondlink/control/demand_meter.h"

#include <algorithm>
#include <cmath>

namespace almondlink::control {

namespace {

/// Time constant of the arrival rate: about one chain of calls, so that a
/// change of admission shows before the next but two decisions.
constexpr double kRateMemoryMs = 300;
/// Weight of one sample of work: 30 samples, some tens of milliseconds on a
/// busy target, follow a target that turns slow.
constexpr double kWorkWeight = 1.0 / 30;
constexpr double kLeastSlots = 0.02;
constexpr double kForgottenRate = 1e-6;

}  // namespace

void NoteDemand(std::uint32_t route, DemandMeter& meter) {
  ++meter.routes[route].arrivals;
}

void NoteWork(std::uint32_t route, LatencyMs work, DemandMeter& meter) {
  DemandMeter::PerRoute& entry = meter.routes[route];
  entry.work_ms = entry.work_ms == 0 ? work.count
                                     : entry.work_ms +
                                           kWorkWeight *
                                               (work.count - entry.work_ms);
}

void UpdateDemand(Millis now, DemandMeter& meter) {
  const double span = static_cast<double>((now - meter.window_start).count);
  if (span <= 0) {
    return;
  }
  meter.window_start = now;
  const double keep = std::exp(-span / kRateMemoryMs);
  for (auto entry = meter.routes.begin(); entry != meter.routes.end();) {
    DemandMeter::PerRoute& route = entry->second;
    const double rate = route.arrivals / span;
    route.rate_per_ms = keep * route.rate_per_ms + (1 - keep) * rate;
    route.arrivals = 0;
    const bool is_forgotten = route.rate_per_ms < kForgottenRate;
    entry = is_forgotten ? meter.routes.erase(entry) : std::next(entry);
  }
}

std::vector<RouteDemand> DemandOf(const DemandMeter& meter) {
  std::vector<RouteDemand> demand;
  for (const auto& [route, entry] : meter.routes) {
    const double slots = entry.rate_per_ms * entry.work_ms;
    if (slots >= kLeastSlots) {
      demand.push_back({route, slots});
    }
  }
  return demand;
}

double MeanWorkMs(const DemandMeter& meter) {
  double rate = 0;
  double slots = 0;
  for (const auto& [route, entry] : meter.routes) {
    if (entry.work_ms > 0) {
      rate += entry.rate_per_ms;
      slots += entry.rate_per_ms * entry.work_ms;
    }
  }
  return rate > 0 ? slots / rate : 0;
}

}  // namespace almondlink::control
