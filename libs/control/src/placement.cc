#include "almondlink/control/placement.h"

#include <algorithm>
#include <cmath>

#include "almondlink/control/error_rate.h"

namespace almondlink::control {

namespace {

/// A root request waits for a target at most its latency target divided by
/// this, as it does for a slot.
constexpr std::int64_t kRootWaitDivisor = 2;
/// Time before the deadline that is kept for running the request after its
/// wait.
constexpr Millis kMinTimeLeft{30};

/// Expected wait up to full occupancy, in multiples of the work time: 0.03 at
/// half occupancy, 0.5 at 0.8, and 2 when all slots are taken.
constexpr double kWaitExponent = 6;
constexpr double kFullWaitFactor = 2;
/// Additional wait per queued request and slot, in multiples of the work time.
constexpr double kQueuedWaitFactor = 4;
constexpr double kUnknownWorkMs = 10;

/// For each target, the part by which its error rate exceeds that of the
/// others.
std::vector<double> ExcessErrorRates(
    const std::vector<PlacementTarget>& targets) {
  double sum = 0;
  std::size_t open_count = 0;
  for (const PlacementTarget& target : targets) {
    sum += target.is_open ? target.error_rate : 0;
    open_count += target.is_open ? 1 : 0;
  }
  std::vector<double> excess(targets.size(), 0.0);
  if (sum <= 0 || open_count < 2) {
    return excess;
  }
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const double others =
        (sum - targets[i].error_rate) / static_cast<double>(open_count - 1);
    excess[i] =
        targets[i].is_open ? ExcessErrorRate(targets[i].error_rate, others) : 0;
  }
  return excess;
}

struct Candidates {
  std::vector<std::size_t> near;
  std::vector<std::size_t> far;
};

Candidates FindCandidates(const std::vector<PlacementTarget>& targets,
                          Millis now) {
  std::size_t open_count = 0;
  std::size_t set_aside_count = 0;
  for (const PlacementTarget& target : targets) {
    open_count += target.is_open ? 1 : 0;
    set_aside_count += target.is_open && !MayUse(now, target.health) ? 1 : 0;
  }
  const bool is_health_ignored = set_aside_count > MaxEjected(open_count);
  Candidates found;
  for (std::size_t i = 0; i < targets.size(); ++i) {
    const PlacementTarget& target = targets[i];
    const bool is_usable = target.is_open && !target.is_limited &&
                           !target.is_tried &&
                           (is_health_ignored || MayUse(now, target.health));
    if (is_usable) {
      (target.is_own_zone ? found.near : found.far).push_back(i);
    }
  }
  return found;
}

double TypicalWorkMs(const std::vector<PlacementTarget>& targets) {
  double sum = 0;
  std::size_t known = 0;
  for (const PlacementTarget& target : targets) {
    if (target.is_open && target.work_ms > 0) {
      sum += target.work_ms;
      ++known;
    }
  }
  return known == 0 ? kUnknownWorkMs : sum / static_cast<double>(known);
}

double Occupancy(const PlacementTarget& target) {
  return static_cast<double>(target.reported_load + target.sent_since) /
         std::max(1U, target.slots);
}

/// Expected time of a request at one target, including the penalties for
/// failures.
double CostOf(const PlacementRules& rules,
              const PlacementTarget& target,
              double excess_errors,
              double typical) {
  const double slower = 1 + rules.failing_weight * target.health.failure_rate;
  const double errors = rules.error_penalty_ms * excess_errors;
  if (rules.is_time_based) {
    return slower * ExpectedTimeMs(target, typical) + errors;
  }
  PlacementTarget average = target;
  average.work_ms = typical;
  return slower * ExpectedTimeMs(average, typical) + errors;
}

/// Draws two targets and returns the cheaper one, or the one with lower
/// occupancy if the expected time of both is acceptable.
std::optional<std::size_t> CheaperOfTwo(
    const PlacementRules& rules,
    const std::vector<PlacementTarget>& targets,
    const std::vector<double>& costs,
    const std::vector<std::size_t>& candidates,
    double first_draw,
    double second_draw) {
  if (candidates.empty()) {
    return std::nullopt;
  }
  const auto count = static_cast<double>(candidates.size());
  const std::size_t first = std::min(
      candidates.size() - 1, static_cast<std::size_t>(first_draw * count));
  std::size_t second = first;
  if (candidates.size() > 1) {
    const std::size_t step =
        std::min(candidates.size() - 2,
                 static_cast<std::size_t>(second_draw * (count - 1)));
    second = (first + 1 + step) % candidates.size();
  }
  const double first_cost = costs[candidates[first]];
  const double second_cost = costs[candidates[second]];
  const double first_occupancy = Occupancy(targets[candidates[first]]);
  const double second_occupancy = Occupancy(targets[candidates[second]]);
  const bool are_both_acceptable =
      std::max(first_cost, second_cost) <= rules.acceptable_ms;
  const bool is_first =
      are_both_acceptable && first_occupancy != second_occupancy
          ? first_occupancy < second_occupancy
          : first_cost <= second_cost;
  return is_first ? candidates[first] : candidates[second];
}

}  // namespace

double ExpectedTimeMs(const PlacementTarget& target, double typical_ms) {
  const double work = target.work_ms > 0 ? target.work_ms : typical_ms;
  const double slots = std::max(1U, target.slots);
  const double occupied =
      (target.reported_load + target.sent_since + 1) / slots;
  const double below = std::min(1.0, occupied);
  const double wait = kFullWaitFactor * std::pow(below, kWaitExponent) +
                      kQueuedWaitFactor * std::max(0.0, occupied - 1);
  return work * (1 + wait);
}

std::optional<std::size_t> ChoosePlacementTarget(
    const PlacementRules& rules,
    const std::vector<PlacementTarget>& targets,
    Millis now,
    const PlacementDraws& draws) {
  const std::vector<double> excess_errors = ExcessErrorRates(targets);
  const Candidates found = FindCandidates(targets, now);
  const double typical_ms = TypicalWorkMs(targets);
  std::vector<double> costs(targets.size());
  for (std::size_t i = 0; i < targets.size(); ++i) {
    costs[i] = CostOf(rules, targets[i], excess_errors[i], typical_ms);
  }
  const std::optional<std::size_t> near = CheaperOfTwo(
      rules, targets, costs, found.near, draws.near_first, draws.near_second);
  const std::optional<std::size_t> far = CheaperOfTwo(
      rules, targets, costs, found.far, draws.far_first, draws.far_second);
  if (!near.has_value() || !far.has_value()) {
    return near.has_value() ? near : far;
  }
  const double near_cost = costs[*near];
  const double far_cost = costs[*far];
  const bool is_near =
      near_cost <= rules.acceptable_ms ||
      near_cost <= rules.zone_factor * far_cost + rules.zone_ms;
  return is_near ? near : far;
}

Millis MaxWaitForTarget(Millis report_time,
                        Millis elapsed,
                        bool is_root,
                        Millis latency_target,
                        Millis time_left) {
  const Millis max_useful =
      is_root ? Millis{latency_target.count / kRootWaitDivisor} : time_left;
  return std::max(Millis{0}, std::min({report_time - elapsed, max_useful,
                                       time_left - kMinTimeLeft}));
}

}  // namespace almondlink::control
