#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

#include "almondlink/control/chain_admission.h"

/// Counts the root requests of a node and sums the rates of all nodes.
/// Implements part of chain_admission.h.
namespace almondlink::control {

namespace {

/// Time constant of the offered rate: short enough to follow a surge within
/// half a second, long enough to smooth out random arrivals.
constexpr double kOfferedTimeConstantMs = 400;
/// Root requests per second below which a route is removed: one in some
/// minutes.
constexpr double kMinRetainedPerSecond = 0.01;

}  // namespace

double ShareOf(std::uint32_t route, const ChainAdmission& admission) {
  const auto found = admission.routes.find(route);
  return found == admission.routes.end() ? 1.0 : found->second.share;
}

bool TryAdmitRoot(std::uint32_t route,
                  std::uint32_t priority,
                  double draw,
                  ChainAdmission& admission) {
  RootRequest request;
  request.route = route;
  request.priority = priority;
  request.route_priority = priority;
  return TryAdmitRoot(request, draw, admission);
}

bool TryAdmitRoot(const RootRequest& request,
                  double draw,
                  ChainAdmission& admission) {
  RouteShare& state = admission.routes[request.route];
  state.priority = request.priority;
  state.route_priority = request.route_priority;
  state.account_priority = request.account_priority;
  ++state.offered.events;
  const double share = request.share.value_or(state.share);
  if (share < 1 && draw >= share) {
    return false;
  }
  ++state.admitted.events;
  return true;
}

void UpdateRootRates(Millis now, ChainAdmission& admission) {
  const double span = static_cast<double>((now - admission.updated).count);
  if (span <= 0) {
    return;
  }
  admission.updated = now;
  admission.window_ms = span;
  for (auto entry = admission.routes.begin();
       entry != admission.routes.end();) {
    RouteShare& route = entry->second;
    UpdateRate(span, kOfferedTimeConstantMs, route.offered);
    UpdateRate(span, kCallRatioTimeConstantMs, route.admitted);
    const bool is_forgotten = route.share >= 1 &&
                              route.offered.per_s < kMinRetainedPerSecond &&
                              route.admitted.per_s < kMinRetainedPerSecond;
    entry = is_forgotten ? admission.routes.erase(entry) : std::next(entry);
  }
}

std::vector<RootRate> LocalRootRates(const ChainAdmission& admission) {
  std::vector<RootRate> rates;
  for (const auto& [route, state] : admission.routes) {
    RootRate rate;
    rate.route = route;
    rate.offered_per_s = state.offered.per_s;
    rate.admitted_per_s = state.admitted.per_s;
    const auto chain = admission.chains.routes.find(route);
    if (chain != admission.chains.routes.end()) {
      rate.calls = chain->second.calls;
    }
    rates.push_back(std::move(rate));
  }
  return rates;
}

bool HaveChainsChanged(const std::vector<RootRate>& announced,
                       const std::vector<RootRate>& current) {
  constexpr double kMinChange = 0.1;
  for (const RootRate& rate : current) {
    const auto before = std::find_if(
        announced.begin(), announced.end(),
        [&rate](const RootRate& entry) { return entry.route == rate.route; });
    for (const ServiceCalls& calls : rate.calls) {
      double known = 0;
      if (before != announced.end()) {
        for (const ServiceCalls& entry : before->calls) {
          known = entry.service == calls.service ? entry.per_root : known;
        }
      }
      if (std::abs(calls.per_root - known) >
          kMinChange * std::max(calls.per_root, known)) {
        return true;
      }
    }
  }
  return false;
}

void AddRootRate(const RootRate& rate,
                 std::map<std::uint32_t, RootTotals>& sums) {
  RootTotals& sum = sums[rate.route];
  sum.offered_per_s += rate.offered_per_s;
  sum.admitted_per_s += rate.admitted_per_s;
  if (rate.calls.empty()) {
    return;
  }
  // The counts remain known while no root request is admitted.
  const double weight = std::max(rate.admitted_per_s, kMinRetainedPerSecond);
  sum.counted_per_s += weight;
  for (const ServiceCalls& calls : rate.calls) {
    sum.calls_per_s[calls.service] += weight * calls.per_root;
  }
}

void AddRootTotals(const RootTotals& added, RootTotals& sum) {
  sum.offered_per_s += added.offered_per_s;
  sum.admitted_per_s += added.admitted_per_s;
  sum.counted_per_s += added.counted_per_s;
  for (const auto& [service, calls] : added.calls_per_s) {
    sum.calls_per_s[service] += calls;
  }
}

std::optional<double> CountedCallsPerRoot(const RootTotals& sum,
                                          std::uint32_t service) {
  if (sum.counted_per_s <= 0) {
    return std::nullopt;
  }
  const auto found = sum.calls_per_s.find(service);
  return found == sum.calls_per_s.end() ? 0 : found->second / sum.counted_per_s;
}

}  // namespace almondlink::control
