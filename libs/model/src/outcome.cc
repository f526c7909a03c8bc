#include "almondlink/model/outcome.h"

#include <algorithm>
#include <sstream>

namespace almondlink::model {

namespace {

/// Buckets averaged into one smoothed value, one second.
constexpr std::size_t kSmoothingBuckets = 4;
/// Buckets for which the share must stay up to count as recovered.
constexpr std::size_t kStableBuckets = 8;
/// Share of the reference value that counts as recovered.
constexpr double kRecoveredRatio = 0.95;
/// Start of a replay, left out of the reference value while queues fill.
constexpr double kWarmUpMs = 2000;
/// End of a replay, left out because late requests cannot complete in it.
constexpr double kCoolDownMs = 6000;

double Ratio(double part, double total) {
  return total > 0 ? part / total : 1;
}

std::size_t BucketOf(double time_ms) {
  return static_cast<std::size_t>(time_ms / kBucketMs);
}

/// Weighted share of completed requests that arrived in buckets [from, to).
double CompletedShare(const Outcome& outcome,
                      std::size_t from,
                      std::size_t to) {
  double completed = 0;
  double requested = 0;
  for (std::size_t i = from; i < std::min(to, outcome.requested.size()); ++i) {
    completed += outcome.completed_by_arrival[i];
    requested += outcome.requested[i];
  }
  return Ratio(completed, requested);
}

bool StaysAbove(const Outcome& outcome,
                std::size_t from,
                std::size_t last,
                double level) {
  for (std::size_t i = from; i < std::min(from + kStableBuckets, last); ++i) {
    if (CompletedShare(outcome, i, i + kSmoothingBuckets) < level) {
      return false;
    }
  }
  return true;
}

}  // namespace

void ComputeRecoveryTime(const Scenario& scenario, Outcome& outcome) {
  outcome.recovery_ms = -1;
  const double before = CompletedShare(outcome, BucketOf(kWarmUpMs),
                                       BucketOf(scenario.disturbance_from_ms));
  const std::size_t end = BucketOf(scenario.disturbance_to_ms);
  // Requests that arrive at the end cannot complete within the replay.
  const std::size_t last =
      BucketOf(scenario.duration_ms - kCoolDownMs) - kSmoothingBuckets;
  for (std::size_t i = end; i + kStableBuckets <= last; ++i) {
    if (StaysAbove(outcome, i, last, before * kRecoveredRatio)) {
      outcome.recovery_ms = static_cast<double>(i - end) * kBucketMs;
      return;
    }
  }
}

bool FindFigure(const Outcome& outcome,
                const std::string& figure,
                const std::string& criticality,
                double& value) {
  ClassOutcome totals;
  for (std::uint32_t i = 0; i < kCriticalityCount; ++i) {
    const bool is_wanted = criticality.empty() ||
                           criticality == ToString(static_cast<Criticality>(i));
    if (is_wanted) {
      totals.requests += outcome.classes[i].requests;
      totals.completed += outcome.classes[i].completed;
      totals.requests_in_disturbance +=
          outcome.classes[i].requests_in_disturbance;
      totals.completed_in_disturbance +=
          outcome.classes[i].completed_in_disturbance;
    }
  }
  if (figure == "whole_share") {
    value = Ratio(static_cast<double>(totals.completed),
                  static_cast<double>(totals.requests));
  } else if (figure == "whole_share_in_cause") {
    value = Ratio(static_cast<double>(totals.completed_in_disturbance),
                  static_cast<double>(totals.requests_in_disturbance));
  } else if (figure == "weighted_share") {
    value = Ratio(outcome.weighted_completed, outcome.weighted_requests);
  } else if (figure == "weighted_share_in_cause") {
    value = Ratio(outcome.weighted_completed_in_disturbance,
                  outcome.weighted_requests_in_disturbance);
  } else if (figure == "recovery_ms") {
    value = outcome.recovery_ms < 0 ? 1e9 : outcome.recovery_ms;
  } else if (figure == "attempts_max") {
    value = outcome.attempts_max;
  } else if (figure == "attempts_mean") {
    value = outcome.attempts_mean;
  } else if (figure == "wasted_share") {
    value = Ratio(static_cast<double>(outcome.wasted_runs),
                  static_cast<double>(outcome.target_runs));
  } else if (figure == "grant_exceeded") {
    value = static_cast<double>(outcome.grant_exceeded);
  } else if (figure == "order_violations") {
    value = static_cast<double>(outcome.order_violations);
  } else if (figure == "ran_twice") {
    value = static_cast<double>(outcome.ran_twice);
  } else {
    return false;
  }
  return true;
}

std::vector<UnmetExpectation> FindUnmetExpectations(const Scenario& scenario,
                                                    const Outcome& outcome) {
  std::vector<UnmetExpectation> unmet;
  for (const Expectation& expected : scenario.expectations) {
    double value = 0;
    std::ostringstream text;
    text << expected.figure;
    if (!expected.criticality.empty()) {
      text << " of " << expected.criticality;
    }
    if (!FindFigure(outcome, expected.figure, expected.criticality, value)) {
      unmet.push_back({expected.line, text.str() + ": unknown figure"});
      continue;
    }
    const bool is_low = expected.has_min && value < expected.min_value;
    const bool is_high = expected.has_max && value > expected.max_value;
    if (is_low) {
      text << " is " << value << ", stated at least " << expected.min_value;
    } else if (is_high) {
      text << " is " << value << ", stated at most " << expected.max_value;
    }
    if (is_low || is_high) {
      unmet.push_back({expected.line, text.str()});
    }
  }
  return unmet;
}

}  // namespace almondlink::model
