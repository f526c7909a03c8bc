#ifndef ALMONDLINK_CONTROL_RUN_TIMES_H_
#define ALMONDLINK_CONTROL_RUN_TIMES_H_

#include <cstdint>
#include <map>

#include "almondlink/base/clock.h"
#include "almondlink/control/decision_sums.h"

/// Distribution of the run times of a called route, from which the chance that
/// a call does not end in the time that it has left is computed.
///
/// Run times are scaled to a target of speed 1: a run that takes 200 ms at a
/// target of speed 1.5 counts as 300 ms. Runs that were cut off before their
/// end are part of the distribution. Without them the tail would be missing,
/// and a call that often fails at its timeout would look safe.
namespace almondlink::control {

/// Counts lose half of their weight in this time.
constexpr Millis kRunTimeHalfLife{30000};
/// Number of runs below which a distribution is unknown.
constexpr double kMinRunTimes = 20;

/// Adds a run that took `work` at a target of that speed. A speed of 0
/// (unknown) counts as 1.
void RecordRunTime(LatencyMs work, double speed, RunTimeHistogram& histogram);

/// Adds a run that was cut off after `lasted`: it is distributed over the
/// longer run times in proportion to the runs seen there.
void RecordCutRun(LatencyMs lasted, double speed, RunTimeHistogram& histogram);

/// Number of runs, with the weight that is left of them.
double CountRunTimes(const RunTimeHistogram& histogram);

/// Fraction of runs that take longer than `time_left` at a target of that
/// speed; 0 if the distribution is unknown.
double ChanceToBeLate(const RunTimeHistogram& histogram,
                      LatencyMs time_left,
                      double speed);

/// Mean run time at a target of speed 1; 0 if the distribution is unknown.
double MeanRunTimeMs(const RunTimeHistogram& histogram);

/// Distributions of one node by called route. Not thread safe.
struct RunTimeTable {
  std::map<std::uint32_t, RunTimeHistogram> routes;
  Millis decayed_at;
};

/// Applies the loss of weight since the last call, and drops routes of which
/// next to nothing is left. Call it before the table is read or reported.
void DecayRunTimes(Millis now, RunTimeTable& table);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_RUN_TIMES_H_
