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
/// Costs that differ by less than this part count as equal when all targets of
/// a zone are compared. Otherwise all nodes would choose the same target until
/// its next report.
constexpr double kEqualCostPart = 0.02;

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

/// Cost of one target for a request.
struct TargetCost {
  /// Expected time, including the penalties for failures.
  double time_ms = 0;
  /// The same with the penalty for a late end.
  double total_ms = 0;
};

TargetCost CostOf(const PlacementRules& rules,
                  const PlacementTarget& target,
                  double excess_errors,
                  double typical) {
  const double slower = 1 + rules.failing_weight * target.health.failure_rate;
  PlacementTarget timed = target;
  if (!rules.is_time_based) {
    timed.work_ms = typical;
  } else if (rules.mean_run_ms > 0 && target.speed > 0) {
    timed.work_ms = rules.mean_run_ms / target.speed;
  }
  TargetCost cost;
  cost.time_ms = slower * ExpectedTimeMs(timed, typical) +
                 rules.error_penalty_ms * excess_errors;
  cost.total_ms = cost.time_ms + rules.late_penalty_ms * target.late_chance;
  return cost;
}

/// What the targets of one choice have in common.
struct Comparison {
  const PlacementRules& rules;
  const std::vector<PlacementTarget>& targets;
  std::vector<TargetCost> costs;

  /// Whether nothing is gained by a target other than this one: its time is
  /// acceptable, and the request is no more at risk than with `best_chance`.
  bool IsAcceptable(std::size_t place, double best_chance) const {
    return this->costs[place].time_ms <= this->rules.acceptable_ms &&
           this->targets[place].late_chance <= best_chance + kMaxChanceGap;
  }
};

/// The candidates with a free slot; all if there is none.
std::vector<std::size_t> WithFreeSlots(
    const std::vector<PlacementTarget>& targets,
    const std::vector<std::size_t>& candidates) {
  std::vector<std::size_t> free;
  for (const std::size_t place : candidates) {
    if (Occupancy(targets[place]) < 1) {
      free.push_back(place);
    }
  }
  return free.empty() ? candidates : free;
}

/// Precondition: `candidates` is not empty.
std::size_t LeastOccupied(const std::vector<PlacementTarget>& targets,
                          const std::vector<std::size_t>& candidates) {
  return *std::min_element(candidates.begin(), candidates.end(),
                           [&targets](std::size_t first, std::size_t second) {
                             return Occupancy(targets[first]) <
                                    Occupancy(targets[second]);
                           });
}

/// Returns the target with the lowest cost, or the one with lower occupancy of
/// those that cost about as much or are all acceptable. A fast target costs
/// less than a slow one even if the request has to wait there, so without a
/// preference for free slots all requests at risk would queue at the fastest.
std::size_t CheapestOfAll(const Comparison& comparison,
                          const std::vector<std::size_t>& candidates,
                          double best_chance) {
  const std::vector<std::size_t> usable =
      WithFreeSlots(comparison.targets, candidates);
  double lowest = comparison.costs[usable.front()].total_ms;
  for (const std::size_t place : usable) {
    lowest = std::min(lowest, comparison.costs[place].total_ms);
  }
  const double equal_cost = lowest * (1 + kEqualCostPart);
  std::optional<std::size_t> chosen;
  for (const std::size_t place : usable) {
    const bool is_equal = comparison.costs[place].total_ms <= equal_cost ||
                          comparison.IsAcceptable(place, best_chance);
    if (is_equal &&
        (!chosen.has_value() || Occupancy(comparison.targets[place]) <
                                    Occupancy(comparison.targets[*chosen]))) {
      chosen = place;
    }
  }
  return chosen.value_or(usable.front());
}

/// Chooses among the usable targets of the own zone, or of all others: the
/// cheaper one of two drawn targets, or the one with lower occupancy if both
/// are acceptable. A request that is at risk is compared at all of them.
std::optional<std::size_t> ChooseAmong(
    const Comparison& comparison,
    const std::vector<std::size_t>& candidates,
    double first_draw,
    double second_draw) {
  if (candidates.empty()) {
    return std::nullopt;
  }
  const std::vector<PlacementTarget>& targets = comparison.targets;
  double best_chance = 1;
  double worst_chance = 0;
  for (const std::size_t place : candidates) {
    best_chance = std::min(best_chance, targets[place].late_chance);
    worst_chance = std::max(worst_chance, targets[place].late_chance);
  }
  if (worst_chance > kMaxChanceGap) {
    return CheapestOfAll(comparison, candidates, best_chance);
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
  const std::size_t first_place = candidates[first];
  const std::size_t second_place = candidates[second];
  const double first_occupancy = Occupancy(targets[first_place]);
  const double second_occupancy = Occupancy(targets[second_place]);
  const bool are_both_acceptable =
      comparison.IsAcceptable(first_place, best_chance) &&
      comparison.IsAcceptable(second_place, best_chance);
  const bool is_first =
      are_both_acceptable && first_occupancy != second_occupancy
          ? first_occupancy < second_occupancy
          : comparison.costs[first_place].total_ms <=
                comparison.costs[second_place].total_ms;
  return is_first ? first_place : second_place;
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
  Comparison comparison{rules, targets, {}};
  for (std::size_t i = 0; i < targets.size(); ++i) {
    comparison.costs.push_back(
        CostOf(rules, targets[i], excess_errors[i], typical_ms));
  }
  std::optional<std::size_t> near =
      ChooseAmong(comparison, found.near, draws.near_first, draws.near_second);
  if (rules.keeps_zone && near.has_value() && Occupancy(targets[*near]) >= 1) {
    near = LeastOccupied(targets, found.near);
  }
  const std::optional<std::size_t> far =
      ChooseAmong(comparison, found.far, draws.far_first, draws.far_second);
  if (!near.has_value() || !far.has_value()) {
    return near.has_value() ? near : far;
  }
  const double near_cost = comparison.costs[*near].total_ms;
  const double far_cost = comparison.costs[*far].total_ms;
  const double far_chance = targets[*far].late_chance;
  const bool is_kept = rules.keeps_zone && Occupancy(targets[*near]) < 1 &&
                       targets[*near].late_chance <= far_chance + kMaxChanceGap;
  const bool is_near =
      is_kept || comparison.IsAcceptable(*near, far_chance) ||
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
