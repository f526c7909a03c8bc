#include "almondlinkd/target_call.h"

#include <string>
#include <utility>

#include "almondlinkd/classify.h"

namespace almondlink::daemon {

namespace {

constexpr std::uint32_t kOk = 200;
constexpr std::uint32_t kServerErrors = 500;

}  // namespace

server::TargetRequest MakeRequest(const TargetCall& target_call) {
  const wire::Call& call = target_call.call;
  server::TargetRequest request;
  request.method = call.method;
  request.target = call.path;
  request.headers = call.headers;
  request.body = call.body;
  request.timeout = target_call.deadline - MonotonicNow();
  request.needs_fresh_connection = !call.key.empty();
  request.headers.push_back(
      {server::kTraceParentHeader,
       FormatTraceParent(target_call.root, target_call.span)});
  request.headers.push_back(
      {server::kTimeoutHeader, std::to_string(request.timeout.count)});
  request.headers.push_back({server::kTeamHeader, call.team});
  request.headers.push_back({server::kCallerHeader, call.caller});
  if (!call.key.empty()) {
    request.headers.push_back({server::kKeyHeader, call.key});
  }
  return request;
}

wire::Answer MakeAnswer(server::TargetAnswer result) {
  wire::Answer answer;
  if (result.error != ErrorKind::kNone) {
    answer.error = static_cast<std::uint32_t>(result.error);
    return answer;
  }
  const bool is_refusal =
      server::HeaderValue(result.headers, server::kVerdictHeader) ==
      ToString(Verdict::kNotRun);
  if (is_refusal) {
    answer.error = static_cast<std::uint32_t>(ErrorKind::kTargetRefused);
    return answer;
  }
  answer.status = result.status;
  answer.headers = std::move(result.headers);
  answer.body = std::move(result.body);
  return answer;
}

wire::Answer TextAnswer(const std::string& text) {
  wire::Answer answer;
  answer.status = kOk;
  answer.headers.push_back({"Content-Type", "text/plain"});
  answer.body.assign(text.begin(), text.end());
  return answer;
}

void EndWork(const TargetCall& target_call,
             control::WorkTable& work,
             wire::Answer& answer) {
  const control::WorkTable::FinishedWork ended = work.End(target_call.span);
  answer.grant_back = ended.unspent_grant;
  answer.attempts = 1 + ended.attempts;
  const bool is_failed = answer.error != 0 || answer.status >= kServerErrors;
  answer.downstream = is_failed ? ended.downstream_level : 0;
  answer.is_call_failed = is_failed && ended.is_call_failed;
}

wire::Answer RefusalOf(const EndsStep& step, const TargetCall& target_call) {
  wire::Answer answer;
  answer.error = static_cast<std::uint32_t>(ErrorKind::kEndsTargets);
  answer.retry_after_ms = step.wait.count;
  answer.winner = step.place;
  answer.grant_back = target_call.call.grant;
  return answer;
}

}  // namespace almondlink::daemon
