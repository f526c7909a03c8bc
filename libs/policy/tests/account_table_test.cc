#include "almondlink/policy/account_table.h"

#include <catch2/catch.hpp>

#include "almondlink/policy/route_table.h"

namespace almondlink::policy {
namespace {

/// The text of the failure, or "ok".
std::string AddTo(AccountTable& table,
                  const std::string& name,
                  const std::vector<std::string>& api_keys,
                  std::optional<std::uint32_t> priority = std::nullopt) {
  return HandleFailure(
      [&]() -> Result<std::string> {
        ClientAccount account;
        account.name = name;
        account.priority = priority;
        BOOST_LEAF_CHECK(table.Add(account, api_keys));
        return std::string("ok");
      },
      [](const Failure& failure) { return failure.detail; });
}

TEST_CASE("a key names its account, whichever of its keys it is") {
  AccountTable table;
  REQUIRE(AddTo(table, "north", {"k1", "k2"}, 1) == "ok");
  REQUIRE(AddTo(table, "south", {"k3"}) == "ok");
  REQUIRE(AddTo(table, "revoked", {}) == "ok");
  REQUIRE(table.FindByApiKey("k1")->name == "north");
  REQUIRE(table.FindByApiKey("k2")->name == "north");
  REQUIRE(table.FindByApiKey("k3")->name == "south");
  REQUIRE(table.FindByApiKey("k4") == nullptr);
  REQUIRE(table.FindByApiKey("") == nullptr);
  REQUIRE(table.Find(AccountKeyOf("south"))->name == "south");
  REQUIRE(table.Find(AccountKeyOf("nobody")) == nullptr);
  REQUIRE(table.Priorities() == std::set<std::uint32_t>{1});
}

TEST_CASE("two accounts with one key, or one name, are refused by name only") {
  AccountTable table;
  REQUIRE(AddTo(table, "north", {"secret-1", "secret-2"}) == "ok");
  const std::string shared = AddTo(table, "south", {"other", "secret-2"});
  REQUIRE(shared.find("north") != std::string::npos);
  REQUIRE(shared.find("south") != std::string::npos);
  REQUIRE(shared.find("secret") == std::string::npos);
  AccountTable same;
  REQUIRE(AddTo(same, "north", {}) == "ok");
  REQUIRE(AddTo(same, "north", {"k"}) != "ok");
  // The same key twice at one account is no conflict.
  REQUIRE(AddTo(same, "east", {"k5", "k5"}) == "ok");
}

TEST_CASE("a fingerprint tells keys apart and holds nothing of them") {
  const std::string print = KeyFingerprint("hhacruddedev3nax7u27");
  REQUIRE(print.size() == 8);
  REQUIRE(print == KeyFingerprint("hhacruddedev3nax7u27"));
  REQUIRE(print != KeyFingerprint("hhacruddedev3nax7u28"));
}

TEST_CASE("classes of requests are told apart by route and by account") {
  const RouteKey route = RouteKeyOf("a");
  REQUIRE(ClassKeyOf(route, std::nullopt) == route);
  REQUIRE(ClassKeyOf(route, 0) != route);
  REQUIRE(ClassKeyOf(route, 0) != ClassKeyOf(route, 1));
  REQUIRE(ClassKeyOf(route, 1) != ClassKeyOf(RouteKeyOf("b"), 1));
  REQUIRE(ClassKeyOf(route, 1) == ClassKeyOf(RouteKeyOf("a"), 1));
}

}  // namespace
}  // namespace almondlink::policy
