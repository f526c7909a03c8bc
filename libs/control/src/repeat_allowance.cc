#include "almondlink/control/repeat_allowance.h"

#include <algorithm>
#include <numeric>

namespace almondlink::control {

namespace {

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

double RepeatsLeft(const RepeatRules& rules,
                   Millis now,
                   RepeatAllowance& allowance) {
  Advance(rules, now, allowance);
  const std::uint32_t requests =
      std::accumulate(allowance.requests.begin(), allowance.requests.end(), 0U);
  const std::uint32_t repeats =
      std::accumulate(allowance.repeats.begin(), allowance.repeats.end(), 0U);
  const double own_part =
      rules.fixed / static_cast<double>(std::max(1U, rules.nodes));
  const double bound = rules.used_part * (rules.ratio * requests + own_part);
  return bound - repeats;
}

bool TakeRepeat(const RepeatRules& rules,
                Millis now,
                RepeatAllowance& allowance) {
  if (RepeatsLeft(rules, now, allowance) < 1) {
    return false;
  }
  NoteRepeat(rules, now, allowance);
  return true;
}

}  // namespace almondlink::control
