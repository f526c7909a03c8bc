#include "almondlink/policy/route_table.h"

#include <catch2/catch.hpp>

namespace almondlink::policy {
namespace {

Route Make(const std::string& name,
           const std::string& host,
           const std::string& prefix) {
  Route route;
  route.name = name;
  route.host = host;
  route.path_prefix = prefix;
  return route;
}

TEST_CASE("the longest prefix of the host wins") {
  RouteTable table;
  table.routes = {
      Make("all", "a.example", "/"), Make("deep", "a.example", "/x/y/"),
      Make("shallow", "a.example", "/x/"), Make("other", "b.example", "/x/y/")};
  IndexRoutes(table);
  REQUIRE(table.Find("a.example", "/x/y/1?z=/")->name == "deep");
  REQUIRE(table.Find("A.Example:8080", "/x/1")->name == "shallow");
  REQUIRE(table.Find("a.example", "/x")->name == "all");
  REQUIRE(table.Find("b.example", "/x/1") == nullptr);
  REQUIRE(table.Find("c.example", "/") == nullptr);
}

TEST_CASE("a query is no part of the path") {
  RouteTable table;
  table.routes = {Make("x", "a", "/x/")};
  IndexRoutes(table);
  REQUIRE(table.Find("a", "/y?/x/") == nullptr);
}

TEST_CASE("the number of a route is never that of none") {
  REQUIRE(RouteKeyOf("").Value() != 0);
  REQUIRE(RouteKeyOf("a") != RouteKeyOf("b"));
}

}  // namespace
}  // namespace almondlink::policy
