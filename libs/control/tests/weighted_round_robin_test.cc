#include "almondlink/control/weighted_round_robin.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <random>

/// Distribution of the requests of a split route over its parts.
namespace almondlink::control {
namespace {

std::vector<double> Draws(std::mt19937& random) {
  std::uniform_real_distribution<double> draw(0, 1);
  return {draw(random), draw(random)};
}

TEST_CASE("each part gets its share of any sequence of requests on one node") {
  std::mt19937 random(1);
  WeightedRoundRobin turns;
  std::vector<std::size_t> taken;
  taken.reserve(1000);
  for (int i = 0; i < 1000; ++i) {
    taken.push_back(NextPart({0.75, 0.25}, Draws(random), turns));
  }
  for (std::size_t first = 0; first < 900; first += 7) {
    const auto begin = taken.begin() + static_cast<std::ptrdiff_t>(first);
    REQUIRE(std::abs(std::count(begin, begin + 100, 0) - 75) <= 1);
  }
}

TEST_CASE("nodes with few requests each keep the shares in total") {
  // Eleven nodes with uneven load receive 939 requests in five seconds; four of
  // them restart halfway.
  std::mt19937 random(31777);
  const std::vector<int> per_node = {128, 103, 102, 99, 96, 88,
                                     87,  74,  67,  61, 34};
  int first_part = 0;
  int all = 0;
  for (std::size_t node = 0; node < per_node.size(); ++node) {
    WeightedRoundRobin turns;
    for (int i = 0; i < per_node[node]; ++i) {
      if (node % 3 == 0 && i == per_node[node] / 2) {
        turns = WeightedRoundRobin();
      }
      first_part += NextPart({0.75, 0.25}, Draws(random), turns) == 0 ? 1 : 0;
      ++all;
    }
  }
  REQUIRE(all == 939);
  REQUIRE(first_part / static_cast<double>(all) == Approx(0.75).margin(0.02));
}

TEST_CASE("new weights apply from the next request on") {
  std::mt19937 random(2);
  WeightedRoundRobin turns;
  for (int i = 0; i < 50; ++i) {
    NextPart({0.9, 0.1}, Draws(random), turns);
  }
  int first_part = 0;
  for (int i = 0; i < 100; ++i) {
    first_part += NextPart({0.2, 0.8}, Draws(random), turns) == 0 ? 1 : 0;
  }
  REQUIRE(std::abs(first_part - 20) <= 2);
}

TEST_CASE("a part of weight 0 gets no requests") {
  std::mt19937 random(3);
  WeightedRoundRobin turns;
  for (int i = 0; i < 100; ++i) {
    REQUIRE(NextPart({0, 1}, Draws(random), turns) == 1);
  }
}

TEST_CASE("an added part gets its share") {
  std::mt19937 random(4);
  WeightedRoundRobin turns;
  NextPart({0.5, 0.5}, Draws(random), turns);
  std::vector<int> taken(3);
  const std::vector<double> draws = {0.1, 0.2, 0.3};
  for (int i = 0; i < 90; ++i) {
    ++taken[NextPart({1, 1, 1}, draws, turns)];
  }
  REQUIRE(taken == std::vector<int>{30, 30, 30});
}

}  // namespace
}  // namespace almondlink::control
