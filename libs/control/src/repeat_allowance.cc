#include "almondlink/control/repeat_allowance.h"

#include <algorithm>
#include <numeric>

namespace almondlink::control {

namespace {

/// Priorities that are told apart; the rest counts as the last.
constexpr std::uint32_t kRanks = 3;
/// Bits of a hash that place a request within its priority.
constexpr int kHashBits = 32;
constexpr int kUnusedBits = 32;

/// Clears the slots that have left the window; the index of the current one.
std::size_t Advance(const RepeatRules& rules,
                    Millis now,
                    RepeatAllowance& allowance) {
  const std::int64_t width = std::max<std::int64_t>(
      1, rules.window.count / static_cast<std::int64_t>(kAllowanceSlots));
  const std::int64_t slot = now.count / width;
  const std::int64_t passed = std::min<std::int64_t>(
      slot - allowance.slot, static_cast<std::int64_t>(kAllowanceSlots));
  for (std::int64_t i = 0; i < passed; ++i) {
    const std::size_t place =
        static_cast<std::size_t>(slot - i) % kAllowanceSlots;
    allowance.requests[place] = 0;
    allowance.repeats[place] = 0;
  }
  allowance.slot = std::max(slot, allowance.slot);
  return static_cast<std::size_t>(allowance.slot) % kAllowanceSlots;
}

/// What one node may do in the current window, and has done.
struct Window {
  double bound = 0;
  /// The part of the bound that grows with the requests.
  double by_ratio = 0;
  double repeats = 0;
};

Window WindowOf(const RepeatRules& rules,
                Millis now,
                RepeatAllowance& allowance) {
  Advance(rules, now, allowance);
  const std::uint32_t requests =
      std::accumulate(allowance.requests.begin(), allowance.requests.end(), 0U);
  const std::uint32_t repeats =
      std::accumulate(allowance.repeats.begin(), allowance.repeats.end(), 0U);
  const double own_part =
      rules.fixed / static_cast<double>(std::max(1U, rules.nodes));
  Window window;
  window.by_ratio = rules.used_part * rules.ratio * requests;
  window.bound = window.by_ratio + rules.used_part * own_part;
  window.repeats = repeats;
  return window;
}

}  // namespace

void NoteRequest(const RepeatRules& rules,
                 Millis now,
                 RepeatAllowance& allowance) {
  ++allowance.requests[Advance(rules, now, allowance)];
}

void NoteRepeat(const RepeatRules& rules,
                Millis now,
                RepeatAllowance& allowance) {
  ++allowance.repeats[Advance(rules, now, allowance)];
}

double RepeatPlace(std::uint32_t priority, std::uint64_t root_hash) {
  const double within = static_cast<double>(root_hash >> kUnusedBits) /
                        static_cast<double>(1ULL << kHashBits);
  const std::uint32_t rank = std::min(priority, kRanks - 1);
  return (rank + within) / kRanks;
}

double RepeatsLeft(const RepeatRules& rules,
                   Millis now,
                   RepeatAllowance& allowance) {
  const Window window = WindowOf(rules, now, allowance);
  return window.bound - window.repeats;
}

bool TakeRepeat(const RepeatRules& rules,
                double place,
                Millis now,
                RepeatAllowance& allowance) {
  const Window window = WindowOf(rules, now, allowance);
  const double kept = rules.kept_part * place * window.by_ratio;
  if (window.bound - window.repeats < 1 + kept) {
    return false;
  }
  NoteRepeat(rules, now, allowance);
  return true;
}

}  // namespace almondlink::control
