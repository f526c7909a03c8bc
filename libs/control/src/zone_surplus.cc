#include "almondlink/control/zone_surplus.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace almondlink::control {

namespace {

constexpr double kTrafficTimeConstantMs = 10000;
constexpr double kMinWeight = 0.01;
/// Part of the difference that is applied with each sum. The calls in flight
/// respond to a change within about one interval of the sums; with the whole
/// difference, the surplus would alternate between zones.
constexpr double kApproach = 0.5;
/// A smaller part is none: a zone would otherwise send single calls elsewhere
/// for long after its surplus has ended.
constexpr double kMinPart = 0.005;

double MeanBytes(const RouteTraffic& traffic) {
  return traffic.calls > 0 ? traffic.bytes / traffic.calls : 0;
}

}  // namespace

ZoneSurplus SurplusOf(std::uint32_t zone,
                      std::uint32_t service,
                      double own_slots,
                      const DecisionSums& sums) {
  ZoneSurplus own;
  double all_surplus = 0;
  double all_spare = 0;
  double outstanding = 0;
  for (const auto& [key, load] : sums.zones) {
    if (key.second != service) {
      continue;
    }
    const double slots = key.first == zone ? own_slots : load.slots;
    const double excess = load.outstanding - kZoneFill * slots;
    if (excess > 0) {
      all_surplus += excess;
    } else {
      all_spare -= excess;
    }
    if (key.first == zone) {
      own.calls = std::max(0.0, excess);
      outstanding = load.outstanding;
    } else if (excess < 0) {
      own.spare[key.first] = -excess;
    }
  }
  if (all_surplus > all_spare) {
    own.calls *= all_spare / all_surplus;
  }
  own.part = outstanding > 0 ? own.calls / outstanding : 0;
  return own;
}

void UpdateFlow(const ZoneSurplus& surplus, ZoneFlow& flow) {
  flow.surplus = surplus;
  flow.part += kApproach * (surplus.part - flow.part);
  if (surplus.part <= 0 && flow.part < kMinPart) {
    flow.part = 0;
  }
}

void RecordTraffic(std::uint32_t route,
                   double bytes,
                   LatencyMs took,
                   ZoneFlow& flow) {
  RouteTraffic& traffic = flow.routes[route];
  traffic.bytes += bytes;
  traffic.time_ms += std::max(0.0, took.count);
  traffic.calls += 1;
}

void DecayTraffic(Millis now, ZoneFlow& flow) {
  const auto elapsed = static_cast<double>((now - flow.decayed_at).count);
  flow.decayed_at = now;
  const double keep =
      std::exp(-std::max(0.0, elapsed) / kTrafficTimeConstantMs);
  for (auto entry = flow.routes.begin(); entry != flow.routes.end();) {
    RouteTraffic& traffic = entry->second;
    traffic.bytes *= keep;
    traffic.time_ms *= keep;
    traffic.calls *= keep;
    entry = traffic.calls < kMinWeight ? flow.routes.erase(entry)
                                       : std::next(entry);
  }
}

double LeavingPart(std::uint32_t route, const ZoneFlow& flow) {
  if (flow.part <= 0) {
    return 0;
  }
  const auto own = flow.routes.find(route);
  if (own == flow.routes.end() || own->second.time_ms <= 0) {
    return flow.part;
  }
  const double own_bytes = MeanBytes(own->second);
  double all_ms = 0;
  double smaller_ms = 0;
  for (const auto& [other, traffic] : flow.routes) {
    all_ms += traffic.time_ms;
    const double bytes = MeanBytes(traffic);
    const bool is_smaller =
        bytes < own_bytes || (bytes == own_bytes && other < route);
    smaller_ms += is_smaller ? traffic.time_ms : 0;
  }
  return std::clamp((flow.part * all_ms - smaller_ms) / own->second.time_ms,
                    0.0, 1.0);
}

std::uint32_t ChooseZone(const ZoneFlow& flow,
                         const std::vector<std::uint32_t>& usable,
                         double draw) {
  const auto spare_of = [&flow](std::uint32_t zone) {
    const auto found = flow.surplus.spare.find(zone);
    return found == flow.surplus.spare.end() ? 0.0 : found->second;
  };
  double total = 0;
  for (const std::uint32_t zone : usable) {
    total += spare_of(zone);
  }
  double left = draw * total;
  for (const std::uint32_t zone : usable) {
    const double spare = spare_of(zone);
    if (spare > 0 && left < spare) {
      return zone;
    }
    left -= spare;
  }
  return 0;
}

}  // namespace almondlink::control
