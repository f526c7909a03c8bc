#include "almondlink/control/routing.h"

#include <algorithm>

#include "almondlink/control/pressure.h"

namespace almondlink::control {

namespace {

/// Ratio of costs up to which a target in the own zone is preferred.
constexpr double kZoneFactor = 1.5;
constexpr double kLatencyGain = 0.1;
/// Latency in milliseconds assumed before the first sample: low enough that a
/// new target is tried, and high enough that it does not attract all calls.
constexpr double kUnknownLatency = 1.0;
constexpr double kThousand = 1000.0;

std::size_t SetAsideCount(const std::vector<TargetView>& views, Millis now) {
  return static_cast<std::size_t>(std::count_if(
      views.begin(), views.end(),
      [now](const TargetView& view) { return !MayUse(now, view.health); }));
}

/// Usable targets by zone.
struct Candidates {
  std::vector<std::size_t> near;
  std::vector<std::size_t> far;
  std::uint32_t min_level = kRankCount;
  bool is_any_shedding = false;
};

Candidates FindCandidates(const std::vector<TargetView>& views,
                          Millis now,
                          ShedRank rank,
                          bool with_suspects) {
  const bool is_health_ignored =
      SetAsideCount(views, now) > MaxEjected(views.size());
  Candidates found;
  for (std::size_t i = 0; i < views.size(); ++i) {
    const TargetView& view = views[i];
    const bool is_usable = !view.is_draining && !view.is_tried &&
                           (with_suspects || !view.is_suspect) &&
                           (is_health_ignored || MayUse(now, view.health));
    if (!is_usable) {
      continue;
    }
    const std::uint32_t level =
        DecayedLevel(view.level, view.level_received_at, now);
    if (IsShedAt(level, rank)) {
      found.is_any_shedding = true;
      found.min_level = std::min(found.min_level, level);
      continue;
    }
    (view.is_own_zone ? found.near : found.far).push_back(i);
  }
  return found;
}

/// Index below `count` for a random number in [0, 1).
std::size_t PickIndex(double draw, std::size_t count) {
  const auto index =
      static_cast<std::size_t>(draw * static_cast<double>(count));
  return std::min(count - 1, index);
}

std::optional<std::size_t> BetterOfTwo(const std::vector<TargetView>& views,
                                       const std::vector<std::size_t>& from,
                                       double first_draw,
                                       double second_draw) {
  if (from.empty()) {
    return std::nullopt;
  }
  const std::size_t count = from.size();
  const std::size_t first = PickIndex(first_draw, count);
  std::size_t second = first;
  if (count > 1) {
    // Drawn from the remaining targets, so that two different ones are
    // compared.
    const std::size_t step = 1 + PickIndex(second_draw, count - 1);
    second = (first + step) % count;
  }
  const bool is_first_better =
      CostOf(views[from[first]]) <= CostOf(views[from[second]]);
  return is_first_better ? from[first] : from[second];
}

}  // namespace

std::uint32_t DecayedLevel(std::uint32_t level,
                           Millis received_at,
                           Millis now) {
  const Millis age = now - received_at;
  if (age >= kLevelLifetime) {
    return 0;
  }
  const std::int64_t remaining =
      kLevelLifetime.count - std::max<std::int64_t>(0, age.count);
  return static_cast<std::uint32_t>(level * remaining / kLevelLifetime.count);
}

double CostOf(const TargetView& view) {
  const double latency = view.latency > 0 ? view.latency : kUnknownLatency;
  const double own = (view.in_flight + 1.0) / std::max(1U, view.slots);
  const double reported = view.utilization / kThousand;
  return latency * (1 + own + reported) + own * kUnknownLatency;
}

RouteChoice ChooseTarget(const std::vector<TargetView>& views,
                         Millis now,
                         ShedRank rank,
                         const RoutingDraws& draws) {
  Candidates found = FindCandidates(views, now, rank, false);
  if (found.near.empty() && found.far.empty()) {
    found = FindCandidates(views, now, rank, true);
  }
  RouteChoice choice;
  const std::optional<std::size_t> near =
      BetterOfTwo(views, found.near, draws.first_near, draws.second_near);
  const std::optional<std::size_t> far =
      BetterOfTwo(views, found.far, draws.first_far, draws.second_far);
  if (near.has_value() && far.has_value()) {
    const bool is_near_good =
        CostOf(views[*near]) <= kZoneFactor * CostOf(views[*far]);
    choice.index = is_near_good ? near : far;
    return choice;
  }
  choice.index = near.has_value() ? near : far;
  if (!choice.index.has_value() && found.is_any_shedding) {
    choice.no_route = NoRoute{ErrorKind::kOverloaded, found.min_level};
  }
  return choice;
}

void RecordLatency(LatencyMs sample, TargetView& view) {
  if (view.latency == 0) {
    view.latency = sample.count;
    return;
  }
  view.latency += kLatencyGain * (sample.count - view.latency);
}

}  // namespace almondlink::control
