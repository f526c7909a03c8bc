#ifndef ALMONDLINK_CONTROL_TARGET_SPEED_H_
#define ALMONDLINK_CONTROL_TARGET_SPEED_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>

#include "almondlink/base/clock.h"

/// Speed of the target beside a node relative to the targets of its service: 1
/// is the mean, and a target of speed 0.5 takes twice as long for the same run.
///
/// Two figures are multiplied. The lasting speed compares completed runs with
/// the service's mean time of such runs. The recent speed compares the runs
/// that ended in the last 300 ms with the number that should have ended by what
/// is known of the target's run times: every run in progress adds the
/// probability that it ends in the interval, given how long it has run. A
/// target that hangs is thus noticed before its runs end, and a target whose
/// load has just grown does not look slow because its new runs have not ended
/// yet. The runs of a target that has just become slow should nearly all have
/// ended by their age, so the recent speed exaggerates: runs that take 2.5
/// times as long show as a third to a quarter.
namespace almondlink::control {

/// Interval of the recent speed.
constexpr Millis kSpeedWindow{300};
/// Weight of what is assumed without measurement, in runs. With fewer, the
/// chance in a handful of runs would look like a change of speed.
constexpr double kAssumedRuns = 10;
/// Assumed speed while a target is warming up.
constexpr double kWarmupSpeed = 0.5;

/// Buckets of the run time in multiples of the service's mean: each covers a
/// factor of the cube root of two, from 1/16 to 16.
constexpr std::size_t kRunAgeBuckets = 24;

/// Mean time of a run of one class at the targets of the service.
struct ServiceMean {
  double ms = 0;
  Millis seen_at;
};

/// A run in progress. Belongs to the caller of the functions below.
struct MeasuredRun {
  /// The service's mean time of such a run; 0 if the run is not measured.
  double mean_ms = 0;
  /// Age up to which it was measured.
  double measured_ms = 0;
};

/// Runs that ended, and that should have ended, in a short interval.
struct EndedRuns {
  Millis until;
  double ended = 0;
  double expected = 0;
};

/// Not thread safe.
struct SpeedMeter {
  /// The service's mean time of a run by class.
  std::map<std::uint32_t, ServiceMean> means;
  Millis means_at;
  /// By age in multiples of the mean: runs that ended, and the time that runs
  /// spent at that age.
  std::array<double, kRunAgeBuckets> ended_at{};
  std::array<double, kRunAgeBuckets> spent_at{};
  /// Completed runs and their time in multiples of the mean.
  double runs = 0;
  double run_time = 0;
  EndedRuns current;
  std::deque<EndedRuns> recent;
  /// Recent speed relative to the lasting one.
  double recent_ratio = 1;
  Millis last_close;
};

/// Sets the service's mean times, which are smoothed over two seconds. A class
/// that is not among them keeps its mean for a minute: a service without calls
/// for a while has not become another one.
void SetServiceMeans(Millis now,
                     const std::map<std::uint32_t, double>& means,
                     SpeedMeter& meter);

/// Begins to measure a run of a class.
MeasuredRun BeginRun(std::uint32_t route, const SpeedMeter& meter);
/// Accounts for the time that the run has taken up to `age`.
void AdvanceRun(LatencyMs age, MeasuredRun& run, SpeedMeter& meter);
/// The run was completed, or was cut off, at `age`; it is not measured further.
void CompleteRun(LatencyMs age, MeasuredRun& run, SpeedMeter& meter);
void CutRun(LatencyMs age, MeasuredRun& run, SpeedMeter& meter);

/// Ends a short interval; call it every few tens of milliseconds after all runs
/// in progress were advanced.
void CloseSpeedInterval(Millis now, SpeedMeter& meter);

/// Discards what was measured, for another instance or after a warm-up.
void ResetSpeed(SpeedMeter& meter);

/// The speed of the target; 0 if it is unknown, because no mean times of its
/// service are known. `is_warming_up`: the target has announced that it is
/// still slow; it counts as slow until runs show otherwise.
double CurrentSpeed(bool is_warming_up, const SpeedMeter& meter);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_TARGET_SPEED_H_
