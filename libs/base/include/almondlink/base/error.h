#ifndef ALMONDLINK_BASE_ERROR_H_
#define ALMONDLINK_BASE_ERROR_H_

#include <boost/leaf.hpp>
#include <cstdint>
#include <string>
#include <utility>

#include "almondlink/base/clock.h"

/// The closed list of error kinds and the one table from kind to answer.
namespace almondlink {

enum class ErrorKind : std::uint32_t {
  kNone = 0,
  // What the caller sent.
  kMalformedRequest = 1,
  kHeaderTooLarge = 2,
  kBodyTooLarge = 3,
  kUnknownService = 4,
  kUnknownOperation = 5,
  kBadTraceParent = 6,
  kBadTimeout = 7,
  kMissingIdentity = 8,
  kMissingKey = 9,
  kBadKey = 10,
  kKeyExpired = 11,
  kDeadlinePassed = 12,
  // Refusals under load; nothing was run.
  kOverloaded = 13,
  kDeadlineUnmeetable = 14,
  kRetryBudgetEmpty = 15,
  kRetryGrantEmpty = 16,
  kDraining = 17,
  kNoTarget = 18,
  kNoBundle = 19,
  kLogUnavailable = 20,
  kTargetRefused = 21,
  kConnectFailed = 22,
  kPeerUnreachable = 23,
  // Failures after something may have run.
  kTargetLost = 24,
  kTargetTimeout = 25,
  kTargetBadAnswer = 26,
  kPeerLost = 27,
  kDuplicate = 28,
  kAnswerTooLarge = 29,
  kCancelled = 30,
  kInternal = 31,
  // Errors of the operator's tool, of records and of settings.
  kBadSettings = 32,
  kBadBundle = 33,
  kBadRecord = 34,
  kBadSignature = 35,
  kConflict = 36,
  kBadMessage = 37,
  kIo = 38,
  kTimedOut = 39,
  // Refused, not run: targets have ended under the same request.
  kEndsTargets = 40,
};

constexpr std::uint32_t kErrorKindCount = 41;

/// What a caller is told about whether its request was run.
enum class Verdict : std::uint32_t {
  kAnswered = 0,
  kNotRun = 1,
  kOutcomeUnknown = 2,
};

/// How one error kind is answered.
struct ErrorAnswer {
  ErrorKind kind = ErrorKind::kNone;
  /// Stable name, in the header `Almondlink-Error`, metrics and docs.
  const char* name = "";
  std::uint32_t http_status = 0;
  Verdict verdict = Verdict::kNotRun;
  /// Shortest wait before a repeat is sensible; negative: do not repeat.
  Millis retry_after;
  /// Whether a node may try another target by itself.
  bool is_retryable = false;
  const char* text = "";
};

/// Row of the table for `kind`. Thread safe, never fails: a number that is not
/// in the list is answered as kInternal.
const ErrorAnswer& AnswerFor(ErrorKind kind);

/// Turns a number from the wire into a kind; unknown numbers give kInternal.
ErrorKind ErrorKindFrom(std::uint32_t number);

const char* ToString(Verdict verdict);

/// The error value that travels with a failed Result.
struct Failure {
  ErrorKind kind = ErrorKind::kInternal;
  /// One line for people: what was wrong and where.
  std::string detail;
};

/// A value, or a Failure. No exception crosses a public boundary.
template <typename T>
using Result = boost::leaf::result<T>;

/// Makes a failed Result.
inline boost::leaf::error_id Fail(ErrorKind kind, std::string detail) {
  return boost::leaf::new_error(Failure{kind, std::move(detail)});
}

/// Runs `body`, which returns a Result<R>, and turns a failure into an R by
/// `on_failure(const Failure&)`. Thread safe.
template <typename Body, typename Handler>
auto HandleFailure(Body&& body, Handler&& on_failure) {
  return boost::leaf::try_handle_all(
      std::forward<Body>(body),
      [&on_failure](const Failure& failure) { return on_failure(failure); },
      [&on_failure]() {
        return on_failure(Failure{ErrorKind::kInternal, "unknown error"});
      });
}

}  // namespace almondlink

#endif  // ALMONDLINK_BASE_ERROR_H_
