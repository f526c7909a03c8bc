#include "test/support/target_notices.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <unordered_map>
#include <utility>

namespace almondlink::test {

namespace {

using std::chrono::milliseconds;

/// Bounds of the users' rules.
constexpr milliseconds kContact{3000};
constexpr milliseconds kDrain{2000};
constexpr milliseconds kLimitWindow{4000};
constexpr milliseconds kToldBefore{500};
constexpr double kLimitFactor = 1.5;
constexpr double kLimitExtra = 5;

using Told = std::map<int, SteadyTime>;

/// When each node first passed on an answer for which `is_notice` holds.
Told FirstTold(const std::vector<LoadRecord>& sent,
               const std::function<bool(const LoadRecord&)>& is_notice) {
  Told told;
  for (const LoadRecord& record : sent) {
    if (!is_notice(record)) {
      continue;
    }
    const auto [known, is_new] = told.emplace(record.node, record.answered);
    known->second = std::min(known->second, record.answered);
  }
  return told;
}

std::unordered_map<std::string, const LoadRecord*> ById(
    const std::vector<LoadRecord>& sent) {
  std::unordered_map<std::string, const LoadRecord*> by_id;
  for (const LoadRecord& record : sent) {
    by_id.emplace(record.id, &record);
  }
  return by_id;
}

/// By how many the arrivals exceed the bound in the worst window.
int MostOverLimit(const NamedRate& limit, std::vector<SteadyTime> counted) {
  std::sort(counted.begin(), counted.end());
  const double seconds = std::chrono::duration<double>(kLimitWindow).count();
  const int allowed = static_cast<int>(
      std::floor(kLimitFactor * limit.per_s * seconds + kLimitExtra));
  int most_over = 0;
  for (auto last = counted.begin(); last != counted.end(); ++last) {
    if (*last < limit.since + kContact) {
      continue;
    }
    const auto first =
        std::upper_bound(counted.begin(), last, *last - kLimitWindow);
    const int arrivals = static_cast<int>(last - first) + 1;
    most_over = std::max(most_over, arrivals - allowed);
  }
  return most_over;
}

}  // namespace

int RequestsOverLimit(const NamedRate& limit,
                      const std::vector<LoadRecord>& sent,
                      const std::vector<standins::SeenRequest>& arrived,
                      int excused) {
  const Told told = FirstTold(sent, [&limit](const LoadRecord& record) {
    return record.instance == limit.instance && !record.rate_limit.empty();
  });
  const auto by_id = ById(sent);
  std::vector<SteadyTime> counted;
  for (const standins::SeenRequest& request : arrived) {
    const auto record = by_id.find(request.id);
    if (record == by_id.end() || request.instance != limit.instance) {
      continue;
    }
    const auto known = told.find(record->second->node);
    const bool counts = known != told.end() &&
                        record->second->node != excused &&
                        known->second + kToldBefore <= request.at;
    if (counts) {
      counted.push_back(request.at);
    }
  }
  return MostOverLimit(limit, std::move(counted));
}

int ArrivalsOverLimit(const NamedRate& limit,
                      const std::vector<standins::SeenRequest>& arrived) {
  std::vector<SteadyTime> counted;
  for (const standins::SeenRequest& request : arrived) {
    if (request.instance == limit.instance &&
        request.at >= limit.since + kToldBefore) {
      counted.push_back(request.at);
    }
  }
  return MostOverLimit(limit, std::move(counted));
}

int RequestsAfterLeaving(const std::string& instance,
                         const std::vector<LoadRecord>& sent,
                         const std::vector<standins::SeenRequest>& arrived,
                         int excused) {
  const Told told = FirstTold(sent, [&instance](const LoadRecord& record) {
    return record.instance == instance && record.says_leaving;
  });
  const auto by_id = ById(sent);
  int late = 0;
  for (const standins::SeenRequest& request : arrived) {
    const auto record = by_id.find(request.id);
    if (record == by_id.end() || request.instance != instance ||
        record->second->node == excused) {
      continue;
    }
    const auto known = told.find(record->second->node);
    late += known != told.end() && record->second->sent > known->second + kDrain
                ? 1
                : 0;
  }
  return late;
}

}  // namespace almondlink::test
