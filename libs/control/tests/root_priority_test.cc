#include "almondlink/control/root_priority.h"

#include <catch2/catch.hpp>

namespace almondlink::control {
namespace {

TEST_CASE("an account's priority goes before its route's") {
  const AccountOrder first = AccountOrder::kFirst;
  // The least urgent route of the most valued account.
  REQUIRE(RootPriority(first, 9, 0) < RootPriority(first, 0, 1));
  // Among accounts alike the routes keep their order.
  REQUIRE(RootPriority(first, 0, 1) < RootPriority(first, 1, 1));
  REQUIRE(RootPriority(first, 1, 1) < RootPriority(first, 2, 1));
  REQUIRE(RootPriority(first, 2, std::nullopt) == 2);
  REQUIRE(RootPriority(first, 7, 4'000'000'000) == 255);
}

TEST_CASE("it may also replace it, or not count") {
  REQUIRE(RootPriority(AccountOrder::kReplaces, 2, 1) == 1);
  REQUIRE(RootPriority(AccountOrder::kReplaces, 2, std::nullopt) == 2);
  REQUIRE(RootPriority(AccountOrder::kIgnored, 2, 0) == 2);
  REQUIRE(RootPriority(AccountOrder::kIgnored, 300, 0) == 255);
}

}  // namespace
}  // namespace almondlink::control
