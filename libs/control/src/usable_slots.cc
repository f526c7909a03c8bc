#include "almondlink/control/usable_slots.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace almondlink::control {

namespace {

/// A run counts for the nearly full target from this much below the limit.
constexpr double kNearlyFull = 0.04;
/// The occupancies, in parts of the limit, whose run times are the reference.
constexpr double kReferenceFrom = 0.75;
constexpr double kReferenceTo = 0.9;
/// Runs that a decision needs on both sides. With run times that vary by a
/// third, the means then differ by chance by 3.5%.
constexpr double kMinRuns = 200;
/// A run counts with at most this multiple of the mean of its class: a tail of
/// long runs would otherwise decide.
constexpr double kMaxMultiple = 2;
/// Nearly full and this much slower: the limit falls. Less than
/// `kNotSlower` slower: it rises.
constexpr double kSlower = 1.1;
constexpr double kNotSlower = 1.05;
constexpr double kFall = 0.05;
constexpr double kRise = 0.02;
/// The rise is 0.01 per second.
constexpr Millis kRiseInterval{2000};
constexpr Millis kFallInterval{1000};
/// Time after a fall before the limit is tried higher again. Each attempt
/// slows all runs of the target for a second.
constexpr Millis kRetryAfterFall{20000};
constexpr double kMinShare = 0.5;
/// Rounds sums of steps, so that a limit of 1 is exactly 1.
constexpr double kRounding = 10000;
constexpr double kTimeConstantMs = 60000;
constexpr double kMinWeight = 0.01;

std::size_t BinOf(double occupancy) {
  return static_cast<std::size_t>(
      std::clamp(occupancy * kOccupancyBins, 0.0, kOccupancyBins - 1.0));
}

/// Runs of a class at the reference occupancy.
OccupiedRuns ReferenceOf(const std::array<OccupiedRuns, kOccupancyBins>& bins,
                         double share) {
  OccupiedRuns sum;
  for (std::size_t i = 0; i < kOccupancyBins; ++i) {
    const double middle = (static_cast<double>(i) + 0.5) / kOccupancyBins;
    if (middle >= kReferenceFrom * share && middle <= kReferenceTo * share) {
      sum.runs += bins[i].runs;
      sum.time_ms += bins[i].time_ms;
    }
  }
  return sum;
}

/// Mean run time of a class over all occupancies; 0 if unknown.
double MeanOf(const std::array<OccupiedRuns, kOccupancyBins>& bins) {
  OccupiedRuns sum;
  for (const OccupiedRuns& bin : bins) {
    sum.runs += bin.runs;
    sum.time_ms += bin.time_ms;
  }
  return sum.runs > 0 ? sum.time_ms / sum.runs : 0;
}

/// Run time while nearly full in multiples of the reference; 0 if there are too
/// few runs.
double FullRatio(const UsableSlotsMeter& meter) {
  double full_runs = 0;
  double reference_runs = 0;
  double full_ms = 0;
  double expected_ms = 0;
  for (const auto& [route, full] : meter.full) {
    const auto seen = meter.seen.find(route);
    if (seen == meter.seen.end()) {
      continue;
    }
    const OccupiedRuns reference = ReferenceOf(seen->second, meter.share);
    if (reference.runs < 1) {
      continue;
    }
    full_runs += full.runs;
    reference_runs += reference.runs;
    full_ms += full.time_ms;
    expected_ms += full.runs * reference.time_ms / reference.runs;
  }
  const bool is_known =
      full_runs >= kMinRuns && reference_runs >= kMinRuns && expected_ms > 0;
  return is_known ? full_ms / expected_ms : 0;
}

void Decay(Millis now, UsableSlotsMeter& meter) {
  const auto elapsed = static_cast<double>((now - meter.decayed_at).count);
  meter.decayed_at = now;
  const double keep = std::exp(-std::max(0.0, elapsed) / kTimeConstantMs);
  for (auto entry = meter.seen.begin(); entry != meter.seen.end();) {
    double left = 0;
    for (OccupiedRuns& bin : entry->second) {
      bin.runs *= keep;
      bin.time_ms *= keep;
      left += bin.runs;
    }
    entry = left < kMinWeight ? meter.seen.erase(entry) : std::next(entry);
  }
}

/// Returns false, without a change, if the step would be smaller than kRise.
bool ChangeShare(Millis now, double share, UsableSlotsMeter& meter) {
  const double rounded = std::round(share * kRounding) / kRounding;
  const bool is_step = std::abs(rounded - meter.share) >= kRise - 1 / kRounding;
  if (is_step) {
    meter.share = rounded;
    meter.changed_at = now;
    meter.full.clear();
  }
  return is_step;
}

}  // namespace

void ResetUsableSlots(double share, UsableSlotsMeter& meter) {
  meter = UsableSlotsMeter();
  meter.share = share;
}

void RecordOccupiedRun(std::uint32_t route,
                       double occupancy,
                       LatencyMs work,
                       UsableSlotsMeter& meter) {
  std::array<OccupiedRuns, kOccupancyBins>& bins = meter.seen[route];
  const double mean_ms = MeanOf(bins);
  const double time_ms =
      mean_ms > 0 ? std::min(work.count, kMaxMultiple * mean_ms) : work.count;
  OccupiedRuns& bin = bins[BinOf(occupancy)];
  bin.runs += 1;
  bin.time_ms += time_ms;
  if (occupancy >= meter.share - kNearlyFull) {
    OccupiedRuns& full = meter.full[route];
    full.runs += 1;
    full.time_ms += time_ms;
  }
}

bool UpdateUsableSlots(Millis now, UsableSlotsMeter& meter) {
  Decay(now, meter);
  if (now - meter.changed_at < kFallInterval) {
    return false;
  }
  const double ratio = FullRatio(meter);
  if (ratio <= 0) {
    return false;
  }
  if (ratio > kSlower) {
    meter.fell_at = now;
    return ChangeShare(now, std::max(kMinShare, meter.share - kFall), meter);
  }
  const bool may_rise =
      now - meter.changed_at >= kRiseInterval &&
      (meter.fell_at == Millis{0} || now - meter.fell_at >= kRetryAfterFall);
  if (ratio < kNotSlower && may_rise) {
    return ChangeShare(now, std::min(1.0, meter.share + kRise), meter);
  }
  return false;
}

}  // namespace almondlink::control
