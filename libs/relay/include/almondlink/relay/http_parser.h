#ifndef ALMONDLINK_RELAY_HTTP_PARSER_H_
#define ALMONDLINK_RELAY_HTTP_PARSER_H_

#include <boost/beast/http/basic_parser.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "almondlink/relay/header_names.h"

/// HTTP/1.1 messages, parsed by Boost.Beast. Fields to forward are kept as one
/// text, in order and unchanged; the few fields that the relay evaluates are
/// extracted.
namespace almondlink::relay {

/// Head of a caller's request.
struct RequestHead {
  std::string method;
  /// Path and query as sent.
  std::string target;
  std::string host;
  std::string id;
  /// Empty if the caller sent no value or a value that is not a number.
  std::optional<std::int64_t> time_left_ms;
  /// `Name: value` lines to forward, each with its line end.
  std::string fields;
  /// Value of the last Authorization field, and the number of these fields.
  std::string credentials;
  std::uint32_t credential_count = 0;
  /// The Authorization and account fields, as lines like `fields`. Forwarded
  /// only if the policy has no accounts.
  std::string identity_fields;
  bool expects_continue = false;
  bool is_keep_alive = true;
};

/// Head of a target's answer.
struct AnswerHead {
  std::uint32_t status = 0;
  std::string reason;
  std::string fields;
  std::string id;
  std::string instance_id;
  bool has_seal = false;
  bool is_not_run = false;
  bool is_encoded = false;
  bool is_keep_alive = true;
  /// Requests per second that the target accepts from all nodes together;
  /// nothing if it names no limit, or one that is not a number from 0 up.
  std::optional<double> rate_limit;
  /// The target states that it is leaving.
  bool is_leaving = false;
  /// Seconds after which the target closes the idle connection; 0 if not
  /// specified.
  std::uint32_t keep_alive_s = 0;
};

/// State of a parser after bytes were fed to it.
enum class ParseStatus { kNeedMore, kDone, kMalformed };

/// Base of both parsers: Beast's incremental parser, fed from a buffer that
/// keeps the unused bytes. `names` must outlive the parser. Not thread safe.
template <bool IsRequest>
class HttpParser : public boost::beast::http::basic_parser<IsRequest> {
 public:
  explicit HttpParser(const HeaderNames& names_in) : names(names_in) {
    this->eager(true);
    this->body_limit(boost::none);
  }

  /// Consumes bytes from the front of `input`. After kDone the remaining bytes
  /// belong to the next message.
  ParseStatus Feed(std::string& input);
  /// Call when the peer has closed the connection. True if the message is
  /// complete by that; a message without a length ends at the end of the
  /// stream.
  bool FinishAtEof();

  std::string body;

 protected:
  using string_view = boost::beast::string_view;
  using error_code = boost::beast::error_code;

  void on_header_impl(error_code& error) override;
  void on_body_init_impl(const boost::optional<std::uint64_t>& length,
                         error_code& error) override;
  std::size_t on_body_impl(string_view piece, error_code& error) override;
  void on_chunk_header_impl(std::uint64_t size,
                            string_view extensions,
                            error_code& error) override;
  std::size_t on_chunk_body_impl(std::uint64_t remain,
                                 string_view piece,
                                 error_code& error) override;
  void on_finish_impl(error_code& error) override;

  /// Appends the field to `fields` unless it is a hop-by-hop field.
  void KeepField(boost::beast::http::field name,
                 string_view name_text,
                 string_view value,
                 std::string& fields);
  /// Removes the fields that the Connection field names.
  void DropNominated(std::string& fields);

  const HeaderNames& names;
  std::string nominated;
};

/// Parses one request of a caller.
class RequestParser final : public HttpParser<true> {
 public:
  explicit RequestParser(const HeaderNames& names_in)
      : HttpParser<true>(names_in) {}
  RequestHead head;

 protected:
  void on_request_impl(boost::beast::http::verb method,
                       string_view method_text,
                       string_view target,
                       int version,
                       error_code& error) override;
  void on_response_impl(int code,
                        string_view reason,
                        int version,
                        error_code& error) override;
  void on_field_impl(boost::beast::http::field name,
                     string_view name_text,
                     string_view value,
                     error_code& error) override;
  void on_header_impl(error_code& error) override;
};

/// Parses one answer of a target.
class AnswerParser final : public HttpParser<false> {
 public:
  explicit AnswerParser(const HeaderNames& names_in)
      : HttpParser<false>(names_in) {}
  AnswerHead head;

 protected:
  void on_request_impl(boost::beast::http::verb method,
                       string_view method_text,
                       string_view target,
                       int version,
                       error_code& error) override;
  void on_response_impl(int code,
                        string_view reason,
                        int version,
                        error_code& error) override;
  void on_field_impl(boost::beast::http::field name,
                     string_view name_text,
                     string_view value,
                     error_code& error) override;
  void on_header_impl(error_code& error) override;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_HTTP_PARSER_H_
