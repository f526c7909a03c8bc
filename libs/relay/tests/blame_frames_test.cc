#include <catch2/catch.hpp>
#include <string>

#include "almondlink/relay/peer_frames.h"

namespace almondlink::relay {
namespace {

std::string_view PayloadOf(const std::string& bytes, FrameType type) {
  bool is_bad = false;
  const std::optional<RawFrame> frame = NextFrame(bytes, is_bad);
  REQUIRE(frame.has_value());
  REQUIRE(frame->type == type);
  REQUIRE(frame->size == bytes.size());
  return frame->payload;
}

TEST_CASE("news of ends and of whole runs come back as they were") {
  BlameFrame frame;
  frame.news.resize(2);
  frame.news[0].digest = {1, 2, 3};
  frame.news[0].starts = {4, 5};
  frame.news[0].failed_trials = 1;
  frame.news[0].age = Millis{70'000};
  frame.news[1].digest = {6, 7, 8};
  frame.news[1].is_whole = true;
  std::string bytes;
  Append(frame, bytes);
  const std::string_view payload = PayloadOf(bytes, FrameType::kBlame);
  BlameFrame read;
  REQUIRE(Decode(payload, read));
  REQUIRE(read.news.size() == 2);
  REQUIRE(read.news[0].digest == frame.news[0].digest);
  REQUIRE(read.news[0].starts == frame.news[0].starts);
  REQUIRE(read.news[0].failed_trials == 1);
  REQUIRE(read.news[0].age == Millis{70'000});
  REQUIRE_FALSE(read.news[0].is_whole);
  REQUIRE(read.news[1].is_whole);
  for (std::size_t size = 0; size < payload.size(); ++size) {
    REQUIRE_FALSE(Decode(payload.substr(0, size), read));
  }
}

TEST_CASE("asks for trials and their answers come back as they were") {
  std::string bytes;
  Append(TrialAskFrame{{1, 2, 3}, "stock", 500}, bytes);
  TrialAskFrame ask;
  REQUIRE(Decode(PayloadOf(bytes, FrameType::kTrialAsk), ask));
  REQUIRE(ask.digest == control::RequestDigest{1, 2, 3});
  REQUIRE(ask.service == "stock");
  REQUIRE(ask.left_ms == 500);
  bytes.clear();
  Append(TrialAnswerFrame{{1, 2, 3}, "node-4"}, bytes);
  TrialAnswerFrame answer;
  REQUIRE(Decode(PayloadOf(bytes, FrameType::kTrialAnswer), answer));
  REQUIRE(answer.node == "node-4");
  bytes.clear();
  Append(TrialOverFrame{{1, 2, 3}}, bytes);
  TrialOverFrame over;
  REQUIRE(Decode(PayloadOf(bytes, FrameType::kTrialOver), over));
  REQUIRE(over.digest == control::RequestDigest{1, 2, 3});
}

}  // namespace
}  // namespace almondlink::relay
