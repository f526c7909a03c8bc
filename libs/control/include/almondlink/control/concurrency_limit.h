#ifndef ALMONDLINK_CONTROL_CONCURRENCY_LIMIT_H_
#define ALMONDLINK_CONTROL_CONCURRENCY_LIMIT_H_

#include <cstdint>

#include "almondlink/base/clock.h"

/// Adaptive concurrency limit of one target, learned from latencies and
/// outcomes that its node saw itself.
///
/// By Little's law a target with room for c requests at once gives throughput
/// c / latency. Above its real room, more concurrency only adds queueing inside
/// the target: latency rises, throughput does not. Below it, latency is the
/// service's own. High latency alone does not tell the two apart (a slow
/// dependency raises it too, and cutting concurrency would then cut throughput
/// in proportion), so the limit is tested: when latency stands above its
/// baseline, the limit is cut for one trial. If throughput holds, the room was
/// not real and the cut stays; if throughput falls with the cut, the latency is
/// the service's own, becomes the new baseline, and the limit goes back.
namespace almondlink::control {

/// Constants of the limiter, with the values that docs/RESULTS.md measured.
struct LimitRules {
  /// Announced slots; the limit never goes above.
  std::uint32_t slots = 64;
  /// Samples are judged once per window.
  Millis window{100};
  /// Fewest samples to judge by.
  std::uint32_t min_samples = 10;
  /// Latency over baseline that starts a trial.
  double latency_tolerance = 1.6;
  /// Part of the limit kept in a trial.
  double trial_factor = 0.75;
  /// Throughput in a trial, against before, that proves the cut harmless, and
  /// the latency that must come with it: both, so that one noisy window does
  /// not take room away from a target that is only slow.
  double min_throughput_ratio = 0.9;
  double max_latency_ratio = 0.88;
  /// Fewest samples of the windows that a trial is judged by.
  std::uint32_t min_trial_samples = 40;
  /// Slow windows in a row before a trial: the figures before it are then those
  /// of a steady state.
  std::uint32_t min_slow_windows = 2;
  /// First wait between trials that did not help; doubles up to the last.
  Millis initial_trial_backoff{1000};
  Millis max_trial_backoff{8000};
  /// Share of failed outcomes in a window that lowers the limit.
  double max_failure_share = 0.2;
  /// Time over which a fresh target's limit grows to its slots.
  Millis slow_start{3000};
};

enum class LimitPhase { kSteady, kSettling, kTrial };

/// State of one limit. Plain data; one thread at a time.
struct ConcurrencyLimit {
  double limit = 1;
  /// Mean latency without queueing in the target, 0 before it is known.
  double baseline_latency = 0;
  LimitPhase phase = LimitPhase::kSteady;
  Millis started;
  Millis window_start;
  std::uint32_t samples = 0;
  std::uint32_t failures = 0;
  double latency_sum = 0;
  std::uint32_t max_in_flight = 0;
  std::uint32_t slow_windows = 0;
  /// Throughput (per ms), latency and limit before the trial.
  double rate_before = 0;
  double latency_before = 0;
  double limit_before = 0;
  Millis next_trial;
  Millis trial_backoff;
  /// Completions per ms in the last whole window.
  double last_rate = 0;
};

/// Outcome of one request at the target.
enum class Outcome { kSuccess, kFailure };

/// Starts a limit for a fresh (cold) target.
void StartLimit(const LimitRules& rules, Millis now, ConcurrencyLimit& limit);

/// Takes one outcome. `in_flight` counts the requests at the target before it
/// ended.
void RecordOutcome(const LimitRules& rules,
                   Millis now,
                   LatencyMs latency,
                   Outcome outcome,
                   std::uint32_t in_flight,
                   ConcurrencyLimit& limit);

/// Requests that may be at the target now, at least 1.
std::uint32_t CurrentLimit(const LimitRules& rules,
                           Millis now,
                           const ConcurrencyLimit& limit);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_CONCURRENCY_LIMIT_H_
