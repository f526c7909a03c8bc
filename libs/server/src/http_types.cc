#include "almondlink/server/http_types.h"

#include <strings.h>

#include <array>
#include <nlohmann/json.hpp>

namespace almondlink::server {

namespace {

constexpr std::array<const char*, 10> kHopByHop = {"Connection",
                                                   "Keep-Alive",
                                                   "Proxy-Authenticate",
                                                   "Proxy-Authorization",
                                                   "TE",
                                                   "Trailer",
                                                   "Transfer-Encoding",
                                                   "Upgrade",
                                                   "Content-Length",
                                                   "Expect"};

constexpr std::int64_t kMsPerSecond = 1000;

std::string WholeSeconds(Millis time) {
  return std::to_string((time.count + kMsPerSecond - 1) / kMsPerSecond);
}

}  // namespace

bool IsSameToken(const std::string& a, const char* b) {
  return strcasecmp(a.c_str(), b) == 0;
}

const std::string& HeaderValue(const Headers& headers, const char* name) {
  static const std::string kNone;
  for (const wire::Header& header : headers) {
    if (IsSameToken(header.name, name)) {
      return header.value;
    }
  }
  return kNone;
}

bool IsHopByHop(const std::string& name) {
  for (const char* known : kHopByHop) {
    if (IsSameToken(name, known)) {
      return true;
    }
  }
  return false;
}

CallerAnswer ErrorToAnswer(ErrorKind kind,
                           Millis retry_after,
                           const std::string& detail) {
  const ErrorAnswer& row = AnswerFor(kind);
  const Millis wait = retry_after >= Millis{0} ? retry_after : row.retry_after;
  CallerAnswer answer;
  answer.status = row.http_status;
  answer.headers.push_back({kVerdictHeader, ToString(row.verdict)});
  answer.headers.push_back({kErrorHeader, row.name});
  answer.headers.push_back({"Content-Type", "application/json"});
  const bool is_worth_retrying = row.retry_after >= Millis{0};
  if (is_worth_retrying) {
    answer.headers.push_back({kRetryAfterHeader, WholeSeconds(wait)});
    answer.headers.push_back({kRetryAfterMsHeader, std::to_string(wait.count)});
  }
  const nlohmann::json body = {{"error", row.name},
                               {"verdict", ToString(row.verdict)},
                               {"text", detail.empty() ? row.text : detail}};
  const std::string text =
      body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) +
      "\n";
  answer.body.assign(text.begin(), text.end());
  return answer;
}

}  // namespace almondlink::server
