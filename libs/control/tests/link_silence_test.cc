#include "almondlink/control/link_silence.h"

#include <catch2/catch.hpp>

namespace almondlink::control {
namespace {

/// Simulates ticks of 100 ms from `start`. Returns the time at which the peer
/// becomes suspect, or -1. The peer replies to a ping after `answers_after`,
/// unless that is negative.
std::int64_t SuspectAt(std::int64_t start,
                       std::int64_t until,
                       std::int64_t answers_after) {
  LinkSilence link;
  link.last_received = Millis{0};
  link.last_ping = Millis{-1};
  link.first_unanswered_ping = Millis{-1};
  link.waiting_calls = 1;
  std::int64_t answer_at = -1;
  for (std::int64_t now = start; now <= until; now += 100) {
    link.now = Millis{now};
    if (answer_at >= 0 && now >= answer_at) {
      link.last_received = Millis{answer_at};
      answer_at = -1;
    }
    switch (EvaluateSilence(link)) {
      case SilenceAction::kNothing:
        break;
      case SilenceAction::kPing:
        link.first_unanswered_ping =
            link.first_unanswered_ping > link.last_received
                ? link.first_unanswered_ping
                : link.now;
        link.last_ping = link.now;
        answer_at = answers_after < 0 ? -1 : now + answers_after;
        break;
      case SilenceAction::kSuspect:
        return now;
    }
  }
  return -1;
}

TEST_CASE("a silent peer is suspect 0.7 s after its last message") {
  REQUIRE(SuspectAt(0, 5000, -1) == 700);
}

TEST_CASE("an idle peer is pinged before it is suspect") {
  // The last message is up to a second old when the first call is sent.
  for (std::int64_t silent = 300; silent <= 1000; silent += 100) {
    REQUIRE(SuspectAt(silent, silent + 5000, 20) == -1);
    REQUIRE(SuspectAt(silent, silent + 5000, -1) == silent + 400);
  }
}

TEST_CASE("a peer is not pinged while no call waits") {
  LinkSilence link;
  link.now = Millis{5000};
  REQUIRE(EvaluateSilence(link) == SilenceAction::kNothing);
}

}  // namespace
}  // namespace almondlink::control
