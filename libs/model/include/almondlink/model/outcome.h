#ifndef ALMONDLINK_MODEL_OUTCOME_H_
#define ALMONDLINK_MODEL_OUTCOME_H_

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "almondlink/base/ids.h"
#include "almondlink/model/scenario.h"

namespace almondlink::model {

/// What became of the requests of one class.
struct ClassOutcome {
  std::uint64_t requests = 0;
  std::uint64_t completed = 0;
  /// Whole answers that arrived while the cause lasted, and what was asked
  /// then.
  std::uint64_t completed_in_disturbance = 0;
  std::uint64_t requests_in_disturbance = 0;
};

/// Requests by the time they were asked, per `kBucketMs`.
struct TimeSeries {
  std::vector<double> requests;
  std::vector<double> completed;
};

/// Figures of one replay.
struct Outcome {
  std::array<ClassOutcome, kCriticalityCount> classes;
  /// Sum of weights of whole answers, and of what was asked.
  double weighted_completed = 0;
  double weighted_requests = 0;
  /// The same for requests asked while the cause lasted.
  double weighted_completed_in_disturbance = 0;
  double weighted_requests_in_disturbance = 0;
  /// Work that targets finished for nobody.
  std::uint64_t wasted_runs = 0;
  std::uint64_t target_runs = 0;
  /// Calls made per root request, over those that its chain has at least.
  double attempts_max = 0;
  double attempts_mean = 0;
  /// Retries spent by nodes on one root request beyond its grant; must be 0.
  std::uint64_t grant_exceeded = 0;
  /// Refusals of a class while a lesser one would have been admitted there.
  std::uint64_t order_violations = 0;
  /// At-most-once operations that ran twice for one key; must be 0.
  std::uint64_t ran_twice = 0;
  /// From the end of the cause until the share of requests that end whole, by
  /// weight and by the time they were asked, is back at 95 % of before for
  /// good; negative if it never is. A share, because random arrivals alone move
  /// the sum by more than 5 %.
  double recovery_ms = 0;
  /// Weight of whole answers by the time they arrived, of whole answers by the
  /// time they were asked for, and of all that was asked; per `kBucketMs`.
  std::vector<double> goodput;
  std::vector<double> completed_by_arrival;
  std::vector<double> requested;
  /// Counts of each class.
  std::array<TimeSeries, kCriticalityCount> class_counts;
};

constexpr double kBucketMs = 250;

/// One expectation that was not met.
struct UnmetExpectation {
  int line = 0;
  std::string text;
};

/// Value of a figure by its name in traces; false if there is none.
bool FindFigure(const Outcome& outcome,
                const std::string& figure,
                const std::string& criticality,
                double& value);

/// Compares an outcome with what the scenario states.
std::vector<UnmetExpectation> FindUnmetExpectations(const Scenario& scenario,
                                                    const Outcome& outcome);

/// Sets `recovery_ms` from the goodput buckets and the scenario's cause.
void ComputeRecoveryTime(const Scenario& scenario, Outcome& outcome);

}  // namespace almondlink::model

#endif  // ALMONDLINK_MODEL_OUTCOME_H_
