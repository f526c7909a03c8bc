#include "almondlink/control/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace almondlink::control {

namespace {

/// Fraction of the slots that a newly started target gets at once.
constexpr double kColdShare = 0.2;
/// Factor on the limit after a window with too many failures.
constexpr double kFailureFactor = 0.85;
/// Weight of a window in the baseline when its latency is near the baseline.
constexpr double kBaselineGain = 0.1;
/// Fraction of the limit from which on it counts as in use.
constexpr double kInUseShare = 0.8;

/// Figures of a closed window.
struct Window {
  double latency = 0;
  double rate = 0;
  double failure_share = 0;
  bool is_used = false;
};

Window CloseWindow(Millis now, ConcurrencyLimit& limit) {
  Window window;
  const double span = std::max<double>(
      1, static_cast<double>((now - limit.window_start).count));
  window.latency = limit.latency_sum / limit.samples;
  window.rate = limit.samples / span;
  window.failure_share = static_cast<double>(limit.failures) / limit.samples;
  window.is_used = limit.max_in_flight >= kInUseShare * limit.limit;
  limit.last_rate = window.rate;
  limit.window_start = now;
  limit.samples = 0;
  limit.failures = 0;
  limit.latency_sum = 0;
  limit.max_in_flight = 0;
  return window;
}

void Grow(const LimitRules& rules, ConcurrencyLimit& limit) {
  const double step = std::max(1.0, std::sqrt(limit.limit) / 2);
  limit.limit = std::min<double>(rules.slots, limit.limit + step);
}

void StartTrial(const LimitRules& rules,
                const Window& window,
                ConcurrencyLimit& limit) {
  limit.phase = LimitPhase::kSettling;
  limit.slow_windows = 0;
  limit.rate_before = window.rate;
  limit.latency_before = window.latency;
  limit.limit_before = limit.limit;
  limit.limit = std::max(1.0, limit.limit * rules.trial_factor);
}

void EvaluateTrial(const LimitRules& rules,
                   Millis now,
                   const Window& window,
                   ConcurrencyLimit& limit) {
  limit.phase = LimitPhase::kSteady;
  const bool is_cut_kept =
      window.rate >= rules.min_throughput_ratio * limit.rate_before &&
      window.latency <= rules.max_latency_ratio * limit.latency_before;
  if (is_cut_kept) {
    limit.trial_backoff = rules.initial_trial_backoff;
    limit.next_trial = now;
    return;
  }
  limit.limit = limit.limit_before;
  limit.baseline_latency = limit.latency_before;
  limit.next_trial = now + limit.trial_backoff;
  limit.trial_backoff =
      std::min(rules.max_trial_backoff, limit.trial_backoff * 2);
}

void EvaluateSteady(const LimitRules& rules,
                    Millis now,
                    const Window& window,
                    ConcurrencyLimit& limit) {
  if (window.failure_share > rules.max_failure_share) {
    limit.limit = std::max(1.0, limit.limit * kFailureFactor);
    return;
  }
  if (limit.baseline_latency == 0 || window.latency < limit.baseline_latency) {
    limit.baseline_latency = window.latency;
  }
  const bool is_slow =
      window.latency > limit.baseline_latency * rules.latency_tolerance;
  limit.slow_windows = is_slow ? limit.slow_windows + 1 : 0;
  if (!is_slow) {
    limit.trial_backoff = rules.initial_trial_backoff;
    if (window.is_used) {
      Grow(rules, limit);
    } else {
      // The baseline rises only by latency without queueing: while the limit is
      // in use, each increase of the limit would raise both in turn.
      limit.baseline_latency +=
          (window.latency - limit.baseline_latency) * kBaselineGain;
    }
    return;
  }
  const bool may_start_trial = window.is_used && now >= limit.next_trial &&
                               limit.limit > 1 &&
                               limit.slow_windows >= rules.min_slow_windows;
  if (may_start_trial) {
    StartTrial(rules, window, limit);
  }
}

}  // namespace

void StartLimit(const LimitRules& rules, Millis now, ConcurrencyLimit& limit) {
  limit = ConcurrencyLimit{};
  limit.limit = rules.slots;
  limit.started = now;
  limit.window_start = now;
  limit.trial_backoff = rules.initial_trial_backoff;
}

void RecordOutcome(const LimitRules& rules,
                   Millis now,
                   LatencyMs latency,
                   Outcome outcome,
                   std::uint32_t in_flight,
                   ConcurrencyLimit& limit) {
  ++limit.samples;
  limit.latency_sum += latency.count;
  limit.max_in_flight = std::max(limit.max_in_flight, in_flight);
  if (outcome == Outcome::kFailure) {
    ++limit.failures;
  }
  const bool is_evaluating =
      limit.phase == LimitPhase::kTrial || limit.slow_windows > 0;
  const bool is_open = now - limit.window_start < rules.window ||
                       limit.samples < (is_evaluating ? rules.min_trial_samples
                                                      : rules.min_samples);
  if (is_open) {
    return;
  }
  const Window window = CloseWindow(now, limit);
  switch (limit.phase) {
    case LimitPhase::kSteady:
      EvaluateSteady(rules, now, window, limit);
      break;
    case LimitPhase::kSettling:
      // Requests that started before the limit was reduced are still ending, so
      // this window is not evaluated.
      limit.phase = LimitPhase::kTrial;
      break;
    case LimitPhase::kTrial:
      EvaluateTrial(rules, now, window, limit);
      break;
  }
}

std::uint32_t CurrentLimit(const LimitRules& rules,
                           Millis now,
                           const ConcurrencyLimit& limit) {
  double allowed = std::min<double>(limit.limit, rules.slots);
  const Millis age = now - limit.started;
  if (age < rules.slow_start) {
    const double grown = static_cast<double>(age.count) /
                         static_cast<double>(rules.slow_start.count);
    const double share = kColdShare + (1 - kColdShare) * grown;
    allowed = std::min(allowed, rules.slots * share);
  }
  return static_cast<std::uint32_t>(std::max(1.0, std::floor(allowed)));
}

}  // namespace almondlink::control
