#include "almondlink/control/repeat_allowance.h"

#include <algorithm>

namespace almondlink::control {

namespace {

/// Number of distinct priorities, those of accounts before those of routes; all
/// lower ones count as the last.
constexpr std::uint32_t kPriorities = 8;
/// Requests with at most this many calls at the service count as making a
/// single call, and rank ahead of others of their priority.
constexpr double kMaxSingleCall = 1.5;
/// Share of a priority's ranks for single-call requests. It is small so that
/// the ranks of the others start low when there are no such requests.
constexpr double kSingleCallShare = 0.1;
/// Upper end, within a priority's ranks, of the requests that have answered
/// calls of their chain. Simulated values from 0.3 to 0.6 differ by no more
/// than chance.
constexpr double kStartedChainsEnd = 0.5;
/// Bits of the hash that determine the rank within its group.
constexpr int kHashBits = 32;
constexpr int kUnusedBits = 32;
/// Keeps the shared bound below its exact value: in the 0.2 s between two
/// reports of a node it may send up to a twentieth of a window's repeats.
constexpr double kSharedBoundShare = 0.92;

/// Share of the fixed number that is used: if all nodes restart without a
/// memory of their counts, they use as much again within the same window.
constexpr double kFixedShare = 0.5;

constexpr auto kRingSize = static_cast<std::int64_t>(kAllowanceSlots);

std::size_t RingIndex(std::int64_t slot) {
  return static_cast<std::size_t>(slot % kRingSize);
}

std::int64_t SlotWidth(const RepeatRules& rules) {
  return std::max<std::int64_t>(1, rules.window.count / kWindowSlots);
}

/// Clears the slots that have left both windows; returns the current slot.
std::int64_t Advance(const RepeatRules& rules,
                     Millis now,
                     RepeatAllowance& allowance) {
  const std::int64_t slot = now.count / SlotWidth(rules);
  const std::int64_t passed = std::min(slot - allowance.slot, kRingSize);
  for (std::int64_t i = 0; i < passed; ++i) {
    allowance.requests[RingIndex(slot - i)] = 0;
    allowance.repeats[RingIndex(slot - i)] = 0;
  }
  if (passed > 0) {
    allowance.wanted_previous = passed == 1
                                    ? allowance.wanted
                                    : std::array<std::uint32_t, kRankBuckets>{};
    allowance.wanted = {};
  }
  allowance.slot = std::max(slot, allowance.slot);
  return allowance.slot;
}

/// Sum of the slots from `first` to `last` that are still stored.
double SumOf(const std::array<std::uint32_t, kAllowanceSlots>& counts,
             std::int64_t current,
             std::int64_t first,
             std::int64_t last) {
  double sum = 0;
  const std::int64_t oldest =
      std::max<std::int64_t>(0, current - kRingSize + 1);
  for (std::int64_t slot = std::max(first, oldest);
       slot <= std::min(last, current); ++slot) {
    sum += counts[RingIndex(slot)];
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

/// Repeats that requests ranked ahead of `index` would ask for in a whole
/// window, extrapolated from the last half to whole second.
double DemandAhead(const RepeatRules& rules,
                   std::size_t index,
                   Millis now,
                   const RepeatAllowance& allowance) {
  double wanted = 0;
  for (std::size_t i = 0; i < index; ++i) {
    wanted += allowance.wanted[i] + allowance.wanted_previous[i];
  }
  const std::int64_t width = SlotWidth(rules);
  const auto span = static_cast<double>(width + now.count % width);
  return wanted / span * static_cast<double>(rules.window.count);
}

double MaxRequests(const RepeatAllowance& allowance, std::int64_t last) {
  return std::max({RequestsUpTo(allowance, last),
                   RequestsUpTo(allowance, last - kWindowSlots / 2),
                   RequestsUpTo(allowance, last - kWindowSlots)});
}

}  // namespace

void RecordRequest(const RepeatRules& rules,
                   Millis now,
                   RepeatAllowance& allowance) {
  ++allowance.requests[RingIndex(Advance(rules, now, allowance))];
}

void RecordRepeat(const RepeatRules& rules,
                  Millis now,
                  RepeatAllowance& allowance) {
  ++allowance.repeats[RingIndex(Advance(rules, now, allowance))];
}

double RepeatRank(const RepeatCandidate& candidate) {
  const double hash = static_cast<double>(candidate.root_hash >> kUnusedBits) /
                      static_cast<double>(1ULL << kHashBits);
  const std::uint32_t priority = std::min(candidate.priority, kPriorities - 1);
  double within = kStartedChainsEnd + (1 - kStartedChainsEnd) * hash;
  if (candidate.answered_calls > 0) {
    within = kSingleCallShare + (kStartedChainsEnd - kSingleCallShare) /
                                    (1.0 + candidate.answered_calls);
  } else if (candidate.calls_per_root <= kMaxSingleCall) {
    within = kSingleCallShare * hash;
  }
  return (priority + within) / kPriorities;
}

RepeatCounts WindowCounts(const RepeatRules& rules,
                          Millis now,
                          RepeatAllowance& allowance) {
  const std::int64_t slot = Advance(rules, now, allowance);
  RepeatCounts counts;
  counts.requests = static_cast<std::uint32_t>(RequestsUpTo(allowance, slot));
  counts.requests_half_earlier = static_cast<std::uint32_t>(
      RequestsUpTo(allowance, slot - kWindowSlots / 2));
  counts.requests_previous =
      static_cast<std::uint32_t>(RequestsUpTo(allowance, slot - kWindowSlots));
  counts.repeats = static_cast<std::uint32_t>(RepeatsUpTo(allowance, slot));
  return counts;
}

void RestoreCounts(const RepeatRules& rules,
                   Millis now,
                   const RepeatCounts& reported,
                   RepeatAllowance& allowance) {
  const std::int64_t slot = Advance(rules, now, allowance);
  if (reported.repeats > allowance.restored_repeats) {
    allowance.repeats[RingIndex(slot)] +=
        reported.repeats - allowance.restored_repeats;
  }
  if (allowance.restored_repeats == 0) {
    for (std::int64_t back = 1; back <= kWindowSlots; ++back) {
      allowance.requests[RingIndex(slot - back)] +=
          reported.requests / kWindowSlots;
      allowance.requests[RingIndex(slot - back - kWindowSlots)] +=
          reported.requests_previous / kWindowSlots;
    }
  }
  allowance.restored_repeats =
      std::max(allowance.restored_repeats, reported.repeats);
}

RepeatCapacity CapacityForRepeats(const RepeatRules& rules,
                                  Millis now,
                                  RepeatAllowance& allowance) {
  const std::int64_t slot = Advance(rules, now, allowance);
  const double share =
      rules.is_restarted ? rules.restarted_share : rules.usable_share;
  const double fixed = kFixedShare * rules.fixed /
                       static_cast<double>(std::max(1U, rules.nodes));
  RepeatCapacity tightest;
  for (std::int64_t ahead = 0; ahead < kWindowSlots; ++ahead) {
    RepeatCapacity capacity;
    capacity.bound_by_ratio =
        share * rules.ratio * MaxRequests(allowance, slot + ahead);
    capacity.bound = capacity.bound_by_ratio + fixed;
    capacity.repeats = RepeatsUpTo(allowance, slot + ahead);
    const bool is_tighter =
        capacity.bound - capacity.repeats < tightest.bound - tightest.repeats;
    if (ahead == 0 || is_tighter) {
      tightest = capacity;
    }
  }
  return tightest;
}

bool HasSharedCapacity(const RepeatRules& rules, const RepeatCounts& sums) {
  const double requests = std::max(
      {sums.requests, sums.requests_half_earlier, sums.requests_previous});
  const double bound =
      kSharedBoundShare * (rules.ratio * requests + kFixedShare * rules.fixed);
  return sums.repeats + 1 <= bound;
}

double PlannedRepeatBound(const RepeatRules& rules, const RepeatCounts& sums) {
  const double requests = std::max(
      {sums.requests, sums.requests_half_earlier, sums.requests_previous});
  return rules.ratio * rules.usable_share * requests +
         kFixedShare * rules.fixed;
}

bool TakeRepeat(const RepeatRules& rules,
                double rank,
                Millis now,
                RepeatAllowance& allowance) {
  const RepeatCapacity capacity = CapacityForRepeats(rules, now, allowance);
  const auto index = std::min(
      kRankBuckets - 1,
      static_cast<std::size_t>(rank * static_cast<double>(kRankBuckets)));
  ++allowance.wanted[index];
  const double before = DemandAhead(rules, index, now, allowance);
  const bool is_within_fixed =
      capacity.repeats + 1 <= capacity.bound - capacity.bound_by_ratio;
  const bool is_in_order = rules.order_strictness * before <= capacity.bound;
  if (capacity.bound - capacity.repeats < 1 ||
      !(is_within_fixed || is_in_order)) {
    return false;
  }
  RecordRepeat(rules, now, allowance);
  return true;
}

}  // namespace almondlink::control
