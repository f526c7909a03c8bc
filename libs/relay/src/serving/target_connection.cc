#include "target_connection.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <utility>

#include "almondlink/base/clock.h"
#include "almondlink/base/hash.h"
#include "almondlink/base/http_status.h"
#include "almondlink/relay/socket_options.h"
#include "shared_read.h"

namespace almondlink::relay {

namespace {

/// Answers up to this size are passed on only when complete, so that the
/// request of a truncated one can be repeated before its caller has received
/// any part.
constexpr std::size_t kMaxBufferedAnswer = 256 * 1024;
/// Bytes of interim answers and answers to other requests that are read before
/// the answer to a request. A target may send them without end.
constexpr std::size_t kMaxSkipped = 256 * 1024;
/// Bytes of a long answer that may be unconsumed; above this, reading pauses.
constexpr std::size_t kStreamWindow = 256 * 1024;
constexpr Millis kConnectTimeout{1000};
/// A connection on the same host that acknowledges nothing for this long is
/// broken, unless the target may have stopped reading a long request.
constexpr Millis kAckTimeout{1000};
/// Requests up to this size fit into the receive buffer of a target that reads
/// nothing, so all of their bytes are acknowledged.
constexpr std::size_t kMaxUnreadRequest = 16 * 1024;
/// Idle time of connections if the target states none in Keep-Alive, and the
/// margin subtracted from a stated one: the target must not close a connection
/// while a request is being sent on it.
constexpr Millis kDefaultIdleTime{3000};
constexpr std::int64_t kIdleMargin = 1500;
constexpr std::int64_t kMillisPerSecond = 1000;
/// Requests after which a connection is closed. It bounds the memory for the
/// ids that the connection has carried to 1 KiB.
constexpr std::size_t kMaxCarried = 256;
/// A connection that was opened for a request that must not run twice is kept
/// for others only while fewer than this number are idle.
constexpr std::size_t kMaxIdleForNew = 4;
constexpr std::uint32_t kFirstSuccess = 200;
constexpr std::uint32_t kFirstRedirect = 300;
constexpr std::uint32_t kMisdirected = 421;

/// A collision costs a new connection and nothing else.
std::uint32_t ShortHash(const std::string& id) {
  return static_cast<std::uint32_t>(StableHash(id));
}

}  // namespace

TargetConnection::TargetConnection(std::weak_ptr<TargetPool::State> pool_in,
                                   boost::asio::io_context& loop,
                                   const HeaderNames& names_in)
    : pool(std::move(pool_in)), socket(loop), names(names_in) {}

void TargetConnection::Open(Millis now,
                            const boost::asio::ip::tcp::endpoint& address,
                            TargetRequest request_in,
                            TargetEvents events_in) {
  this->opened = now;
  this->is_connecting = true;
  this->is_busy = true;
  this->request = std::move(request_in);
  this->events = std::move(events_in);
  this->socket.async_connect(address, [self = this->shared_from_this()](
                                          boost::system::error_code error) {
    if (!self->is_connecting) {
      return;
    }
    self->is_connecting = false;
    if (error) {
      self->Fail(CallReason::kConnectFailed);
      return;
    }
    if (self->events.may_send && !self->events.may_send()) {
      self->Fail(CallReason::kDraining);
      return;
    }
    self->ack_timeout = kAckTimeout;
    ConfigureSocket(self->socket, kAckTimeout);
    self->Use(std::move(self->request), std::move(self->events));
  });
}

void TargetConnection::Use(TargetRequest request_in, TargetEvents events_in) {
  this->request = std::move(request_in);
  this->events = std::move(events_in);
  this->carried.push_back(ShortHash(this->request.id));
  this->is_busy = true;
  this->written = 0;
  this->size = this->request.bytes.size() + this->request.body.size();
  this->unconsumed = 0;
  this->is_streaming = false;
  this->has_skipped_answer = false;
  this->skipped = 0;
  this->StartParser();
  this->SetAckTimeout();
  this->Write();
  this->Read();
}

/// The kernel counts the time for which the target's window is closed as time
/// without an acknowledgement. A target may answer before it has read a long
/// body and read on later, so such a request has as long as its caller waits.
/// The limit is not lowered again: the next request follows the unread bytes.
void TargetConnection::SetAckTimeout() {
  const bool is_long = this->size > kMaxUnreadRequest;
  if (!is_long || this->request.time_left <= this->ack_timeout) {
    return;
  }
  this->ack_timeout = this->request.time_left;
  ConfigureSocket(this->socket, this->ack_timeout);
}

void TargetConnection::Close() {
  this->is_busy = false;
  this->is_connecting = false;
  boost::system::error_code ignored;
  this->socket.close(ignored);
  this->events = {};
}

bool TargetConnection::HasCarried(const std::string& id) const {
  return std::find(this->carried.begin(), this->carried.end(), ShortHash(id)) !=
         this->carried.end();
}

void TargetConnection::CheckConnect(Millis now) {
  if (this->is_connecting && now - this->opened > kConnectTimeout) {
    this->Fail(CallReason::kConnectFailed);
  }
}

void TargetConnection::Write() {
  const std::string& head = this->request.bytes;
  const std::string& body = this->request.body;
  while (this->written < this->size && this->socket.is_open()) {
    boost::system::error_code error;
    const std::size_t of_head = std::min(this->written, head.size());
    const std::array<boost::asio::const_buffer, 2> rest = {
        boost::asio::buffer(head) + of_head,
        boost::asio::buffer(body) + (this->written - of_head)};
    this->written += this->socket.write_some(rest, error);
    if (error == boost::asio::error::would_block) {
      this->socket.async_wait(
          boost::asio::ip::tcp::socket::wait_write,
          [self = this->shared_from_this()](boost::system::error_code failed) {
            if (!failed && self->is_busy) {
              self->Write();
            }
          });
      return;
    }
    if (error) {
      // The answer may still be readable; the read detects the end.
      this->has_write_failed = true;
      return;
    }
  }
  std::string().swap(this->request.body);
}

void TargetConnection::Read() {
  const bool is_paused =
      this->is_streaming && this->unconsumed >= kStreamWindow;
  if (this->is_reading || is_paused || !this->socket.is_open()) {
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

void TargetConnection::OnRead(const boost::system::error_code& error,
                              std::string_view bytes) {
  if (!this->socket.is_open()) {
    return;
  }
  if (!this->is_busy) {
    // Closed while idle, or received bytes that belong to no request.
    this->Close();
    return;
  }
  if (error) {
    const bool is_proper_end =
        error == boost::asio::error::eof && !this->has_write_failed &&
        this->parser->FinishAtEof() && this->IsOfThisRequest();
    if (is_proper_end) {
      this->Deliver(true);
      return;
    }
    this->Fail(CallReason::kClosed);
    return;
  }
  this->input.append(bytes);
  this->Parse();
}

void TargetConnection::StartParser() {
  this->parser.emplace(this->names);
  this->parser->skip(this->request.is_head_method);
}

void TargetConnection::Parse() {
  while (this->is_busy) {
    const std::size_t before = this->input.size();
    const ParseStatus step = this->parser->Feed(this->input);
    if (step == ParseStatus::kMalformed) {
      this->Fail(CallReason::kBadAnswer);
      return;
    }
    const bool is_complete = step == ParseStatus::kDone;
    const AnswerRelation relation = this->Relation();
    const bool is_skipped = relation == AnswerRelation::kInterim ||
                            relation == AnswerRelation::kOther;
    const bool is_valid =
        relation != AnswerRelation::kInvalid &&
        (!is_skipped || this->Skip(relation, before - this->input.size()));
    if (!is_valid) {
      this->Fail(CallReason::kBadAnswer);
      return;
    }
    if (is_skipped && is_complete) {
      this->has_skipped_answer =
          this->has_skipped_answer || relation == AnswerRelation::kOther;
      this->StartParser();
      if (!this->input.empty()) {
        continue;
      }
    } else if (is_complete) {
      this->Deliver(true);
      return;
    } else if (relation == AnswerRelation::kOwn) {
      const bool is_long = this->parser->body.size() > kMaxBufferedAnswer;
      if (is_long && this->IsRefusal()) {
        // The body of a refusal is never passed on.
        this->Fail(CallReason::kBadAnswer);
        return;
      }
      if (this->is_streaming || is_long) {
        this->Deliver(false);
      }
    }
    this->Read();
    return;
  }
}

bool TargetConnection::Skip(AnswerRelation relation, std::size_t bytes) {
  std::string().swap(this->parser->body);
  this->skipped += bytes;
  const bool is_second =
      relation == AnswerRelation::kOther && this->has_skipped_answer;
  return !is_second && !this->parser->need_eof() &&
         this->skipped <= kMaxSkipped;
}

AnswerRelation TargetConnection::Relation() const {
  if (!this->parser->is_header_done()) {
    return AnswerRelation::kUnknown;
  }
  const AnswerHead& head = this->parser->head;
  if (ClassOfStatus(head.status) == StatusClass::kInterim) {
    return AnswerRelation::kInterim;
  }
  if (this->is_streaming || this->IsOfThisRequest()) {
    return AnswerRelation::kOwn;
  }
  const bool has_other_id = !head.id.empty() && head.id != this->request.id;
  return has_other_id ? AnswerRelation::kOther : AnswerRelation::kInvalid;
}

bool TargetConnection::IsRefusal() const {
  const AnswerHead& head = this->parser->head;
  return head.is_not_run || head.status == kMisdirected;
}

bool TargetConnection::IsOfThisRequest() const {
  const AnswerHead& head = this->parser->head;
  const bool is_success =
      head.status >= kFirstSuccess && head.status < kFirstRedirect;
  if (is_success) {
    return head.id == this->request.id && head.has_seal && !head.is_encoded;
  }
  if (this->IsRefusal()) {
    return head.id.empty() || head.id == this->request.id;
  }
  return head.has_seal && head.id == this->request.id;
}

void TargetConnection::Deliver(bool is_complete) {
  const std::shared_ptr<TargetConnection> self = this->shared_from_this();
  std::string body = std::move(this->parser->body);
  this->parser->body.clear();
  if (this->is_streaming) {
    this->unconsumed += body.size();
    const auto on_part = this->events.on_part;
    if (is_complete) {
      this->Complete();
    }
    if (!body.empty() || is_complete) {
      on_part(std::move(body), is_complete, false);
    }
    return;
  }
  const AnswerHead head = this->parser->head;
  const auto on_answer = this->events.on_answer;
  if (is_complete) {
    this->Complete();
  } else {
    this->is_streaming = true;
    this->unconsumed += body.size();
  }
  on_answer(head, std::move(body), !is_complete);
}

void TargetConnection::Complete() {
  // A refusal may lack the request id. A second one on this connection could be
  // taken for the answer to the next request, which would then be reported as
  // not run although it ran.
  const bool has_id =
      !this->request.id.empty() && this->parser->head.id == this->request.id;
  const bool is_usable = has_id && this->parser->head.is_keep_alive &&
                         !this->has_skipped_answer && this->input.empty() &&
                         this->carried.size() < kMaxCarried &&
                         this->written == this->size && this->socket.is_open();
  if (!is_usable) {
    this->Close();
    return;
  }
  this->BecomeIdle();
}

void TargetConnection::BecomeIdle() {
  const std::shared_ptr<TargetPool::State> shared = this->pool.lock();
  const bool is_wanted =
      shared != nullptr &&
      (this->request.is_repeatable || shared->idle.size() < kMaxIdleForNew);
  if (!is_wanted) {
    this->Close();
    return;
  }
  const std::int64_t stated =
      this->parser->head.keep_alive_s * kMillisPerSecond - kIdleMargin;
  this->is_busy = false;
  this->events = {};
  // The connection may be idle for seconds: release the memory of the last
  // exchange.
  std::string().swap(this->input);
  this->request = {};
  this->idle_until =
      BootTimeNow() + (stated > 0 ? Millis{stated} : kDefaultIdleTime);
  shared->idle.push_back(this->shared_from_this());
  this->Read();
}

void TargetConnection::Fail(CallReason reason) {
  const std::shared_ptr<TargetConnection> self = this->shared_from_this();
  const bool was_sent = this->written > 0;
  const bool was_streaming = this->is_streaming;
  const TargetEvents last = std::move(this->events);
  this->Close();
  if (was_streaming) {
    last.on_part(std::string(), true, true);
  } else if (last.on_failed) {
    last.on_failed(reason, was_sent);
  }
}

void TargetConnection::OnConsumed(std::size_t bytes) {
  this->unconsumed -= std::min(bytes, this->unconsumed);
  if (this->is_busy && this->is_streaming) {
    this->Read();
  }
}

}  // namespace almondlink::relay
