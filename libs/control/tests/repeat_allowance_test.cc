#include "almondlink/control/repeat_allowance.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <random>
#include <vector>

/// Checks the bound on repeats over many nodes as operators count it from
/// outside: in any window, by arrivals.
namespace almondlink::control {
namespace {

constexpr int kNodes = 13;
constexpr int kMaxAttempts = 12;
constexpr std::int64_t kEnd = 40'000;
constexpr std::int64_t kReportInterval = 200;

struct Node {
  RepeatAllowance allowance;
  std::int64_t started = -20'000;
  bool has_restored_counts = false;
  /// Offset of its clock.
  std::int64_t offset = 0;
  RepeatCounts reported;
};

/// Requests per second for one service at a node, and the share refused.
struct Load {
  double per_s = 0;
  double refused = 0;
};

struct Outcome {
  /// Arrivals per millisecond: first attempts, and repeats.
  std::vector<int> requests = std::vector<int>(kEnd);
  std::vector<int> repeats = std::vector<int>(kEnd);
  int completed = 0;
  int first_attempts = 0;

  int Sum(const std::vector<int>& counts, std::int64_t end) const {
    int sum = 0;
    for (std::int64_t at = std::max<std::int64_t>(0, end - 10'000);
         at < std::max<std::int64_t>(0, end); ++at) {
      sum += counts[static_cast<std::size_t>(at)];
    }
    return sum;
  }
  /// Ratio of repeats to the bound in the worst window; at most 1 if it holds.
  double WorstRatio(const RepeatRules& rules, std::int64_t step = 50) const {
    double worst = 0;
    for (std::int64_t end = 1000; end <= kEnd; end += step) {
      const int max_requests =
          std::max({this->Sum(this->requests, end),
                    this->Sum(this->requests, end - 5000),
                    this->Sum(this->requests, end - 10'000)});
      worst = std::max(worst, this->Sum(this->repeats, end) /
                                  (rules.ratio * max_requests + rules.fixed));
    }
    return worst;
  }
};

RepeatRules Rules() {
  RepeatRules rules;
  rules.fixed = 50;
  rules.nodes = kNodes;
  rules.usable_share = 0.9;
  return rules;
}

/// Simulates all nodes, millisecond by millisecond. `load_of(node, now)`: the
/// load of a node. `restarts(node, now)`: whether the node restarts in this
/// millisecond; it restores its last reported counts if `has_peers`.
template <typename LoadOf, typename Restarts>
Outcome Simulate(const LoadOf& load_of,
                 const Restarts& restarts,
                 bool has_peers = true) {
  RepeatRules rules = Rules();
  std::mt19937_64 random(7);
  std::uniform_real_distribution<double> draw(0, 1);
  std::vector<Node> nodes(kNodes);
  for (Node& node : nodes) {
    node.offset = static_cast<std::int64_t>(1e7 * draw(random));
  }
  Outcome outcome;
  for (std::int64_t now = 0; now < kEnd; ++now) {
    for (int i = 0; i < kNodes; ++i) {
      Node& node = nodes[static_cast<std::size_t>(i)];
      const Millis own{now + node.offset};
      if (restarts(i, now)) {
        node.allowance = RepeatAllowance();
        node.started = now;
        node.has_restored_counts = has_peers;
        if (has_peers) {
          RestoreCounts(rules, own, node.reported, node.allowance);
        }
        node.reported = RepeatCounts();
      }
      rules.is_restarted =
          !node.has_restored_counts && now - node.started < 10'000;
      if (now % kReportInterval == i) {
        node.reported = WindowCounts(rules, own, node.allowance);
      }
      const Load load = load_of(i, now);
      std::poisson_distribution<int> arrivals(
          std::max(1e-9, load.per_s / 1000));
      for (int request = arrivals(random); request > 0; --request) {
        RecordRequest(rules, own, node.allowance);
        ++outcome.requests[static_cast<std::size_t>(now)];
        ++outcome.first_attempts;
        bool is_completed = draw(random) >= load.refused;
        for (int attempts = 1; !is_completed && attempts < kMaxAttempts;
             ++attempts) {
          RepeatCounts sums = WindowCounts(rules, own, node.allowance);
          for (const Node& other : nodes) {
            if (&other != &node && other.reported.repeats > 0) {
              sums.requests += other.reported.requests;
              sums.requests_half_earlier +=
                  other.reported.requests_half_earlier;
              sums.requests_previous += other.reported.requests_previous;
              sums.repeats += other.reported.repeats;
            }
          }
          if (!HasSharedCapacity(rules, sums) ||
              !TakeRepeat(rules, 0, own, node.allowance)) {
            break;
          }
          ++outcome.repeats[static_cast<std::size_t>(now)];
          is_completed = draw(random) >= load.refused;
        }
        outcome.completed += is_completed ? 1 : 0;
      }
    }
  }
  return outcome;
}

bool NoRestarts(int /*node*/, std::int64_t /*now*/) {
  return false;
}

TEST_CASE("repeats of many nodes use most of the bound and keep it") {
  // All targets of a service refuse half of the calls for 8 s, and fewer
  // requests arrive meanwhile because call chains are cut short.
  const auto load = [](int node, std::int64_t now) {
    const bool is_short = now >= 15'000 && now < 23'000;
    const double share = node < 3 ? 1.0 : 0.1;
    return Load{share * (is_short ? 150 : 300), is_short ? 0.55 : 0.0};
  };
  const Outcome outcome = Simulate(load, NoRestarts);
  const double used = outcome.WorstRatio(Rules());
  REQUIRE(used <= 1);
  REQUIRE(used > 0.8);
}

TEST_CASE("the bound holds while most is refused for long") {
  const auto load = [](int /*node*/, std::int64_t now) {
    const double swing = 1 + 0.5 * std::sin(static_cast<double>(now) / 2000);
    return Load{60 * swing, now > 3000 ? 0.8 : 0.0};
  };
  REQUIRE(Simulate(load, NoRestarts).WorstRatio(Rules()) <= 1);
}

TEST_CASE("the bound holds while load moves from node to node") {
  // Each node has most of its requests in a different window.
  const auto load = [](int node, std::int64_t now) {
    const std::int64_t turn = now / 5000 % 3;
    return Load{node % 3 == turn ? 300.0 : 30.0, now > 5000 ? 0.6 : 0.0};
  };
  REQUIRE(Simulate(load, NoRestarts).WorstRatio(Rules()) <= 1);
}

TEST_CASE("the bound holds while nodes restart") {
  const auto load = [](int /*node*/, std::int64_t now) {
    return Load{100, now > 8000 ? 0.5 : 0.0};
  };
  const auto restarts = [](int node, std::int64_t now) {
    return now == 12'000 + node * 700 || now == 24'000 + node * 70;
  };
  REQUIRE(Simulate(load, restarts).WorstRatio(Rules()) <= 1);
}

TEST_CASE("the bound holds when all nodes restart at once") {
  // No peer holds the counts of what was sent before.
  const auto load = [](int /*node*/, std::int64_t now) {
    return Load{100, now > 8000 ? 0.5 : 0.0};
  };
  const auto restarts = [](int /*node*/, std::int64_t now) {
    return now == 20'000 || now == 33'000;
  };
  REQUIRE(Simulate(load, restarts, false).WorstRatio(Rules()) <= 1);
}

TEST_CASE("a burst at the end of load does not break later windows") {
  const auto load = [](int /*node*/, std::int64_t now) {
    const bool is_last = now >= 19'000 && now < 20'000;
    return Load{now < 20'000 ? 200.0 : 5.0, is_last ? 0.9 : 0.3};
  };
  REQUIRE(Simulate(load, NoRestarts).WorstRatio(Rules()) <= 1);
}

}  // namespace
}  // namespace almondlink::control
