#ifndef ALMONDLINK_SERVER_HTTP_TYPES_H_
#define ALMONDLINK_SERVER_HTTP_TYPES_H_

#include <cstdint>
#include <string>
#include <vector>

#include "almondlink/base/error.h"
#include "almondlink/wire/messages.generated.h"

/// HTTP requests and answers as plain data, apart from any library's types.
namespace almondlink::server {

using Body = std::vector<std::uint8_t>;
using Headers = std::vector<wire::Header>;

// Header fields of almondlink and those that it reads.
constexpr const char* kServiceHeader = "Almondlink-Service";
constexpr const char* kTeamHeader = "Almondlink-Team";
constexpr const char* kCallerHeader = "Almondlink-Caller";
constexpr const char* kTimeoutHeader = "Almondlink-Timeout-Ms";
constexpr const char* kVerdictHeader = "Almondlink-Verdict";
constexpr const char* kErrorHeader = "Almondlink-Error";
constexpr const char* kAttemptsHeader = "Almondlink-Attempts";
constexpr const char* kRetriesHeader = "Almondlink-Retries";
constexpr const char* kTraceParentHeader = "traceparent";
constexpr const char* kKeyHeader = "Idempotency-Key";
/// Id of one send of a request to a target, which returns it with the answer.
constexpr const char* kAttemptIdHeader = "Almondlink-Attempt-Id";
/// Set by a caller that repeats an at-most-once call whose outcome it does not
/// know.
constexpr const char* kRepeatHeader = "Almondlink-Repeat";
constexpr const char* kRetryAfterHeader = "Retry-After";
/// Retry-After has whole seconds; this one has milliseconds.
constexpr const char* kRetryAfterMsHeader = "Almondlink-Retry-After-Ms";

/// One request of a caller.
struct CallerRequest {
  std::string method;
  /// Path and query.
  std::string target;
  /// All fields but the hop-by-hop ones.
  Headers headers;
  Body body;
};

/// One answer to a caller.
struct CallerAnswer {
  std::uint32_t status = 200;
  Headers headers;
  Body body;
};

/// Value of the first field of that name, compared without case; empty if there
/// is none. Valid as long as `headers`.
const std::string& HeaderValue(const Headers& headers, const char* name);

/// Whether `a` and `b` are equal but for ASCII case.
bool IsSameToken(const std::string& a, const char* b);

/// Whether a field is for one connection only and must not be passed on.
bool IsHopByHop(const std::string& name);

/// The answer for a failure, from the table of error kinds. `retry_after`
/// replaces the table's advice unless it is negative. `detail` is put into the
/// body when not empty.
CallerAnswer ErrorToAnswer(ErrorKind kind,
                           Millis retry_after,
                           const std::string& detail);

}  // namespace almondlink::server

#endif  // ALMONDLINK_SERVER_HTTP_TYPES_H_
