#include "answer_reader.h"

#include <algorithm>
#include <utility>

#include "almondlink/base/http_status.h"

namespace almondlink::server {

namespace {

namespace http = boost::beast::http;

/// A target that sends more than this before the answer that is due is not
/// worth waiting for.
constexpr std::uint32_t kMostForeign = 4;
/// The same for interim answers, which are legitimate in small numbers.
constexpr std::uint32_t kMostInterim = 64;

ErrorKind KindOf(boost::beast::error_code error) {
  const bool is_too_large =
      error == http::error::body_limit || error == http::error::header_limit;
  return is_too_large ? ErrorKind::kAnswerTooLarge
                      : ErrorKind::kTargetBadAnswer;
}

control::AnswerId IdOf(const http::fields& fields, const std::string& own) {
  const auto [first, last] = fields.equal_range(kAttemptIdHeader);
  if (first == last) {
    return control::AnswerId::kMissing;
  }
  const bool is_own = std::all_of(
      first, last, [&own](const auto& field) { return field.value() == own; });
  return is_own ? control::AnswerId::kMatching
                : control::AnswerId::kMismatching;
}

}  // namespace

AnswerReader::AnswerReader(ExpectedAnswer expected_in,
                           const AnswerLimits& limits_in)
    : expected(std::move(expected_in)), limits(limits_in) {
  this->StartParser();
}

void AnswerReader::StartParser() {
  this->parser.emplace();
  this->parser->eager(true);
  this->parser->skip(this->expected.is_to_head);
  this->parser->header_limit(
      static_cast<std::uint32_t>(this->limits.max_header));
  this->parser->body_limit(this->limits.max_body);
}

ReadStep AnswerReader::Fail(ErrorKind kind) {
  this->fault = kind;
  return ReadStep::kFailed;
}

ReadStep AnswerReader::Feed(boost::beast::flat_buffer& input) {
  while (input.size() > 0) {
    boost::beast::error_code error;
    input.consume(this->parser->put(input.data(), error));
    if (error && error != http::error::need_more) {
      return this->Fail(KindOf(error));
    }
    if (this->parser->is_header_done() && !this->IsHeadUsable()) {
      return this->Fail(ErrorKind::kTargetBadAnswer);
    }
    if (this->parser->is_done()) {
      const ReadStep step = this->Judge();
      if (step != ReadStep::kNeedMore) {
        return step;
      }
    } else if (error == http::error::need_more) {
      // The parser does not bound the extensions of a chunk and the trailers.
      const bool is_endless = input.size() > this->limits.max_header;
      return is_endless ? this->Fail(ErrorKind::kAnswerTooLarge)
                        : ReadStep::kNeedMore;
    }
  }
  return ReadStep::kNeedMore;
}

bool AnswerReader::IsHeadUsable() const {
  const unsigned status = this->parser->get().result_int();
  // Without a length only the close would end the body, and a cut answer could
  // not be told from a whole one.
  return ClassOfStatus(status) != StatusClass::kInvalid &&
         !this->parser->need_eof();
}

ReadStep AnswerReader::Judge() {
  const auto& message = this->parser->get();
  if (ClassOfStatus(message.result_int()) == StatusClass::kInterim) {
    ++this->interim;
    if (this->interim > kMostInterim) {
      return this->Fail(ErrorKind::kTargetBadAnswer);
    }
    this->StartParser();
    return ReadStep::kNeedMore;
  }
  this->id = IdOf(message, this->expected.id);
  switch (control::ActionForAnswer(this->expected.trust, this->id)) {
    case control::AnswerAction::kDeliver:
      this->keeps_connection = message.keep_alive() && this->foreign == 0;
      return ReadStep::kDone;
    case control::AnswerAction::kSkip:
      ++this->foreign;
      if (this->foreign > kMostForeign || !message.keep_alive()) {
        return this->Fail(ErrorKind::kTargetBadAnswer);
      }
      this->StartParser();
      return ReadStep::kNeedMore;
    case control::AnswerAction::kReject:
      break;
  }
  ++this->foreign;
  return this->Fail(ErrorKind::kTargetBadAnswer);
}

TargetAnswer AnswerReader::Take() {
  http::response<http::vector_body<std::uint8_t>> message =
      this->parser->release();
  TargetAnswer answer;
  answer.status = message.result_int();
  message.erase(kAttemptIdHeader);
  answer.headers = TakeHeaders(message);
  answer.body = std::move(message.body());
  return answer;
}

}  // namespace almondlink::server
