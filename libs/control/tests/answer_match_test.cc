#include "almondlink/control/answer_match.h"

#include <catch2/catch.hpp>

/// Guards against delivering a target's answer to the caller of another
/// request.
namespace almondlink::control {
namespace {

constexpr ConnectionTrust kFirstRequest{true, false};
constexpr ConnectionTrust kReused{false, false};
constexpr ConnectionTrust kIdOptional{false, true};

TEST_CASE("on a reused connection only the matching id is delivered") {
  CHECK(ActionForAnswer(kReused, AnswerId::kMatching) ==
        AnswerAction::kDeliver);
  CHECK(ActionForAnswer(kReused, AnswerId::kMismatching) ==
        AnswerAction::kSkip);
  CHECK(ActionForAnswer(kReused, AnswerId::kMissing) == AnswerAction::kReject);
}

TEST_CASE("a new connection cannot hold another request's answer") {
  CHECK(ActionForAnswer(kFirstRequest, AnswerId::kMatching) ==
        AnswerAction::kDeliver);
  CHECK(ActionForAnswer(kFirstRequest, AnswerId::kMissing) ==
        AnswerAction::kDeliver);
  CHECK(ActionForAnswer(kFirstRequest, AnswerId::kMismatching) ==
        AnswerAction::kReject);
}

TEST_CASE("only an answer with the matching id keeps the connection") {
  for (const ConnectionTrust& trust : {kFirstRequest, kReused}) {
    CHECK(MayReuseConnection(trust, AnswerId::kMatching));
    CHECK_FALSE(MayReuseConnection(trust, AnswerId::kMissing));
    CHECK_FALSE(MayReuseConnection(trust, AnswerId::kMismatching));
  }
}

TEST_CASE("the operator can make ids optional, but not allow wrong ones") {
  CHECK(ActionForAnswer(kIdOptional, AnswerId::kMissing) ==
        AnswerAction::kDeliver);
  CHECK(MayReuseConnection(kIdOptional, AnswerId::kMissing));
  CHECK(ActionForAnswer(kIdOptional, AnswerId::kMismatching) ==
        AnswerAction::kSkip);
  CHECK_FALSE(MayReuseConnection(kIdOptional, AnswerId::kMismatching));
}

}  // namespace
}  // namespace almondlink::control
