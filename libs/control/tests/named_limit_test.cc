#include "almondlink/control/named_limit.h"

#include <catch2/catch.hpp>

namespace almondlink::control {
namespace {

TEST_CASE("a limit holds from the answer that names it") {
  NamedLimit limit;
  REQUIRE(!UpdateNamedLimit(Millis{10}, Millis{5}, std::nullopt, limit));
  REQUIRE(!limit.per_s.has_value());
  REQUIRE(UpdateNamedLimit(Millis{20}, Millis{5}, 36.4, limit));
  REQUIRE(limit.per_s == 36.4);
}

TEST_CASE("a limit is not lifted by an answer that was overtaken") {
  NamedLimit limit;
  UpdateNamedLimit(Millis{1000}, Millis{900}, 36.4, limit);
  // Sent before the limit was named, and just after it.
  REQUIRE(!UpdateNamedLimit(Millis{2000}, Millis{990}, std::nullopt, limit));
  REQUIRE(!UpdateNamedLimit(Millis{2000}, Millis{1100}, std::nullopt, limit));
  REQUIRE(limit.per_s == 36.4);
}

TEST_CASE("a limit is lifted when later answers name none") {
  NamedLimit limit;
  UpdateNamedLimit(Millis{1000}, Millis{900}, 36.4, limit);
  REQUIRE(UpdateNamedLimit(Millis{1700}, Millis{1600}, std::nullopt, limit));
  REQUIRE(!limit.per_s.has_value());
}

TEST_CASE("small changes of a limit apply but are not reported") {
  NamedLimit limit;
  UpdateNamedLimit(Millis{1}, Millis{0}, 100, limit);
  REQUIRE(!UpdateNamedLimit(Millis{2}, Millis{1}, 96, limit));
  REQUIRE(limit.per_s == 96.0);
  REQUIRE(!UpdateNamedLimit(Millis{3}, Millis{2}, 92, limit));
  REQUIRE(UpdateNamedLimit(Millis{4}, Millis{3}, 88, limit));
  REQUIRE(limit.reported_per_s == 88.0);
  // A limit of 0 and no limit are told apart.
  REQUIRE(UpdateNamedLimit(Millis{5}, Millis{4}, 0, limit));
  REQUIRE(limit.per_s == 0.0);
}

}  // namespace
}  // namespace almondlink::control
