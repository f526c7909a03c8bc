#include "almondlink/control/repeat_allowance.h"

#include <algorithm>

namespace almondlink::control {

namespace {

/// Priorities that are told apart, those of accounts before those of routes;
/// the rest counts as the last.
constexpr std::uint32_t kRanks = 8;
/// Within a priority requests that make about one call at the service are told
/// apart from those that make more.
constexpr double kAboutOne = 1.5;
/// Part of a priority's places for the first kind: few, so that the places of
/// the others begin low where there is none of it.
constexpr double kFirstKind = 0.1;
/// Up to which of a priority's places those stand that have calls of their
/// chain behind them. From 0.3 to 0.6 it makes no difference beyond chance
/// (test/replay, twelve seeds).
constexpr double kStartedEnd = 0.5;
/// Bits of a hash that place a request within its kind.
constexpr int kHashBits = 32;
constexpr int kUnusedBits = 32;
/// The bound of all is kept a little off: in the fifth of a second between two
/// words of a node it repeats up to a twentieth of a window's bound.
constexpr double kSharedPart = 0.92;

/// Part of the fixed number that is used: a start after the loss of all nodes
/// uses as much again within the same window.
constexpr double kFixedPart = 0.5;

constexpr auto kRing = static_cast<std::int64_t>(kAllowanceSlots);

std::size_t PlaceOf(std::int64_t slot) {
  return static_cast<std::size_t>(slot % kRing);
}

std::int64_t SlotWidth(const RepeatRules& rules) {
  return std::max<std::int64_t>(1, rules.window.count / kWindowSlots);
}

/// Clears the slots that have left both windows; the number of the current one.
std::int64_t Advance(const RepeatRules& rules,
                     Millis now,
                     RepeatAllowance& allowance) {
  const std::int64_t slot = now.count / SlotWidth(rules);
  const std::int64_t passed = std::min(slot - allowance.slot, kRing);
  for (std::int64_t i = 0; i < passed; ++i) {
    allowance.requests[PlaceOf(slot - i)] = 0;
    allowance.repeats[PlaceOf(slot - i)] = 0;
  }
  if (passed > 0) {
    allowance.wanted_before =
        passed == 1 ? allowance.wanted : std::array<std::uint32_t, kPlaces>{};
    allowance.wanted = {};
  }
  allowance.slot = std::max(slot, allowance.slot);
  return allowance.slot;
}

/// Sum of the slots from `first` to `last` that are known.
double SumOf(const std::array<std::uint32_t, kAllowanceSlots>& counts,
             std::int64_t current,
             std::int64_t first,
             std::int64_t last) {
  double sum = 0;
  const std::int64_t oldest = std::max<std::int64_t>(0, current - kRing + 1);
  for (std::int64_t slot = std::max(first, oldest);
       slot <= std::min(last, current); ++slot) {
    sum += counts[PlaceOf(slot)];
  }
  return sum;
}

/// Requests that certainly lie in a window whose last slot is `last`: the slots
/// at its two ends may lie outside.
double RequestsUpTo(const RepeatAllowance& allowance, std::int64_t last) {
  return SumOf(allowance.requests, allowance.slot, last - kWindowSlots + 1,
               last);
}

/// Repeats that may lie in a window whose last slot is `last`.
double RepeatsUpTo(const RepeatAllowance& allowance, std::int64_t last) {
  return SumOf(allowance.repeats, allowance.slot, last - kWindowSlots, last);
}

/// Repeats that would be asked for in a whole window by those before `index` in
/// order, at the rate of the last half to whole second.
double WantedBefore(const RepeatRules& rules,
                    std::size_t index,
                    Millis now,
                    const RepeatAllowance& allowance) {
  double wanted = 0;
  for (std::size_t i = 0; i < index; ++i) {
    wanted += allowance.wanted[i] + allowance.wanted_before[i];
  }
  const std::int64_t width = SlotWidth(rules);
  const auto span = static_cast<double>(width + now.count % width);
  return wanted / span * static_cast<double>(rules.window.count);
}

double MostRequests(const RepeatAllowance& allowance, std::int64_t last) {
  return std::max({RequestsUpTo(allowance, last),
                   RequestsUpTo(allowance, last - kWindowSlots / 2),
                   RequestsUpTo(allowance, last - kWindowSlots)});
}

}  // namespace

void NoteRequest(const RepeatRules& rules,
                 Millis now,
                 RepeatAllowance& allowance) {
  ++allowance.requests[PlaceOf(Advance(rules, now, allowance))];
}

void NoteRepeat(const RepeatRules& rules,
                Millis now,
                RepeatAllowance& allowance) {
  ++allowance.repeats[PlaceOf(Advance(rules, now, allowance))];
}

double RepeatPlace(const RepeatWant& want) {
  const double hash = static_cast<double>(want.root_hash >> kUnusedBits) /
                      static_cast<double>(1ULL << kHashBits);
  const std::uint32_t rank = std::min(want.priority, kRanks - 1);
  double within = kStartedEnd + (1 - kStartedEnd) * hash;
  if (want.done > 0) {
    within = kFirstKind + (kStartedEnd - kFirstKind) / (1.0 + want.done);
  } else if (want.calls <= kAboutOne) {
    within = kFirstKind * hash;
  }
  return (rank + within) / kRanks;
}

RepeatCounts CountsOf(const RepeatRules& rules,
                      Millis now,
                      RepeatAllowance& allowance) {
  const std::int64_t slot = Advance(rules, now, allowance);
  RepeatCounts counts;
  counts.now = static_cast<std::uint32_t>(RequestsUpTo(allowance, slot));
  counts.half_before = static_cast<std::uint32_t>(
      RequestsUpTo(allowance, slot - kWindowSlots / 2));
  counts.before =
      static_cast<std::uint32_t>(RequestsUpTo(allowance, slot - kWindowSlots));
  counts.repeats = static_cast<std::uint32_t>(RepeatsUpTo(allowance, slot));
  return counts;
}

void Remember(const RepeatRules& rules,
              Millis now,
              const RepeatCounts& told,
              RepeatAllowance& allowance) {
  const std::int64_t slot = Advance(rules, now, allowance);
  if (told.repeats > allowance.remembered) {
    allowance.repeats[PlaceOf(slot)] += told.repeats - allowance.remembered;
  }
  if (allowance.remembered == 0) {
    for (std::int64_t back = 1; back <= kWindowSlots; ++back) {
      allowance.requests[PlaceOf(slot - back)] += told.now / kWindowSlots;
      allowance.requests[PlaceOf(slot - back - kWindowSlots)] +=
          told.before / kWindowSlots;
    }
  }
  allowance.remembered = std::max(allowance.remembered, told.repeats);
}

RepeatRoom RoomForRepeats(const RepeatRules& rules,
                          Millis now,
                          RepeatAllowance& allowance) {
  const std::int64_t slot = Advance(rules, now, allowance);
  const double part = rules.is_fresh ? rules.fresh_part : rules.used_part;
  const double fixed =
      kFixedPart * rules.fixed / static_cast<double>(std::max(1U, rules.nodes));
  RepeatRoom tightest;
  for (std::int64_t ahead = 0; ahead < kWindowSlots; ++ahead) {
    RepeatRoom room;
    room.by_ratio = part * rules.ratio * MostRequests(allowance, slot + ahead);
    room.bound = room.by_ratio + fixed;
    room.repeats = RepeatsUpTo(allowance, slot + ahead);
    const bool is_tighter =
        room.bound - room.repeats < tightest.bound - tightest.repeats;
    if (ahead == 0 || is_tighter) {
      tightest = room;
    }
  }
  return tightest;
}

bool HasSharedRoom(const RepeatRules& rules, const RepeatCounts& sums) {
  const double requests = std::max({sums.now, sums.half_before, sums.before});
  const double bound =
      kSharedPart * (rules.ratio * requests + kFixedPart * rules.fixed);
  return sums.repeats + 1 <= bound;
}

bool TakeRepeat(const RepeatRules& rules,
                double place,
                Millis now,
                RepeatAllowance& allowance) {
  const RepeatRoom room = RoomForRepeats(rules, now, allowance);
  const auto index =
      std::min(kPlaces - 1,
               static_cast<std::size_t>(place * static_cast<double>(kPlaces)));
  ++allowance.wanted[index];
  const double before = WantedBefore(rules, index, now, allowance);
  const bool is_for_all = room.repeats + 1 <= room.bound - room.by_ratio;
  const bool is_in_order = rules.kept_part * before <= room.bound;
  if (room.bound - room.repeats < 1 || !(is_for_all || is_in_order)) {
    return false;
  }
  NoteRepeat(rules, now, allowance);
  return true;
}

}  // namespace almondlink::control
