#ifndef ALMONDLINK_RELAY_ROUTE_DECISIONS_H_
#define ALMONDLINK_RELAY_ROUTE_DECISIONS_H_

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "almondlink/base/metrics.h"
#include "almondlink/control/route_exchange.h"

/// Counts of the root requests that were refused at entry because of a decision
/// among classes, for metrics.
namespace almondlink::relay {

struct RouteDecisionCounts {
  /// Refused for an exchange of slots, by the class of the refused requests and
  /// the class that was served instead. A refusal that has several reasons
  /// counts for each in proportion to its part of the refused share.
  std::map<control::ExchangePair, double> refused_for_exchange;
  /// Refused because the repeats that the bound permits cannot carry them, by
  /// class.
  std::map<std::uint32_t, double> refused_not_carried;
};

/// Appends the counts in the Prometheus text exposition format. `name_of` gives
/// the name of a class.
/// Thread safe: pure apart from `out`.
void WriteRouteDecisions(
    const RouteDecisionCounts& counts,
    const std::function<std::string(std::uint32_t)>& name_of,
    MetricText& out);

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_ROUTE_DECISIONS_H_
