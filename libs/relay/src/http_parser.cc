#include "almondlink/relay/http_parser.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <charconv>
#include <cmath>

#include "almondlink/base/http_status.h"

namespace almondlink::relay {

namespace {

namespace http = boost::beast::http;
using boost::beast::iequals;
using StringView = boost::beast::string_view;

/// Maximum size of all header fields, in bytes; requests of callers are far
/// smaller. The same bound holds for what a parser cannot consume yet, such as
/// the extensions of a chunk or its trailer fields, which Beast does not bound.
constexpr std::uint32_t kMaxHeader = 64 * 1024;

/// Bodies above this size are read into a buffer of their stated length.
constexpr std::size_t kLargeBody = 1024 * 1024;

bool IsField(StringView name, const std::string& wanted) {
  return name.size() == wanted.size() && iequals(name, wanted);
}

template <typename Number>
std::optional<Number> ParseNumber(StringView text) {
  Number value = 0;
  const std::from_chars_result parsed =
      std::from_chars(text.data(), text.data() + text.size(), value);
  const bool is_whole =
      parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
  return is_whole ? std::optional<Number>(value) : std::nullopt;
}

/// A rate in events per second; nothing unless it is a finite number from 0 up.
std::optional<double> ParseRate(StringView text) {
  const std::optional<double> rate = ParseNumber<double>(text);
  const bool is_rate = rate.has_value() && std::isfinite(*rate) && *rate >= 0;
  return is_rate ? rate : std::nullopt;
}

/// Seconds in `timeout=N` of a Keep-Alive field; 0 if absent.
std::uint32_t KeepAliveTimeout(StringView value) {
  const std::size_t at = value.find("timeout=");
  if (at == StringView::npos) {
    return 0;
  }
  const StringView rest = value.substr(at + 8);
  std::uint32_t seconds = 0;
  std::from_chars(rest.data(), rest.data() + rest.size(), seconds);
  return seconds;
}

/// Whether a field applies to one connection only (RFC 9110, section 7.6.1) or
/// describes the framing, which is generated anew.
bool IsHopByHop(http::field name) {
  switch (name) {
    case http::field::connection:
    case http::field::keep_alive:
    case http::field::proxy_connection:
    case http::field::proxy_authenticate:
    case http::field::proxy_authorization:
    case http::field::te:
    case http::field::trailer:
    case http::field::transfer_encoding:
    case http::field::upgrade:
    case http::field::content_length:
    case http::field::expect:
      return true;
    default:
      return false;
  }
}

}  // namespace

template <bool IsRequest>
ParseStatus HttpParser<IsRequest>::Feed(std::string& input) {
  std::size_t used = 0;
  ParseStatus step = ParseStatus::kNeedMore;
  while (used < input.size()) {
    error_code error;
    used += this->put(
        boost::asio::buffer(input.data() + used, input.size() - used), error);
    if (this->is_done()) {
      step = ParseStatus::kDone;
      break;
    }
    if (error == http::error::need_more) {
      break;
    }
    if (error) {
      step = ParseStatus::kMalformed;
      break;
    }
  }
  input.erase(0, used);
  const bool is_endless =
      step == ParseStatus::kNeedMore && input.size() > kMaxHeader;
  return is_endless ? ParseStatus::kMalformed : step;
}

template <bool IsRequest>
bool HttpParser<IsRequest>::FinishAtEof() {
  if (!this->is_header_done()) {
    return false;
  }
  error_code error;
  this->put_eof(error);
  return !error && this->is_done();
}

template <bool IsRequest>
void HttpParser<IsRequest>::on_header_impl(error_code& /*error*/) {}

template <bool IsRequest>
void HttpParser<IsRequest>::on_body_init_impl(
    const boost::optional<std::uint64_t>& /*length*/,
    error_code& /*error*/) {}

template <bool IsRequest>
std::size_t HttpParser<IsRequest>::on_body_impl(string_view piece,
                                                error_code& /*error*/) {
  // A buffer that grows holds twice as much for a moment.
  if (this->body.size() >= kLargeBody && this->content_length()) {
    this->body.reserve(static_cast<std::size_t>(*this->content_length()));
  }
  this->body.append(piece.data(), piece.size());
  return piece.size();
}

template <bool IsRequest>
void HttpParser<IsRequest>::on_chunk_header_impl(std::uint64_t /*size*/,
                                                 string_view /*extensions*/,
                                                 error_code& /*error*/) {}

template <bool IsRequest>
std::size_t HttpParser<IsRequest>::on_chunk_body_impl(std::uint64_t /*remain*/,
                                                      string_view piece,
                                                      error_code& /*error*/) {
  this->body.append(piece.data(), piece.size());
  return piece.size();
}

template <bool IsRequest>
void HttpParser<IsRequest>::on_finish_impl(error_code& /*error*/) {}

template <bool IsRequest>
void HttpParser<IsRequest>::KeepField(http::field name,
                                      string_view name_text,
                                      string_view value,
                                      std::string& fields) {
  if (name == http::field::connection) {
    this->nominated.append(value.data(), value.size()).append(",");
  }
  if (IsHopByHop(name)) {
    return;
  }
  fields.append(name_text.data(), name_text.size())
      .append(": ")
      .append(value.data(), value.size())
      .append("\r\n");
}

template <bool IsRequest>
void HttpParser<IsRequest>::DropNominated(std::string& fields) {
  std::size_t start = 0;
  while (start < this->nominated.size()) {
    const std::size_t end = this->nominated.find(',', start);
    std::string token = this->nominated.substr(start, end - start);
    start = end + 1;
    token.erase(0, token.find_first_not_of(" \t"));
    token.erase(token.find_last_not_of(" \t") + 1);
    if (token.empty() || iequals(token, "close") ||
        iequals(token, "keep-alive")) {
      continue;
    }
    std::size_t line = 0;
    while (line < fields.size()) {
      const std::size_t next = fields.find("\r\n", line) + 2;
      const std::size_t colon = fields.find(':', line);
      if (iequals(StringView(fields).substr(line, colon - line), token)) {
        fields.erase(line, next - line);
      } else {
        line = next;
      }
    }
  }
}

template class HttpParser<true>;
template class HttpParser<false>;

void RequestParser::on_request_impl(http::verb /*method*/,
                                    string_view method_text,
                                    string_view target,
                                    int /*version*/,
                                    error_code& /*error*/) {
  this->header_limit(kMaxHeader);
  this->head.method.assign(method_text.data(), method_text.size());
  this->head.target.assign(target.data(), target.size());
}

void RequestParser::on_response_impl(int /*code*/,
                                     string_view /*reason*/,
                                     int /*version*/,
                                     error_code& /*error*/) {}

void RequestParser::on_field_impl(http::field name,
                                  string_view name_text,
                                  string_view value,
                                  error_code& /*error*/) {
  if (name == http::field::host) {
    this->head.host.assign(value.data(), value.size());
  } else if (name == http::field::expect) {
    this->head.expects_continue = true;
  } else if (name == http::field::authorization) {
    this->head.credentials.assign(value.data(), value.size());
    ++this->head.credential_count;
    this->KeepField(name, name_text, value, this->head.identity_fields);
    return;
  } else if (name == http::field::unknown) {
    if (IsField(name_text, this->names.time_left)) {
      this->head.time_left_ms = ParseNumber<std::int64_t>(value);
      return;
    }
    // Only the relay sets these fields; values sent by callers are dropped.
    if (IsField(name_text, this->names.caller_service) ||
        IsField(name_text, this->names.target_instance)) {
      return;
    }
    if (IsField(name_text, this->names.account)) {
      this->KeepField(name, name_text, value, this->head.identity_fields);
      return;
    }
    if (IsField(name_text, this->names.request_id)) {
      this->head.id.assign(value.data(), value.size());
    }
  }
  this->KeepField(name, name_text, value, this->head.fields);
}

void RequestParser::on_header_impl(error_code& /*error*/) {
  this->head.is_keep_alive = this->keep_alive();
  this->DropNominated(this->head.fields);
  this->DropNominated(this->head.identity_fields);
}

void AnswerParser::on_request_impl(http::verb /*method*/,
                                   string_view /*method_text*/,
                                   string_view /*target*/,
                                   int /*version*/,
                                   error_code& /*error*/) {}

void AnswerParser::on_response_impl(int code,
                                    string_view reason,
                                    int /*version*/,
                                    error_code& error) {
  this->header_limit(kMaxHeader);
  this->head.status = static_cast<std::uint32_t>(code);
  if (ClassOfStatus(this->head.status) == StatusClass::kInvalid) {
    error = http::error::bad_status;
  }
  this->head.reason.assign(reason.data(), reason.size());
}

void AnswerParser::on_field_impl(http::field name,
                                 string_view name_text,
                                 string_view value,
                                 error_code& /*error*/) {
  if (this->is_header_done()) {
    // A trailer field does not change whose answer it is.
    this->KeepField(name, name_text, value, this->head.fields);
    return;
  }
  if (name == http::field::keep_alive) {
    this->head.keep_alive_s = KeepAliveTimeout(value);
  } else if (name == http::field::content_encoding) {
    this->head.is_encoded = !iequals(value, "identity");
  } else if (name == http::field::unknown) {
    if (IsField(name_text, this->names.request_id)) {
      this->head.id.assign(value.data(), value.size());
    } else if (IsField(name_text, this->names.seal)) {
      this->head.has_seal = true;
    } else if (IsField(name_text, this->names.not_run)) {
      this->head.is_not_run = true;
    } else if (IsField(name_text, this->names.instance_id)) {
      this->head.instance_id.assign(value.data(), value.size());
    } else if (IsField(name_text, this->names.rate_limit)) {
      this->head.rate_limit = ParseRate(value);
    } else if (IsField(name_text, this->names.leaving)) {
      this->head.is_leaving = value == "1";
    }
  }
  this->KeepField(name, name_text, value, this->head.fields);
}

void AnswerParser::on_header_impl(error_code& /*error*/) {
  this->head.is_keep_alive = this->keep_alive() && !this->need_eof();
  this->DropNominated(this->head.fields);
}

}  // namespace almondlink::relay
