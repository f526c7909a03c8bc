#ifndef ALMONDLINK_MODEL_OUTCOME_H_
#define ALMONDLINK_MODEL_OUTCOME_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "almondlink/base/ids.h"
#include "almondlink/model/scenario.h"

namespace almondlink::model {

/// Request counts of one criticality class. A completed request got a
/// successful answer within its deadline.
struct ClassOutcome {
  std::uint64_t requests = 0;
  std::uint64_t completed = 0;
  /// The same for requests that arrived during the disturbance.
  std::uint64_t completed_in_disturbance = 0;
  std::uint64_t requests_in_disturbance = 0;
};

/// Requests by arrival time, one value per `kBucketMs`.
struct TimeSeries {
  std::vector<double> requests;
  std::vector<double> completed;
};

/// Results of one replay.
struct Outcome {
  std::array<ClassOutcome, kCriticalityCount> classes;
  /// Sum of the operation weights of completed requests and of all requests.
  double weighted_completed = 0;
  double weighted_requests = 0;
  /// The same for requests that arrived during the disturbance.
  double weighted_completed_in_disturbance = 0;
  double weighted_requests_in_disturbance = 0;
  /// Successful runs whose root request was already over.
  std::uint64_t wasted_runs = 0;
  /// All runs that targets started.
  std::uint64_t target_runs = 0;
  /// Calls made for a root request, as a multiple of the size of its call
  /// chain; 1 means that no call was repeated.
  double attempts_max = 0;
  double attempts_mean = 0;
  /// Tries of root requests in which nodes retried more often than the retry
  /// grant of the operation allows; must be 0.
  std::uint64_t grant_exceeded = 0;
  /// Refusals at a node that would still have admitted a less critical class.
  std::uint64_t order_violations = 0;
  /// Idempotency keys for which an at-most-once operation ran more than once;
  /// must be 0.
  std::uint64_t ran_twice = 0;
  /// Time from the end of the disturbance until the weighted share of completed
  /// requests, by arrival time, is back at 95 % of its earlier value and stays
  /// there for two seconds; negative if that does not happen. A share is used
  /// because random arrivals alone vary the sum by more than 5 %.
  double recovery_ms = 0;
  /// Weights per `kBucketMs`: of completed requests by completion time, of
  /// completed requests by arrival time, and of all requests by arrival time.
  std::vector<double> goodput;
  std::vector<double> completed_by_arrival;
  std::vector<double> requested;
  /// Request counts over time of each criticality class.
  std::array<TimeSeries, kCriticalityCount> class_counts;
};

/// Width of one value of the time series.
constexpr double kBucketMs = 250;

/// An expectation that the outcome did not meet, and the line of the trace file
/// that states it.
struct UnmetExpectation {
  int line = 0;
  std::string text;
};

/// Sets `value` to the figure of that name in trace files, of one criticality
/// class or (empty) of all. Returns false if no figure has that name. Only
/// `whole_share` and `whole_share_in_cause` depend on the class.
bool FindFigure(const Outcome& outcome,
                const std::string& figure,
                const std::string& criticality,
                double& value);

/// Compares an outcome with the expectations of the scenario.
std::vector<UnmetExpectation> FindUnmetExpectations(const Scenario& scenario,
                                                    const Outcome& outcome);

/// Sets `recovery_ms` from the time series of weights and the end of the
/// scenario's disturbance.
void ComputeRecoveryTime(const Scenario& scenario, Outcome& outcome);

}  // namespace almondlink::model

#endif  // ALMONDLINK_MODEL_OUTCOME_H_
