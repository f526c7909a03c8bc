#include "almondlink/control/carried_roots.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace almondlink::control {

namespace {

/// Refused fraction from which on a service counts as refusing, and below which
/// it no longer does.
constexpr double kMinRefused = 0.1;
constexpr double kEndRefused = 0.05;
/// Probability of completing without repeats below which a class is limited,
/// and above which it no longer is. A single call that passes in half of the
/// cases is never limited.
constexpr double kMaxLimitedPass = 0.2;
constexpr double kEndLimitedPass = 0.25;
/// Largest refused fraction in divisions.
constexpr double kMaxRefused = 0.99;
/// Time constant of the calls of a complete chain.
constexpr double kWholeChainTimeMs = 30'000;
/// Calls below which a count is discarded.
constexpr double kMinCalls = 0.01;
/// Refusals per second below which the fraction would be noise.
constexpr double kMinRefusedPerSecond = 0.5;
/// Least time over which what is left of the bound is spread.
constexpr double kMinSpreadSeconds = 1;
/// Most that is planned, in multiples of the mean rate of the bound.
constexpr double kMaxRateFactor = 2;
constexpr double kMillisPerSecond = 1000;
/// Repeats that the bound has to permit when classes are limited, in multiples
/// of what the classes that are not limited need: limits end below the first
/// and resume above the second. The rates of requests are estimates.
constexpr double kEndCover = 1.5;
constexpr double kResumeCover = 2;

/// Repeats for one root request with that number of calls.
double RepeatsFor(double calls, double refused) {
  const double fraction = std::clamp(refused, 0.0, kMaxRefused);
  return calls * fraction / (1 - fraction);
}

/// Requests that a root request sends if none of its calls is repeated.
double RequestsWithoutRepeats(double calls, double refused) {
  return refused <= 0 ? calls : (1 - std::pow(1 - refused, calls)) / refused;
}

/// Whether the bound covers the repeats of the most urgent route when the
/// classes of `limits` are limited. The repeats of the other classes that are
/// not limited are included: the order in which repeats are granted is not
/// strict, so those take from the most urgent route what the bound lacks.
bool CoversMostUrgent(std::uint32_t service,
                      const RefusingService& limits,
                      const RepeatStock& stock,
                      const std::vector<CarriedClass>& classes,
                      const CarriedRoots& state) {
  double needed = 0;
  bool has_most_urgent = false;
  double limited_need = 0;
  double unlimited_requests = 0;
  double limited_requests = 0;
  for (const CarriedClass& entry : classes) {
    const auto chain = state.whole_chains.find({service, entry.route});
    if (chain == state.whole_chains.end()) {
      continue;
    }
    const double calls = chain->second;
    const auto limited = limits.repeats_per_root.find(entry.route);
    if (limited != limits.repeats_per_root.end()) {
      limited_need += entry.offered_per_s * limited->second;
      limited_requests += entry.offered_per_s * calls;
      continue;
    }
    unlimited_requests +=
        entry.offered_per_s * RequestsWithoutRepeats(calls, limits.refused);
    needed += entry.offered_per_s * RepeatsFor(calls, limits.refused);
    has_most_urgent = has_most_urgent || entry.is_most_urgent;
  }
  const double share = limited_need > limits.repeats_per_s
                           ? limits.repeats_per_s / limited_need
                           : 1;
  const double permitted =
      stock.ratio * (unlimited_requests + share * limited_requests);
  const double cover =
      state.unlimited_services.count(service) > 0 ? kResumeCover : kEndCover;
  return !has_most_urgent || permitted >= cover * needed;
}

}  // namespace

double RefusedFraction(const ServiceRefusals& refusals) {
  if (refusals.refused_per_s < kMinRefusedPerSecond) {
    return 0;
  }
  const double sent =
      std::max(refusals.sent_per_s,
               refusals.refused_per_s + std::max(0.0, refusals.accepted_per_s));
  return std::min(1.0, refusals.refused_per_s / sent);
}

double RepeatsPerSecond(const RepeatStock& stock, Millis lasted) {
  const double window =
      static_cast<double>(stock.window.count) / kMillisPerSecond;
  if (window <= 0 || stock.bound <= 0) {
    return 0;
  }
  const double left = std::max(0.0, stock.bound - stock.used);
  const double rate = stock.bound / window;
  const double rest =
      window - static_cast<double>(lasted.count) / kMillisPerSecond;
  if (rest <= 0) {
    return std::min(rate, left / kMinSpreadSeconds);
  }
  return std::min(kMaxRateFactor * rate,
                  left / std::max(kMinSpreadSeconds, rest));
}

void UpdateRefusing(Millis now,
                    const std::map<std::uint32_t, double>& fractions,
                    CarriedRoots& state) {
  for (auto entry = state.refusing_since.begin();
       entry != state.refusing_since.end();) {
    const auto fraction = fractions.find(entry->first);
    const bool has_ended =
        fraction == fractions.end() || fraction->second < kEndRefused;
    entry = has_ended ? state.refusing_since.erase(entry) : std::next(entry);
  }
  for (const auto& [service, fraction] : fractions) {
    if (fraction >= kMinRefused) {
      state.refusing_since.emplace(service, now);
    }
  }
  for (auto entry = state.unlimited_services.begin();
       entry != state.unlimited_services.end();) {
    const bool has_ended = state.refusing_since.count(*entry) == 0;
    entry =
        has_ended ? state.unlimited_services.erase(entry) : std::next(entry);
  }
  for (auto entry = state.limited.begin(); entry != state.limited.end();) {
    const bool has_ended = state.refusing_since.count(entry->first) == 0;
    entry = has_ended ? state.limited.erase(entry) : std::next(entry);
  }
}

void UpdateWholeChains(Millis now,
                       const std::vector<CountedCalls>& counted,
                       CarriedRoots& state) {
  const auto span = static_cast<double>((now - state.updated).count);
  const double keep = std::exp(-std::max(0.0, span) / kWholeChainTimeMs);
  state.updated = now;
  for (auto entry = state.whole_chains.begin();
       entry != state.whole_chains.end();) {
    if (state.refusing_since.count(entry->first.first) == 0) {
      entry->second *= keep;
    }
    entry = entry->second < kMinCalls ? state.whole_chains.erase(entry)
                                      : std::next(entry);
  }
  for (const CountedCalls& calls : counted) {
    if (calls.per_root >= kMinCalls) {
      double& whole = state.whole_chains[{calls.service, calls.route}];
      whole = std::max(whole, calls.per_root);
    }
  }
}

std::optional<double> RepeatsPerRoot(std::uint32_t service,
                                     std::uint32_t route,
                                     double refused,
                                     CarriedRoots& state) {
  const std::pair<std::uint32_t, std::uint32_t> key{service, route};
  const auto chain = state.whole_chains.find(key);
  if (state.refusing_since.count(service) == 0 ||
      chain == state.whole_chains.end()) {
    state.limited.erase(key);
    return std::nullopt;
  }
  const double fraction = std::clamp(refused, 0.0, kMaxRefused);
  const double pass = std::pow(1 - fraction, chain->second);
  const double threshold =
      state.limited.count(key) > 0 ? kEndLimitedPass : kMaxLimitedPass;
  if (pass >= threshold) {
    state.limited.erase(key);
    return std::nullopt;
  }
  state.limited.insert(key);
  return RepeatsFor(chain->second, refused);
}

RefusingService LimitByRepeats(Millis now,
                               std::uint32_t service,
                               double refused,
                               const RepeatStock& stock,
                               const std::vector<CarriedClass>& classes,
                               CarriedRoots& state) {
  RefusingService limits;
  limits.refused = refused;
  limits.repeats_per_s =
      RepeatsPerSecond(stock, now - state.refusing_since.at(service));
  for (const CarriedClass& entry : classes) {
    const std::optional<double> repeats =
        entry.is_most_urgent
            ? std::nullopt
            : RepeatsPerRoot(service, entry.route, refused, state);
    if (repeats.has_value()) {
      limits.repeats_per_root[entry.route] = *repeats;
    }
  }
  if (CoversMostUrgent(service, limits, stock, classes, state)) {
    state.unlimited_services.erase(service);
  } else {
    state.unlimited_services.insert(service);
    limits.repeats_per_root.clear();
  }
  return limits;
}

}  // namespace almondlink::control
