#ifndef ALMONDLINK_CONTROL_CONCURRENCY_LIMIT_H_
#define ALMONDLINK_CONTROL_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "almondlink/base/clock.h"

/// Adaptive concurrency limit of one target, derived from the latencies and
/// outcomes that its node observes.
///
/// By Little's law, a target that can process c requests at once has a
/// throughput of c / latency. Above its real capacity, more concurrency only
/// adds queueing inside the target: latency rises and throughput does not.
/// Below it, the latency is the service's own. High latency alone does not
/// distinguish the two cases: a slow dependency raises it as well, and a lower
/// limit would then reduce throughput in proportion.
///
/// The limit is therefore tested by a trial: when latency is above its
/// baseline, the limit is reduced. If throughput holds, the capacity was not
/// real and the reduced limit stays. If throughput falls, the latency is the
/// service's own: it becomes the new baseline and the previous limit is
/// restored.
namespace almondlink::control {

/// Parameters of the limiter.
struct LimitRules {
  /// Slots that the target announces; upper bound of the limit.
  std::uint32_t slots = 64;
  /// Length of a window; the limit is updated at most once per window.
  Millis window{100};
  /// Minimum number of samples in a window; a window stays open until it has
  /// them.
  std::uint32_t min_samples = 10;
  /// Ratio of latency to the baseline above which a trial may start.
  double latency_tolerance = 1.6;
  /// Factor applied to the limit during a trial.
  double trial_factor = 0.75;
  /// Minimum throughput and maximum latency in a trial, relative to before it,
  /// for the reduced limit to be kept. Both must be met, so that one noisy
  /// window does not reduce the limit of a target that is only slow.
  double min_throughput_ratio = 0.9;
  double max_latency_ratio = 0.88;
  /// Minimum number of samples in the windows that a trial is evaluated by.
  std::uint32_t min_trial_samples = 40;
  /// Number of consecutive slow windows before a trial, so that the figures
  /// before it are those of a steady state.
  std::uint32_t min_slow_windows = 2;
  /// Wait after a trial whose reduced limit was rejected; doubles with each
  /// such trial, up to the maximum.
  Millis initial_trial_backoff{1000};
  Millis max_trial_backoff{8000};
  /// Fraction of failed outcomes in a window above which the limit is lowered.
  double max_failure_share = 0.2;
  /// Time in which the limit of a newly started target rises to its slots.
  Millis slow_start{3000};
};

enum class LimitPhase { kSteady, kSettling, kTrial };

/// State of one limit. Not thread safe.
struct ConcurrencyLimit {
  double limit = 1;
  /// Mean latency without queueing in the target, in milliseconds; 0 if
  /// unknown.
  double baseline_latency = 0;
  LimitPhase phase = LimitPhase::kSteady;
  Millis started;
  Millis window_start;
  std::uint32_t samples = 0;
  std::uint32_t failures = 0;
  double latency_sum = 0;
  std::uint32_t max_in_flight = 0;
  std::uint32_t slow_windows = 0;
  /// Throughput (per ms), latency (ms) and limit before the trial.
  double rate_before = 0;
  double latency_before = 0;
  double limit_before = 0;
  Millis next_trial;
  Millis trial_backoff;
  /// Completions per millisecond in the last closed window.
  double last_rate = 0;
};

/// Result of one request at the target.
enum class Outcome { kSuccess, kFailure };

/// Resets the limit for a newly started target.
void StartLimit(const LimitRules& rules, Millis now, ConcurrencyLimit& limit);

/// Records the end of one request. `in_flight` is the number of requests at the
/// target just before, including this one.
void RecordOutcome(const LimitRules& rules,
                   Millis now,
                   LatencyMs latency,
                   Outcome outcome,
                   std::uint32_t in_flight,
                   ConcurrencyLimit& limit);

/// Maximum number of requests at the target at `now`; at least 1.
std::uint32_t CurrentLimit(const LimitRules& rules,
                           Millis now,
                           const ConcurrencyLimit& limit);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_CONCURRENCY_LIMIT_H_
