#include <algorithm>
#include <cmath>

#include "almondlink/base/event_log.h"
#include "almondlink/relay/entry_calls.h"
#include "almondlink/relay/route_decisions.h"

/// Counters and events of the decisions among classes of root requests:
/// exchanges of slots (almondlink/control/route_exchange.h), and root requests
/// that repeats cannot carry (almondlink/control/carried_roots.h).
namespace almondlink::relay {

namespace {

/// Minimum change of a given share that is logged.
constexpr double kLoggedShareStep = 0.1;
/// Given shares below this count as none.
constexpr double kMinGivenShare = 0.01;
/// Lower bound of the refused share in divisions.
constexpr double kMinRefusedShare = 0.01;

}  // namespace

void WriteRouteDecisions(
    const RouteDecisionCounts& counts,
    const std::function<std::string(std::uint32_t)>& name_of,
    MetricText& out) {
  out.Begin("refused_for_exchange_total", "counter",
            "Root requests refused at entry so that requests of a less urgent "
            "route (served) were served with the capacity.");
  for (const auto& [pair, count] : counts.refused_for_exchange) {
    out.Add(MetricLabel("route", name_of(pair.first)) + "," +
                MetricLabel("served", name_of(pair.second)),
            count);
  }
  out.Begin("refused_not_carried_total", "counter",
            "Root requests refused at entry because targets refuse calls of "
            "their chains and the bound on repeats cannot carry them.");
  for (const auto& [route, count] : counts.refused_not_carried) {
    out.Add(MetricLabel("route", name_of(route)), count);
  }
}

/// Counts a root request of the class that was refused at entry.
void EntryCalls::CountRefusedClass(std::uint32_t route) {
  const auto known = this->admission.routes.find(route);
  if (known == this->admission.routes.end()) {
    return;
  }
  const control::RouteShare& state = known->second;
  // Right after a change the share in force still refuses less than is given.
  double refused = std::max(kMinRefusedShare, 1 - state.share);
  double decided = state.not_carried;
  for (const auto& [served, given] : state.given) {
    decided += given.share;
  }
  refused = std::max(refused, decided);
  for (const auto& [served, given] : state.given) {
    this->route_decisions.refused_for_exchange[{route, served}] +=
        given.share / refused;
  }
  if (state.not_carried > 0) {
    this->route_decisions.refused_not_carried[route] +=
        state.not_carried / refused;
  }
}

void EntryCalls::LogExchange(const control::ExchangePair& pair,
                             const control::GivenShare& given) {
  LogEvent(kEventRoutesExchanged, {{"service", given.service},
                                   {"given_up", this->RouteName(pair.first)},
                                   {"served", this->RouteName(pair.second)},
                                   {"given_share", std::to_string(given.share)},
                                   {"ratio", std::to_string(given.ratio)}});
}

/// Logs each exchange that begins, ends, or whose given share has moved by
/// kLoggedShareStep since it was last logged.
void EntryCalls::LogExchanges() {
  for (const auto& [route, state] : this->admission.routes) {
    for (const auto& [served, given] : state.given) {
      const control::ExchangePair pair{route, served};
      const auto logged = this->logged_exchanges.find(pair);
      const bool is_new = logged == this->logged_exchanges.end();
      const double step = is_new ? kMinGivenShare : kLoggedShareStep;
      const double before = is_new ? 0 : logged->second.share;
      if (std::abs(given.share - before) >= step) {
        this->logged_exchanges[pair] = given;
        this->LogExchange(pair, given);
      }
    }
  }
  for (auto logged = this->logged_exchanges.begin();
       logged != this->logged_exchanges.end();) {
    const auto& [pair, given] = *logged;
    const auto giver = this->admission.routes.find(pair.first);
    const bool is_going_on = giver != this->admission.routes.end() &&
                             giver->second.given.count(pair.second) > 0;
    if (is_going_on) {
      ++logged;
      continue;
    }
    control::GivenShare ended = given;
    ended.share = 0;
    this->LogExchange(pair, ended);
    logged = this->logged_exchanges.erase(logged);
  }
}

}  // namespace almondlink::relay
