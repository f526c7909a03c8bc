#include <algorithm>
#include <cmath>
#include <iterator>

#include "almondlink/base/event_log.h"
#include "almondlink/control/carried_roots.h"
#include "almondlink/control/repeat_allowance.h"
#include "almondlink/relay/entry_calls.h"

/// Root requests that the bound on repeats cannot carry through services whose
/// targets refuse calls. See almondlink/control/carried_roots.h.
namespace almondlink::relay {

namespace {

/// Minimum change of the refused fraction that is logged.
constexpr double kLoggedFractionStep = 0.1;

double AcceptedPerSecond(const control::ServiceCapacity& service) {
  double accepted = 0;
  for (const control::TargetCapacity& target : service.targets) {
    for (const control::RouteDemand& demand : target.demand) {
      accepted += demand.calls_per_s;
    }
  }
  return accepted;
}

std::vector<control::CountedCalls> CountedCallsOf(
    const std::map<std::uint32_t, control::RootTotals>& roots) {
  std::vector<control::CountedCalls> counted;
  for (const auto& [route, sums] : roots) {
    if (sums.counted_per_s <= 0) {
      continue;
    }
    for (const auto& [service, calls_per_s] : sums.calls_per_s) {
      counted.push_back({service, route, calls_per_s / sums.counted_per_s});
    }
  }
  return counted;
}

std::vector<control::CarriedClass> CarriedClassesOf(
    const std::map<std::uint32_t, control::RootTotals>& roots,
    const control::ChainAdmission& admission) {
  std::vector<control::CarriedClass> classes;
  for (const auto& [route, state] : admission.routes) {
    const auto sums = roots.find(route);
    if (sums != roots.end()) {
      const bool is_most_urgent =
          admission.most_urgent_route.has_value() &&
          state.route_priority <= *admission.most_urgent_route;
      classes.push_back({route, sums->second.offered_per_s, is_most_urgent});
    }
  }
  return classes;
}

}  // namespace

/// The services whose targets refuse calls, with the classes that are limited
/// there. Empty without totals over all nodes.
std::vector<control::RefusingService> EntryCalls::RefusingServices(
    Millis now,
    const std::vector<control::ServiceCapacity>& services,
    const std::map<std::uint32_t, control::RootTotals>& roots) {
  if (!this->settings.decisions.carries_roots) {
    this->carried_roots = {};
    return {};
  }
  const control::DecisionSums* totals = this->decisions.Totals(now);
  std::map<std::uint32_t, double> fractions;
  for (const control::ServiceCapacity& service : services) {
    if (totals == nullptr || totals->refusals.count(service.key) == 0) {
      continue;
    }
    const control::RefusalRates& rates = totals->refusals.at(service.key);
    fractions[service.key] = control::RefusedFraction(
        {service.key, rates.sent_per_s, rates.refused_per_s,
         AcceptedPerSecond(service)});
  }
  control::UpdateRefusing(now, fractions, this->carried_roots);
  control::UpdateWholeChains(now, CountedCallsOf(roots), this->carried_roots);
  const std::vector<control::CarriedClass> classes =
      CarriedClassesOf(roots, this->admission);
  std::vector<control::RefusingService> refusing;
  for (const control::ServiceCapacity& service : services) {
    if (this->carried_roots.refusing_since.count(service.key) == 0) {
      continue;
    }
    refusing.push_back(control::LimitByRepeats(
        now, service.key, fractions[service.key],
        this->StockOf(now, service.service), classes, this->carried_roots));
    refusing.back().service = service.service;
  }
  return refusing;
}

/// The bound on repeats at a service over all nodes, and what is used of it.
control::RepeatStock EntryCalls::StockOf(Millis now,
                                         const std::string& service) {
  const control::RepeatRules rules = this->CurrentRepeatRules();
  const control::RepeatCounts sums = this->SumRepeatCounts(now, service);
  control::RepeatStock stock;
  stock.bound = control::PlannedRepeatBound(rules, sums);
  stock.used = sums.repeats;
  stock.window = rules.window;
  stock.ratio = rules.ratio * rules.usable_share;
  return stock;
}

/// Logs each service where classes begin or cease to be limited by repeats, or
/// whose refused fraction has moved by kLoggedFractionStep since it was last
/// logged.
void EntryCalls::LogRefusing(
    const std::vector<control::RefusingService>& refusing) {
  const auto log = [](const std::string& service, double refused,
                      double repeats_per_s) {
    LogEvent(kEventRootsNotCarried,
             {{"service", service},
              {"refused", std::to_string(refused)},
              {"repeats_per_s", std::to_string(repeats_per_s)}});
  };
  std::map<std::string, double> ended = this->logged_refusing;
  for (const control::RefusingService& service : refusing) {
    if (service.repeats_per_root.empty()) {
      continue;
    }
    ended.erase(service.service);
    const auto logged = this->logged_refusing.find(service.service);
    if (logged == this->logged_refusing.end() ||
        std::abs(logged->second - service.refused) >= kLoggedFractionStep) {
      this->logged_refusing[service.service] = service.refused;
      log(service.service, service.refused, service.repeats_per_s);
    }
  }
  for (const auto& [service, refused] : ended) {
    this->logged_refusing.erase(service);
    log(service, 0, 0);
  }
}

}  // namespace almondlink::relay
