#include "almondlink/control/policy_source.h"

#include <algorithm>
#include <catch2/catch.hpp>

/// Which nodes follow the policy source, and which node the others ask.
namespace almondlink::control {
namespace {

const FollowRules kRules;

/// Which nodes of a zone follow, given which of them can read the source.
std::vector<bool> Followers(const std::vector<bool>& has_source) {
  std::vector<bool> follows;
  std::uint32_t before_with_source = 0;
  for (std::uint32_t i = 0; i < has_source.size(); ++i) {
    follows.push_back(FollowsSource(kRules, i, before_with_source));
    before_with_source += has_source[i] ? 1 : 0;
  }
  return follows;
}

TEST_CASE("two nodes of a zone follow the source") {
  const std::vector<bool> follows = Followers(std::vector<bool>(20, true));
  REQUIRE(std::count(follows.begin(), follows.end(), true) == 2);
  REQUIRE(follows[0]);
  REQUIRE(follows[1]);
}

TEST_CASE("a follower that cannot read the source is replaced") {
  // The first follower keeps trying, and takes its place again once it can read
  // the source.
  const std::vector<bool> follows =
      Followers({false, true, true, true, true, true, true, true});
  REQUIRE(follows == std::vector<bool>{true, true, true, false, false, false,
                                       false, false});
}

TEST_CASE("while no node can read the source, a few of a zone try") {
  const std::vector<bool> follows = Followers(std::vector<bool>(20, false));
  REQUIRE(std::count(follows.begin(), follows.end(), true) == 6);
}

TEST_CASE("a node without peers follows the source itself") {
  REQUIRE(FollowsSource(kRules, 0, 0));
}

TEST_CASE("a node with an old version asks its own zone first") {
  const std::vector<PolicyOffer> offers = {
      {7, false, false}, {7, true, false}, {6, true, false}};
  REQUIRE(ChooseOffer(kRules, 6, offers, Millis{0}, 0.0) == 1U);
  REQUIRE(ChooseOffer(kRules, 6, offers, Millis{0}, 0.99) == 1U);
}

TEST_CASE(
    "another zone is asked if the own one lacks the version after a delay") {
  const std::vector<PolicyOffer> offers = {{7, false, false}, {6, true, false}};
  REQUIRE_FALSE(ChooseOffer(kRules, 6, offers, Millis{149}, 0.5).has_value());
  REQUIRE(ChooseOffer(kRules, 6, offers, Millis{150}, 0.5) == 0U);
}

TEST_CASE("a node that knows no policy asks anyone at once") {
  REQUIRE(ChooseOffer(kRules, 0, {{7, false, false}}, Millis{0}, 0.5) == 0U);
}

TEST_CASE("nobody is asked for a version that is not newer") {
  REQUIRE_FALSE(ChooseOffer(kRules, 7, {{7, true, false}, {3, true, false}},
                            Millis{1000}, 0.5)
                    .has_value());
}

TEST_CASE("the newest version is asked for, not one in between") {
  const std::vector<PolicyOffer> offers = {{8, true, false}, {9, false, false}};
  REQUIRE(ChooseOffer(kRules, 7, offers, Millis{200}, 0.5) == 1U);
}

TEST_CASE("a node that was asked without success is skipped") {
  const std::vector<PolicyOffer> offers = {
      {7, true, true}, {7, true, false}, {7, false, false}};
  REQUIRE(ChooseOffer(kRules, 6, offers, Millis{0}, 0.0) == 1U);
  REQUIRE_FALSE(
      ChooseOffer(kRules, 6, {{7, true, true}}, Millis{500}, 0.0).has_value());
}

}  // namespace
}  // namespace almondlink::control
