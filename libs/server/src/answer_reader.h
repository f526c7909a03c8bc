#ifndef ALMONDLINK_SERVER_SRC_ANSWER_READER_H_
#define ALMONDLINK_SERVER_SRC_ANSWER_READER_H_

#include <cstdint>
#include <optional>
#include <string>

#include "almondlink/base/error.h"
#include "almondlink/control/answer_match.h"
#include "almondlink/server/target_client.h"
#include "beast_http.h"

/// Reads a target's answer to one request out of the bytes of its connection.
/// See almondlink/control/answer_match.h for what may come before and after it.
namespace almondlink::server {

/// What an answer is held against.
struct ExpectedAnswer {
  /// Id that the request carried.
  std::string id;
  /// The answer has no body, whatever length it states.
  bool is_to_head = false;
  control::ConnectionTrust trust;
};

/// Bounds of an answer in bytes.
struct AnswerLimits {
  std::size_t max_header = 0;
  std::size_t max_body = 0;
};

enum class ReadStep { kNeedMore, kDone, kFailed };

/// Belongs to one exchange; not thread safe.
class AnswerReader {
 public:
  AnswerReader(ExpectedAnswer expected, const AnswerLimits& limits);

  /// Takes what it can of `input`. After kDone the rest of `input` belongs to
  /// no request; after kFailed the connection cannot be used.
  ReadStep Feed(boost::beast::flat_buffer& input);

  /// The answer, once, after kDone.
  TargetAnswer Take();

  /// Why, after kFailed.
  ErrorKind Fault() const { return this->fault; }
  /// Whether another request may follow, after kDone, if nothing is left over.
  bool MayFollow() const {
    return this->keeps_connection &&
           control::MayReuseConnection(this->expected.trust, this->id);
  }
  /// Whether the answer came with its request's id, after kDone.
  bool HasOwnId() const { return this->id == control::AnswerId::kMatching; }
  /// Answers of other requests that were not delivered.
  std::uint32_t Foreign() const { return this->foreign; }

 private:
  using Parser = boost::beast::http::response_parser<
      boost::beast::http::vector_body<std::uint8_t>>;

  void StartParser();
  ReadStep Fail(ErrorKind kind);
  /// At the end of a whole answer; kNeedMore to read the next one.
  ReadStep Judge();
  /// Whether the head can be that of an answer. Precondition: it is complete.
  bool IsHeadUsable() const;

  const ExpectedAnswer expected;
  const AnswerLimits limits;
  std::optional<Parser> parser;
  control::AnswerId id = control::AnswerId::kMissing;
  ErrorKind fault = ErrorKind::kNone;
  bool keeps_connection = false;
  std::uint32_t foreign = 0;
  std::uint32_t interim = 0;
};

}  // namespace almondlink::server

#endif  // ALMONDLINK_SERVER_SRC_ANSWER_READER_H_
