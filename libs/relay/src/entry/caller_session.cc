#include "caller_session.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <cstdio>
#include <utility>

#include "almondlink/relay/socket_options.h"
#include "shared_read.h"

namespace almondlink::relay {

namespace {

/// A connection is dropped if the caller acknowledges no data for this long.
constexpr Millis kAckTimeout{10'000};
/// Bytes that a caller may send ahead while its request is in progress.
constexpr std::size_t kMaxReadAhead = 64 * 1024;
/// How long a connection stays open after the refusal of a request that the
/// caller is still sending. An immediate close would reset the connection, and
/// a caller that reads the answer only after it has sent all would lose it.
constexpr Millis kLingerTime{2000};
/// The effective idle timeout is 1.3 times the configured one, so that a caller
/// that honors the configured value never sends on a connection that is being
/// closed.
constexpr std::int64_t kIdleFactorTenths = 13;
constexpr std::uint32_t kNoContent = 204;
constexpr std::uint32_t kNotModified = 304;
constexpr std::uint32_t kTooLarge = 413;
constexpr std::uint32_t kFieldsTooLarge = 431;
constexpr std::uint32_t kBadRequest = 400;

bool HasNoBody(std::uint32_t status) {
  return status == kNoContent || status == kNotModified;
}

}  // namespace

CallerSession::CallerSession(std::shared_ptr<CallerListener::State> port_in,
                             boost::asio::ip::tcp::socket socket_in)
    : listener(std::move(port_in)),
      socket(std::move(socket_in)),
      last_active(BootTimeNow()) {}

void CallerSession::Start() {
  ConfigureSocket(this->socket, kAckTimeout);
  this->Read();
}

void CallerSession::Close() {
  boost::system::error_code ignored;
  this->socket.close(ignored);
  this->listener->sessions.erase(this->shared_from_this());
}

void CallerSession::CloseIfIdle() {
  if (this->IsIdle()) {
    this->Close();
  }
}

void CallerSession::Sweep(Millis now) {
  if (this->IsBusy()) {
    return;
  }
  const Millis idle = now - this->last_active;
  if (this->is_lingering) {
    if (idle > kLingerTime) {
      this->Close();
    }
    return;
  }
  const Millis allowed{this->listener->limits.idle_timeout.count *
                       kIdleFactorTenths / 10};
  if (idle > allowed || (this->has_partial_request &&
                         idle > this->listener->limits.header_timeout * 2)) {
    this->Close();
  }
}

void CallerSession::Read() {
  if (this->is_reading || !this->socket.is_open() ||
      (this->IsBusy() && this->input.size() > kMaxReadAhead)) {
    return;
  }
  this->is_reading = true;
  ReadShared(this->socket, [self = this->shared_from_this()](
                               const boost::system::error_code& error,
                               std::string_view bytes) {
    self->is_reading = false;
    self->OnRead(error, bytes);
  });
}

void CallerSession::OnRead(const boost::system::error_code& error,
                           std::string_view bytes) {
  if (!this->socket.is_open()) {
    return;
  }
  if (error) {
    this->OnDisconnect();
    return;
  }
  if (this->has_unread_request) {
    this->Read();
    return;
  }
  this->input.append(bytes);
  if (!this->IsBusy() && this->output.empty()) {
    this->last_active = BootTimeNow();
    this->Parse();
  }
  this->Read();
}

/// Whether the body is beyond the limit, by its stated length or by what has
/// arrived.
bool CallerSession::IsBodyTooLarge() const {
  const std::uint64_t limit = this->listener->limits.max_body;
  const boost::optional<std::uint64_t> stated =
      this->parser->is_header_done() ? this->parser->content_length()
                                     : boost::none;
  return this->parser->body.size() > limit ||
         (stated.has_value() && *stated > limit);
}

void CallerSession::Parse() {
  if (this->input.empty()) {
    return;
  }
  if (!this->parser.has_value()) {
    this->parser.emplace(this->listener->names);
    this->has_sent_continue = false;
  }
  this->has_partial_request = true;
  const ParseStatus step = this->parser->Feed(this->input);
  if (step == ParseStatus::kMalformed) {
    this->Refuse(kBadRequest, "Bad Request");
    return;
  }
  const bool is_head_done = this->parser->is_header_done();
  if (!is_head_done && this->input.size() > this->listener->limits.max_header) {
    this->Refuse(kFieldsTooLarge, "Request Header Fields Too Large");
    return;
  }
  if (this->IsBodyTooLarge()) {
    this->Refuse(kTooLarge, "Content Too Large");
    return;
  }
  if (step == ParseStatus::kNeedMore) {
    if (this->listener->is_stopped) {
      this->EndUpload();
      return;
    }
    if (is_head_done && this->parser->head.expects_continue &&
        !this->has_sent_continue) {
      this->has_sent_continue = true;
      this->output += "HTTP/1.1 100 Continue\r\n\r\n";
      this->Write();
    }
    return;
  }
  RequestHead head = std::move(this->parser->head);
  std::string body = std::move(this->parser->body);
  this->parser.reset();
  this->has_partial_request = false;
  this->is_head_request = head.method == "HEAD";
  this->is_last_answer = this->is_last_answer || !head.is_keep_alive;
  this->exchange = std::make_shared<CallerExchange>(this->weak_from_this());
  this->listener->handler(std::move(head), std::move(body), this->exchange);
}

void CallerSession::Refuse(std::uint32_t status, std::string_view text) {
  this->DropUnread();
  this->WriteAnswer(status, text, "", "");
}

/// Begins the exchange of a request that is answered before it has been read.
void CallerSession::DropUnread() {
  this->is_last_answer = true;
  this->has_unread_request = true;
  this->parser.reset();
  std::string().swap(this->input);
  this->exchange = std::make_shared<CallerExchange>(this->weak_from_this());
}

void CallerSession::EndUpload() {
  if (this->IsBusy() || !this->parser.has_value() ||
      !this->parser->is_header_done()) {
    return;
  }
  RequestHead head = std::move(this->parser->head);
  this->is_head_request = head.method == "HEAD";
  this->DropUnread();
  this->listener->handler(std::move(head), "", this->exchange);
}

void CallerSession::WriteHead(std::uint32_t status,
                              std::string_view status_text,
                              std::string_view fields) {
  this->is_last_answer = this->is_last_answer || this->listener->is_closing;
  this->output += "HTTP/1.1 ";
  this->output += std::to_string(status);
  this->output += ' ';
  this->output += status_text;
  this->output += "\r\n";
  this->output += fields;
  if (this->is_last_answer) {
    this->output += "Connection: close\r\n";
  }
}

void CallerSession::WriteAnswer(std::uint32_t status,
                                std::string_view status_text,
                                std::string_view fields,
                                std::string_view body) {
  this->WriteHead(status, status_text, fields);
  if (HasNoBody(status)) {
    this->output += "\r\n";
  } else {
    this->output += "Content-Length: ";
    this->output += std::to_string(body.size());
    this->output += "\r\n\r\n";
    if (!this->is_head_request) {
      this->output += body;
    }
  }
  this->is_answer_complete = true;
  this->Write();
}

void CallerSession::BeginStreamedAnswer(std::uint32_t status,
                                        std::string_view status_text,
                                        std::string_view fields,
                                        std::string_view first_part) {
  this->is_streaming = true;
  this->WriteHead(status, status_text, fields);
  this->output += "Transfer-Encoding: chunked\r\n\r\n";
  this->SendPart(first_part);
}

void CallerSession::SendPart(std::string_view body) {
  if (body.empty()) {
    return;
  }
  std::array<char, 20> size{};
  const int length =
      std::snprintf(size.data(), size.size(), "%zx\r\n", body.size());
  this->output.append(size.data(), static_cast<std::size_t>(length));
  this->output += body;
  this->output += "\r\n";
  this->pending_stream_bytes += body.size();
  this->Write();
}

void CallerSession::EndStreamedAnswer(bool is_broken) {
  if (is_broken) {
    this->exchange.reset();
    this->Close();
    return;
  }
  this->output += "0\r\n\r\n";
  this->is_answer_complete = true;
  this->Write();
}

void CallerSession::Write() {
  if (this->is_write_waiting) {
    return;
  }
  while (this->socket.is_open() && this->written < this->output.size()) {
    boost::system::error_code error;
    this->written += this->socket.write_some(
        boost::asio::buffer(this->output.data() + this->written,
                            this->output.size() - this->written),
        error);
    if (error == boost::asio::error::would_block) {
      this->is_write_waiting = true;
      this->socket.async_wait(
          boost::asio::ip::tcp::socket::wait_write,
          [self = this->shared_from_this()](boost::system::error_code failed) {
            self->is_write_waiting = false;
            if (!failed) {
              self->Write();
            }
          });
      return;
    }
    if (error) {
      this->OnDisconnect();
      return;
    }
  }
  this->OnWritten();
}

void CallerSession::OnWritten() {
  std::string().swap(this->output);
  this->written = 0;
  if (this->is_streaming && this->pending_stream_bytes > 0 &&
      this->exchange != nullptr && this->exchange->on_bytes_sent) {
    const std::size_t taken = this->pending_stream_bytes;
    this->pending_stream_bytes = 0;
    this->exchange->on_bytes_sent(taken);
  }
  if (this->is_answer_complete) {
    this->FinishExchange();
  }
}

void CallerSession::FinishExchange() {
  this->is_answer_complete = false;
  this->is_streaming = false;
  this->pending_stream_bytes = 0;
  this->exchange.reset();
  this->last_active = BootTimeNow();
  if (this->is_last_answer) {
    // Closing a socket with unread bytes would send a reset, and the caller
    // could lose the answer.
    boost::system::error_code ignored;
    this->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    this->is_lingering = this->has_unread_request;
    if (this->input.empty() && !this->is_lingering) {
      this->Close();
    }
    return;
  }
  if (this->input.empty()) {
    // The connection may stay idle for long; release the buffer.
    std::string().swap(this->input);
  } else {
    boost::asio::post(this->listener->loop,
                      [self = this->shared_from_this()]() {
                        if (self->socket.is_open() && !self->IsBusy()) {
                          self->Parse();
                          self->Read();
                        }
                      });
  }
}

void CallerSession::OnDisconnect() {
  const CallerExchangePointer aborted = std::move(this->exchange);
  this->exchange.reset();
  this->Close();
  if (aborted != nullptr && aborted->on_disconnect) {
    const std::function<void()> on_disconnect =
        std::move(aborted->on_disconnect);
    on_disconnect();
  }
}

}  // namespace almondlink::relay
