#include "almondlink/control/queue_moves.h"

#include <algorithm>

namespace almondlink::control {

namespace {

/// Part of the free slots that is filled by moves in one interval: new calls
/// need the rest, and the figures are up to an interval old.
constexpr double kFilledPart = 0.5;

}  // namespace

void AddTargetElsewhere(const TargetLoad& target,
                        std::uint32_t sent_since,
                        LoadElsewhere& elsewhere) {
  const std::uint32_t load = target.running + target.waiting + sent_since;
  elsewhere.free_slots += target.slots > load ? target.slots - load : 0;
  elsewhere.waiting += target.waiting;
}

LoadElsewhere ElsewhereOf(const std::map<ZoneService, ZoneLoad>& zones,
                          std::uint32_t service,
                          std::uint32_t own_zone,
                          const ZoneLoad& own) {
  LoadElsewhere elsewhere;
  for (const auto& [place, load] : zones) {
    if (place.second != service) {
      continue;
    }
    double free = load.slots - (load.load - load.waiting);
    double waiting = load.waiting;
    if (place.first == own_zone) {
      free -= own.slots - (own.load - own.waiting);
      waiting -= own.waiting;
    }
    elsewhere.free_slots += std::max(0.0, free);
    elsewhere.waiting += std::max(0.0, waiting);
  }
  return elsewhere;
}

std::uint32_t MaxMoves(std::uint32_t waiting, const LoadElsewhere& elsewhere) {
  if (waiting == 0 || elsewhere.free_slots <= 0) {
    return 0;
  }
  const double fraction = waiting / (waiting + elsewhere.waiting);
  return static_cast<std::uint32_t>(fraction * kFilledPart *
                                    elsewhere.free_slots);
}

std::uint32_t MovesLeft(Millis now,
                        const MoveRules& rules,
                        std::uint32_t waiting,
                        const LoadElsewhere& elsewhere,
                        MoveBudget& budget) {
  std::vector<std::uint32_t>& starts = budget.waiting_at_starts;
  if (starts.empty() || now - budget.interval_start >= rules.interval) {
    budget.interval_start = now;
    budget.returned = 0;
    starts.push_back(waiting);
    if (starts.size() > rules.lag + 1) {
      starts.erase(starts.begin(), starts.end() - (rules.lag + 1));
    }
  }
  if (starts.size() <= rules.lag) {
    return 0;
  }
  const std::uint32_t known = *std::min_element(starts.begin(), starts.end());
  // Calls that were returned in this interval were waiting at its start.
  const std::uint32_t most =
      MaxMoves(std::min(known, waiting + budget.returned), elsewhere);
  return most > budget.returned ? most - budget.returned : 0;
}

double ExpectedRunMs(double completed_ms, double in_progress_ms) {
  return std::max(completed_ms, in_progress_ms);
}

double ExpectedWaitMs(std::uint32_t ahead, std::uint32_t slots, double run_ms) {
  return slots == 0 ? 0 : (ahead + 1.0) / slots * run_ms;
}

MoveChoice ChooseMoves(const std::vector<bool>& may_move,
                       std::uint32_t slots,
                       double run_ms,
                       std::uint32_t moves) {
  MoveChoice choice;
  std::uint32_t ahead = 0;
  for (std::size_t place = 0; place < may_move.size(); ++place) {
    const bool stays = !may_move[place] ||
                       ExpectedWaitMs(ahead, slots, run_ms) <= kMinMoveWaitMs;
    if (!stays && choice.returned.size() < moves) {
      choice.returned.push_back(place);
      continue;
    }
    if (!stays) {
      choice.denied.push_back(place);
    }
    ++ahead;
  }
  return choice;
}

}  // namespace almondlink::control
