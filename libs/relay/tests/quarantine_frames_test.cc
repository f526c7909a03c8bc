#include <catch2/catch.hpp>
#include <string>

#include "almondlink/relay/peer_frames.h"
#include "libs/relay/tests/frame_payload.h"

namespace almondlink::relay {
namespace {

TEST_CASE("quarantine updates are unchanged by a round trip") {
  QuarantineFrame frame;
  frame.updates.resize(2);
  frame.updates[0].digest = {1, 2, 3};
  frame.updates[0].crashed_incarnations = {4, 5};
  frame.updates[0].failed_trials = 1;
  frame.updates[0].age = Millis{70'000};
  frame.updates[1].digest = {6, 7, 8};
  frame.updates[1].is_completed = true;
  std::string bytes;
  Append(frame, bytes);
  const std::string_view payload = PayloadOf(bytes, FrameType::kQuarantine);
  QuarantineFrame read;
  REQUIRE(Decode(payload, read));
  REQUIRE(read.updates.size() == 2);
  REQUIRE(read.updates[0].digest == frame.updates[0].digest);
  REQUIRE(read.updates[0].crashed_incarnations ==
          frame.updates[0].crashed_incarnations);
  REQUIRE(read.updates[0].failed_trials == 1);
  REQUIRE(read.updates[0].age == Millis{70'000});
  REQUIRE_FALSE(read.updates[0].is_completed);
  REQUIRE(read.updates[1].is_completed);
  for (std::size_t size = 0; size < payload.size(); ++size) {
    REQUIRE_FALSE(Decode(payload.substr(0, size), read));
  }
}

TEST_CASE("trial frames are unchanged by a round trip") {
  std::string bytes;
  Append(TrialRequestFrame{{1, 2, 3}, "stock", 500}, bytes);
  TrialRequestFrame ask;
  REQUIRE(Decode(PayloadOf(bytes, FrameType::kTrialRequest), ask));
  REQUIRE(ask.digest == control::RequestDigest{1, 2, 3});
  REQUIRE(ask.service == "stock");
  REQUIRE(ask.remaining_ms == 500);
  bytes.clear();
  Append(TrialResponseFrame{{1, 2, 3}, "node-4"}, bytes);
  TrialResponseFrame answer;
  REQUIRE(Decode(PayloadOf(bytes, FrameType::kTrialResponse), answer));
  REQUIRE(answer.node == "node-4");
  bytes.clear();
  Append(TrialEndedFrame{{1, 2, 3}}, bytes);
  TrialEndedFrame over;
  REQUIRE(Decode(PayloadOf(bytes, FrameType::kTrialEnded), over));
  REQUIRE(over.digest == control::RequestDigest{1, 2, 3});
}

}  // namespace
}  // namespace almondlink::relay
