#include "almondlink/control/token_bucket.h"

#include <catch2/catch.hpp>

namespace almondlink::control {
namespace {

TEST_CASE("a source gets its rate and no more, bursts of a second included") {
  TokenBucket limit;
  int taken = 0;
  for (int ms = 0; ms < 10'000; ++ms) {
    for (int i = 0; i < 5; ++i) {
      taken += TakeToken(100, Millis{ms}, limit) ? 1 : 0;
    }
  }
  // What ten seconds earn, and the burst.
  REQUIRE(taken >= 1090);
  REQUIRE(taken <= 1100);
}

TEST_CASE("an idle source accumulates at most one second of tokens") {
  TokenBucket limit;
  REQUIRE(TakeToken(2, Millis{0}, limit));
  REQUIRE(TakeToken(2, Millis{60'000}, limit));
  REQUIRE(TakeToken(2, Millis{60'000}, limit));
  REQUIRE_FALSE(TakeToken(2, Millis{60'000}, limit));
}

}  // namespace
}  // namespace almondlink::control
