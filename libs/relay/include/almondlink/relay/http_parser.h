#ifndef ALMONDLINK_RELAY_HTTP_PARSER_H_
#define ALMONDLINK_RELAY_HTTP_PARSER_H_

#include <boost/beast/http/basic_parser.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "almondlink/relay/header_names.h"

/// HTTP/1.1 messages as the relay needs them, on Boost.Beast's parser: the
/// fields that are passed on are kept as one text, in order and unchanged; the
/// few that decide something are taken out.
namespace almondlink::relay {

/// Head of a caller's request.
struct RequestHead {
  std::string method;
  /// Path and query as sent.
  std::string target;
  std::string host;
  std::string id;
  /// Absent where the caller gave none, or none that is a number.
  std::optional<std::int64_t> time_left_ms;
  /// `Name: value` lines to pass on, each with its line end.
  std::string fields;
  /// Value of the Authorization field, and how many there were.
  std::string credentials;
  std::uint32_t credential_count = 0;
  /// That field and those that name an account, as lines like `fields`: passed
  /// on only where the policy knows no accounts.
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
  /// Seconds after which the target closes the idle connection; 0 if not said.
  std::uint32_t keep_alive_s = 0;
};

/// What became of the bytes given to a parser.
enum class ParseStatus { kNeedMore, kDone, kMalformed };

/// Shared by both parsers: Beast's incremental parser fed from a text that
/// keeps what was not used yet.
template <bool IsRequest>
class HttpParser : public boost::beast::http::basic_parser<IsRequest> {
 public:
  explicit HttpParser(const HeaderNames& names_in) : names(names_in) {
    this->eager(true);
    this->body_limit(boost::none);
  }

  /// Consumes from the front of `input`; leaves what it does not use, which
  /// after kDone belongs to the next message. Not thread safe.
  ParseStatus Feed(std::string& input);
  /// The peer closed: true if that is the proper end of the message.
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

  /// Keeps a field unless it concerns one connection only.
  void KeepField(boost::beast::http::field name,
                 string_view name_text,
                 string_view value,
                 std::string& fields);
  /// Removes the fields that the Connection field named.
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
