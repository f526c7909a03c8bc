#include "almondlink/control/placement.h"

#include <algorithm>
#include <cmath>

#include "almondlink/control/error_rate.h"

namespace almondlink::control {

namespace {

/// A root request waits this part of its latency target, as for a slot.
constexpr std::int64_t kRootWaitPart = 2;
/// Time that a request needs after its wait.
constexpr Millis kLeastLeft{30};

/// Shape of the wait below full occupancy: 2 % of the work at one half, a half
/// of it at 0.8, twice the work when every slot is taken.
constexpr double kWaitPower = 6;
constexpr double kWaitAtFull = 2;
/// Extra wait for each whole turn of the slots that already waits.
constexpr double kWaitPerTurn = 4;
constexpr double kUnknownWorkMs = 10;

/// How much the errors of each target stand out.
std::vector<double> ErrorsOverOthers(const std::vector<PlaceView>& views) {
  double sum = 0;
  std::size_t open = 0;
  for (const PlaceView& view : views) {
    sum += view.is_open ? view.erring : 0;
    open += view.is_open ? 1 : 0;
  }
  std::vector<double> over(views.size(), 0.0);
  if (sum <= 0 || open < 2) {
    return over;
  }
  for (std::size_t i = 0; i < views.size(); ++i) {
    const double others =
        (sum - views[i].erring) / static_cast<double>(open - 1);
    over[i] = views[i].is_open ? ExcessErrorRate(views[i].erring, others) : 0;
  }
  return over;
}

struct Candidates {
  std::vector<std::size_t> near;
  std::vector<std::size_t> far;
};

Candidates FindCandidates(const std::vector<PlaceView>& views, Millis now) {
  std::size_t open = 0;
  std::size_t set_aside = 0;
  for (const PlaceView& view : views) {
    open += view.is_open ? 1 : 0;
    set_aside += view.is_open && !MayUse(now, view.health) ? 1 : 0;
  }
  const bool is_health_ignored = set_aside > MaxEjected(open);
  Candidates found;
  for (std::size_t i = 0; i < views.size(); ++i) {
    const PlaceView& view = views[i];
    const bool is_usable = view.is_open && !view.is_tried &&
                           (is_health_ignored || MayUse(now, view.health));
    if (is_usable) {
      (view.is_own_zone ? found.near : found.far).push_back(i);
    }
  }
  return found;
}

double TypicalWork(const std::vector<PlaceView>& views) {
  double sum = 0;
  std::size_t known = 0;
  for (const PlaceView& view : views) {
    if (view.is_open && view.work_ms > 0) {
      sum += view.work_ms;
      ++known;
    }
  }
  return known == 0 ? kUnknownWorkMs : sum / static_cast<double>(known);
}

double OccupiedPart(const PlaceView& view) {
  return static_cast<double>(view.told_load + view.sent_since) /
         std::max(1U, view.slots);
}

/// Expected time of a request at one target, its failures counted as time.
double CostOf(const PlaceRules& rules,
              const PlaceView& view,
              double errors_over,
              double typical) {
  const double slower = 1 + rules.failing_weight * view.health.failure_rate;
  const double errors = rules.error_ms * errors_over;
  if (rules.is_by_time) {
    return slower * PlaceCost(view, typical) + errors;
  }
  PlaceView alike = view;
  alike.work_ms = typical;
  return slower * PlaceCost(alike, typical) + errors;
}

/// The cheaper of two; the less occupied where either is well within the time
/// that a request may take.
std::optional<std::size_t> CheaperOfTwo(const PlaceRules& rules,
                                        const std::vector<PlaceView>& views,
                                        const std::vector<double>& costs,
                                        const std::vector<std::size_t>& from,
                                        double first_draw,
                                        double second_draw) {
  if (from.empty()) {
    return std::nullopt;
  }
  const auto count = static_cast<double>(from.size());
  const std::size_t first =
      std::min(from.size() - 1, static_cast<std::size_t>(first_draw * count));
  std::size_t second = first;
  if (from.size() > 1) {
    const std::size_t step = std::min(
        from.size() - 2, static_cast<std::size_t>(second_draw * (count - 1)));
    second = (first + 1 + step) % from.size();
  }
  const double first_cost = costs[from[first]];
  const double second_cost = costs[from[second]];
  const double first_part = OccupiedPart(views[from[first]]);
  const double second_part = OccupiedPart(views[from[second]]);
  const bool is_either_good =
      std::max(first_cost, second_cost) <= rules.patience_ms;
  const bool is_first = is_either_good && first_part != second_part
                            ? first_part < second_part
                            : first_cost <= second_cost;
  return is_first ? from[first] : from[second];
}

}  // namespace

double PlaceCost(const PlaceView& view, double typical_ms) {
  const double work = view.work_ms > 0 ? view.work_ms : typical_ms;
  const double slots = std::max(1U, view.slots);
  const double occupied = (view.told_load + view.sent_since + 1) / slots;
  const double below = std::min(1.0, occupied);
  const double wait = kWaitAtFull * std::pow(below, kWaitPower) +
                      kWaitPerTurn * std::max(0.0, occupied - 1);
  return work * (1 + wait);
}

std::optional<std::size_t> ChoosePlace(const PlaceRules& rules,
                                       const std::vector<PlaceView>& views,
                                       Millis now,
                                       const PlaceDraws& draws) {
  const std::vector<double> errors_over = ErrorsOverOthers(views);
  const Candidates found = FindCandidates(views, now);
  const double typical_ms = TypicalWork(views);
  std::vector<double> costs(views.size());
  for (std::size_t i = 0; i < views.size(); ++i) {
    costs[i] = CostOf(rules, views[i], errors_over[i], typical_ms);
  }
  const std::optional<std::size_t> near = CheaperOfTwo(
      rules, views, costs, found.near, draws.near_first, draws.near_second);
  const std::optional<std::size_t> far = CheaperOfTwo(
      rules, views, costs, found.far, draws.far_first, draws.far_second);
  if (!near.has_value() || !far.has_value()) {
    return near.has_value() ? near : far;
  }
  const double near_cost = costs[*near];
  const double far_cost = costs[*far];
  const bool is_near =
      near_cost <= rules.patience_ms ||
      near_cost <= rules.zone_factor * far_cost + rules.zone_ms;
  return is_near ? near : far;
}

Millis WaitForTarget(Millis expected,
                     Millis without,
                     bool is_root,
                     Millis latency_target,
                     Millis left) {
  const Millis useful =
      is_root ? Millis{latency_target.count / kRootWaitPart} : left;
  return std::max(Millis{0},
                  std::min({expected - without, useful, left - kLeastLeft}));
}

}  // namespace almondlink::control
