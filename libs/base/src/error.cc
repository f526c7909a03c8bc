#include "almondlink/base/error.h"

#include <array>

namespace almondlink {

namespace {

constexpr Millis kNever{-1};
constexpr Millis kAtOnce{0};
constexpr Millis kShort{200};
constexpr Millis kSecond{1000};

using K = ErrorKind;
using V = Verdict;

constexpr std::array<ErrorAnswer, kErrorKindCount> kTable = {{
    {K::kNone, "none", 200, V::kAnswered, kNever, false, "answered"},
    {K::kMalformedRequest, "malformed-request", 400, V::kNotRun, kNever, false,
     "the request is not valid HTTP/1.1"},
    {K::kHeaderTooLarge, "header-too-large", 431, V::kNotRun, kNever, false,
     "the header block is over the limit"},
    {K::kBodyTooLarge, "body-too-large", 413, V::kNotRun, kNever, false,
     "the body is over the limit"},
    {K::kUnknownService, "unknown-service", 404, V::kNotRun, kNever, false,
     "the bundle has no such service"},
    {K::kUnknownOperation, "unknown-operation", 404, V::kNotRun, kNever, false,
     "no operation of the service matches method and path"},
    {K::kBadTraceParent, "bad-traceparent", 400, V::kNotRun, kNever, false,
     "traceparent is not a valid W3C value"},
    {K::kBadTimeout, "bad-timeout", 400, V::kNotRun, kNever, false,
     "Almondlink-Timeout-Ms is not a whole number of milliseconds"},
    {K::kMissingIdentity, "missing-identity", 400, V::kNotRun, kNever, false,
     "Almondlink-Team and Almondlink-Caller are required and must be known"},
    {K::kMissingKey, "missing-key", 400, V::kNotRun, kNever, false,
     "the operation is at-most-once and needs an Idempotency-Key"},
    {K::kBadKey, "bad-key", 400, V::kNotRun, kNever, false,
     "Idempotency-Key must be a UUID version 7"},
    {K::kKeyExpired, "key-expired", 409, V::kNotRun, kNever, false,
     "the Idempotency-Key is too old or from the future"},
    {K::kDeadlinePassed, "deadline-passed", 504, V::kNotRun, kNever, false,
     "the deadline passed before the request was run"},
    {K::kOverloaded, "overloaded", 503, V::kNotRun, kShort, true,
     "refused by admission control"},
    {K::kDeadlineUnmeetable, "deadline-unmeetable", 503, V::kNotRun, kShort,
     false, "the request cannot finish before its deadline"},
    {K::kRetryBudgetEmpty, "retry-budget-empty", 429, V::kNotRun, kSecond,
     false, "the retry budget of the team is spent"},
    {K::kRetryGrantEmpty, "retry-grant-empty", 503, V::kNotRun, kNever, false,
     "the retries of the root request are spent"},
    {K::kDraining, "draining", 503, V::kNotRun, kAtOnce, true,
     "the target is leaving"},
    {K::kNoTarget, "no-target", 503, V::kNotRun, kSecond, false,
     "no target of the service is available"},
    {K::kNoBundle, "no-bundle", 503, V::kNotRun, kSecond, false,
     "the node has no bundle yet"},
    {K::kLogUnavailable, "log-unavailable", 503, V::kNotRun, kSecond, false,
     "the claim of the key could not be recorded in time"},
    {K::kTargetRefused, "target-refused", 503, V::kNotRun, kShort, true,
     "the target shed the request before running it"},
    {K::kConnectFailed, "connect-failed", 502, V::kNotRun, kShort, true,
     "the target did not accept a connection"},
    {K::kPeerUnreachable, "peer-unreachable", 502, V::kNotRun, kShort, true,
     "the target's node could not be reached"},
    {K::kTargetLost, "target-lost", 502, V::kOutcomeUnknown, kShort, true,
     "the target closed the connection before its answer was whole"},
    {K::kTargetTimeout, "target-timeout", 504, V::kOutcomeUnknown, kNever,
     false, "the deadline passed while the target worked"},
    {K::kTargetBadAnswer, "target-bad-answer", 502, V::kOutcomeUnknown, kNever,
     true, "the target's answer is not valid HTTP/1.1"},
    {K::kPeerLost, "peer-lost", 502, V::kOutcomeUnknown, kShort, true,
     "the link to the target's node broke"},
    {K::kDuplicate, "duplicate", 409, V::kOutcomeUnknown, kNever, false,
     "the key was used before and its answer is not known here"},
    {K::kAnswerTooLarge, "answer-too-large", 502, V::kOutcomeUnknown, kNever,
     false, "the target's answer is over the limit"},
    {K::kCancelled, "cancelled", 499, V::kOutcomeUnknown, kNever, false,
     "the caller left"},
    {K::kInternal, "internal", 500, V::kOutcomeUnknown, kNever, false,
     "internal error"},
    {K::kBadSettings, "bad-settings", 500, V::kNotRun, kNever, false,
     "the settings are not valid"},
    {K::kBadBundle, "bad-bundle", 500, V::kNotRun, kNever, false,
     "the bundle is not valid"},
    {K::kBadRecord, "bad-record", 500, V::kNotRun, kNever, false,
     "a log record is not valid"},
    {K::kBadSignature, "bad-signature", 500, V::kNotRun, kNever, false,
     "a signature does not verify"},
    {K::kConflict, "conflict", 409, V::kNotRun, kNever, false,
     "another release won"},
    {K::kBadMessage, "bad-message", 400, V::kNotRun, kNever, false,
     "a peer's message is not valid"},
    {K::kIo, "io", 500, V::kNotRun, kNever, false, "input or output failed"},
    {K::kTimedOut, "timed-out", 504, V::kNotRun, kNever, false,
     "no answer in time"},
    {K::kEndsTargets, "ends-targets", 503, V::kNotRun, kSecond, false,
     "targets have ended under the same request"},
}};

constexpr bool IsTableInOrder() {
  for (std::uint32_t i = 0; i < kErrorKindCount; ++i) {
    if (static_cast<std::uint32_t>(kTable[i].kind) != i) {
      return false;
    }
  }
  return true;
}
static_assert(IsTableInOrder(), "the table is indexed by kind");

}  // namespace

ErrorKind ErrorKindFrom(std::uint32_t number) {
  return number < kErrorKindCount ? static_cast<ErrorKind>(number)
                                  : ErrorKind::kInternal;
}

const ErrorAnswer& AnswerFor(ErrorKind kind) {
  const ErrorKind known = ErrorKindFrom(static_cast<std::uint32_t>(kind));
  return kTable[static_cast<std::size_t>(known)];
}

const char* ToString(Verdict verdict) {
  switch (verdict) {
    case Verdict::kAnswered:
      return "answered";
    case Verdict::kNotRun:
      return "not-run";
    case Verdict::kOutcomeUnknown:
      return "outcome-unknown";
  }
  return "outcome-unknown";
}

}  // namespace almondlink
