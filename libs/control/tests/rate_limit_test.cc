#include "almondlink/control/rate_limit.h"

#include <catch2/catch.hpp>

namespace almondlink::control {
namespace {

TEST_CASE("a source gets its rate and no more, bursts of a second included") {
  RateLimit limit;
  int taken = 0;
  for (int ms = 0; ms < 10'000; ++ms) {
    for (int i = 0; i < 5; ++i) {
      taken += TakeFromRate(100, Millis{ms}, limit) ? 1 : 0;
    }
  }
  // Ten seconds' worth and the burst.
  REQUIRE(taken >= 1090);
  REQUIRE(taken <= 1100);
}

TEST_CASE("a quiet source saves up one second at most") {
  RateLimit limit;
  REQUIRE(TakeFromRate(2, Millis{0}, limit));
  REQUIRE(TakeFromRate(2, Millis{60'000}, limit));
  REQUIRE(TakeFromRate(2, Millis{60'000}, limit));
  REQUIRE_FALSE(TakeFromRate(2, Millis{60'000}, limit));
}

}  // namespace
}  // namespace almondlink::control
