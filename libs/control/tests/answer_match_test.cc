#include "almondlink/control/answer_match.h"

#include <catch2/catch.hpp>

/// Guards against a target's answer that reaches another request's caller.
namespace almondlink::control {
namespace {

constexpr ConnectionTrust kFresh{true, false};
constexpr ConnectionTrust kReused{false, false};
constexpr ConnectionTrust kVouchedFor{false, true};

TEST_CASE("on a connection used before only the own id is delivered") {
  CHECK(UseOfAnswer(kReused, AnswerId::kOwn) == AnswerUse::kDeliver);
  CHECK(UseOfAnswer(kReused, AnswerId::kOther) == AnswerUse::kSkip);
  CHECK(UseOfAnswer(kReused, AnswerId::kMissing) == AnswerUse::kReject);
}

TEST_CASE("a fresh connection cannot hold another request's answer") {
  CHECK(UseOfAnswer(kFresh, AnswerId::kOwn) == AnswerUse::kDeliver);
  CHECK(UseOfAnswer(kFresh, AnswerId::kMissing) == AnswerUse::kDeliver);
  CHECK(UseOfAnswer(kFresh, AnswerId::kOther) == AnswerUse::kReject);
}

TEST_CASE("only an answer with the own id keeps the connection") {
  for (const ConnectionTrust& trust : {kFresh, kReused}) {
    CHECK(MayFollow(trust, AnswerId::kOwn));
    CHECK_FALSE(MayFollow(trust, AnswerId::kMissing));
    CHECK_FALSE(MayFollow(trust, AnswerId::kOther));
  }
}

TEST_CASE(
    "an operator may vouch for a target without ids, not for wrong ones") {
  CHECK(UseOfAnswer(kVouchedFor, AnswerId::kMissing) == AnswerUse::kDeliver);
  CHECK(MayFollow(kVouchedFor, AnswerId::kMissing));
  CHECK(UseOfAnswer(kVouchedFor, AnswerId::kOther) == AnswerUse::kSkip);
  CHECK_FALSE(MayFollow(kVouchedFor, AnswerId::kOther));
}

}  // namespace
}  // namespace almondlink::control
