#include "almondlink/control/root_priority.h"

#include <catch2/catch.hpp>

namespace almondlink::control {
namespace {

TEST_CASE(
    "the priority of the account takes precedence over that of the route") {
  // The least urgent route of the most urgent account.
  REQUIRE(RootPriority(9, 0) < RootPriority(0, 1));
  // Within one account priority the routes keep their order.
  REQUIRE(RootPriority(0, 1) < RootPriority(1, 1));
  REQUIRE(RootPriority(1, 1) < RootPriority(2, 1));
  REQUIRE(RootPriority(7, 4'000'000'000) == 255);
}

TEST_CASE("without an account priority the route's priority is used") {
  REQUIRE(RootPriority(2, std::nullopt) == 2);
  REQUIRE(RootPriority(300, std::nullopt) == 255);
}

}  // namespace
}  // namespace almondlink::control
