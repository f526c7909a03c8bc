#include "almondlink/base/log_rate.h"

#include <catch2/catch.hpp>

namespace almondlink {
namespace {

int Taken(Millis from, Millis until, Volume volume, LogRate& rate) {
  int taken = 0;
  for (Millis now = from; now < until; now = now + Millis{1}) {
    taken += TakeLine(now, volume, rate) ? 1 : 0;
  }
  return taken;
}

TEST_CASE("lines of one kind above its rate are left out and counted") {
  LogRate rate;
  const int taken = Taken(Millis{0}, Millis{10'000}, Volume::kFailure, rate);
  // What may come at once, and 60 a second for ten seconds.
  REQUIRE(taken >= 715);
  REQUIRE(taken <= 721);
  REQUIRE(rate.left_out[1] == 10'000U - static_cast<unsigned>(taken));
}

TEST_CASE("a flood of refusals takes no line from changes of belief") {
  LogRate rate;
  Taken(Millis{0}, Millis{5000}, Volume::kFailure, rate);
  REQUIRE(TakeLine(Millis{5000}, Volume::kRare, rate));
}

TEST_CASE("asking whether there is a place takes none") {
  LogRate rate;
  for (int i = 0; i < 1000; ++i) {
    REQUIRE(HasLine(Millis{0}, Volume::kRoutine, rate));
  }
}

}  // namespace
}  // namespace almondlink
