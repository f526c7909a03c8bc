#include "almondlink/model/outcome.h"

#include <algorithm>
#include <sstream>

namespace almondlink::model {

namespace {

/// Buckets in one smoothed value, one second.
constexpr std::size_t kSmooth = 4;
/// Buckets that must stay up for the return to count.
constexpr std::size_t kStay = 8;
constexpr double kBack = 0.95;
/// Start of a replay that is left out of "before": queues fill.
constexpr double kWarmUpMs = 2000;
/// End of a replay that is left out.
constexpr double kCoolDownMs = 6000;

double Share(double part, double whole) {
  return whole > 0 ? part / whole : 1;
}

std::size_t BucketOf(double time_ms) {
  return static_cast<std::size_t>(time_ms / kBucketMs);
}

/// Share of the weight asked in buckets [from, to) that ended whole.
double ShareIn(const Outcome& outcome, std::size_t from, std::size_t to) {
  double whole = 0;
  double asked = 0;
  for (std::size_t i = from; i < std::min(to, outcome.asked.size()); ++i) {
    whole += outcome.whole_by_asked[i];
    asked += outcome.asked[i];
  }
  return Share(whole, asked);
}

bool StaysUp(const Outcome& outcome,
             std::size_t from,
             std::size_t last,
             double level) {
  for (std::size_t i = from; i < std::min(from + kStay, last); ++i) {
    if (ShareIn(outcome, i, i + kSmooth) < level) {
      return false;
    }
  }
  return true;
}

}  // namespace

void FindRecovery(const Scenario& scenario, Outcome& outcome) {
  outcome.recovery_ms = -1;
  const double before =
      ShareIn(outcome, BucketOf(kWarmUpMs), BucketOf(scenario.cause_from_ms));
  const std::size_t end = BucketOf(scenario.cause_to_ms);
  // Requests asked at the very end cannot end within the replay.
  const std::size_t last =
      BucketOf(scenario.duration_ms - kCoolDownMs) - kSmooth;
  for (std::size_t i = end; i + kStay <= last; ++i) {
    if (StaysUp(outcome, i, last, before * kBack)) {
      outcome.recovery_ms = static_cast<double>(i - end) * kBucketMs;
      return;
    }
  }
}

bool FigureOf(const Outcome& outcome,
              const std::string& figure,
              const std::string& criticality,
              double& value) {
  ClassOutcome of;
  for (std::uint32_t i = 0; i < kCriticalityCount; ++i) {
    const bool is_wanted = criticality.empty() ||
                           criticality == ToString(static_cast<Criticality>(i));
    if (is_wanted) {
      of.asked += outcome.classes[i].asked;
      of.whole += outcome.classes[i].whole;
      of.asked_in_cause += outcome.classes[i].asked_in_cause;
      of.whole_in_cause += outcome.classes[i].whole_in_cause;
    }
  }
  if (figure == "whole_share") {
    value = Share(static_cast<double>(of.whole), static_cast<double>(of.asked));
  } else if (figure == "whole_share_in_cause") {
    value = Share(static_cast<double>(of.whole_in_cause),
                  static_cast<double>(of.asked_in_cause));
  } else if (figure == "weighted_share") {
    value = Share(outcome.weighted_whole, outcome.weighted_asked);
  } else if (figure == "weighted_share_in_cause") {
    value =
        Share(outcome.weighted_whole_in_cause, outcome.weighted_asked_in_cause);
  } else if (figure == "recovery_ms") {
    value = outcome.recovery_ms < 0 ? 1e9 : outcome.recovery_ms;
  } else if (figure == "attempts_max") {
    value = outcome.attempts_max;
  } else if (figure == "attempts_mean") {
    value = outcome.attempts_mean;
  } else if (figure == "wasted_share") {
    value = Share(static_cast<double>(outcome.wasted),
                  static_cast<double>(outcome.target_work));
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

std::vector<Difference> Compare(const Scenario& scenario,
                                const Outcome& outcome) {
  std::vector<Difference> differences;
  for (const Expectation& expected : scenario.expectations) {
    double value = 0;
    std::ostringstream text;
    text << expected.figure;
    if (!expected.criticality.empty()) {
      text << " of " << expected.criticality;
    }
    if (!FigureOf(outcome, expected.figure, expected.criticality, value)) {
      differences.push_back({expected.line, text.str() + ": no such figure"});
      continue;
    }
    const bool is_low = expected.has_least && value < expected.at_least;
    const bool is_high = expected.has_most && value > expected.at_most;
    if (is_low) {
      text << " is " << value << ", stated at least " << expected.at_least;
    } else if (is_high) {
      text << " is " << value << ", stated at most " << expected.at_most;
    }
    if (is_low || is_high) {
      differences.push_back({expected.line, text.str()});
    }
  }
  return differences;
}

}  // namespace almondlink::model
