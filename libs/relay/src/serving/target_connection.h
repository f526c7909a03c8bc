#ifndef ALMONDLINK_RELAY_SRC_SERVING_TARGET_CONNECTION_H_
#define ALMONDLINK_RELAY_SRC_SERVING_TARGET_CONNECTION_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "almondlink/relay/target_pool.h"

namespace almondlink::relay {

/// What an answer is to the request that waits for one.
enum class AnswerRelation {
  /// Its head has not been read to the end.
  kUnknown,
  /// It is the answer that the request waits for.
  kOwn,
  /// It is an interim answer; the final one follows.
  kInterim,
  /// It has the id of another request and may be a late copy of an answer.
  kOther,
  /// It has neither that id nor the marks of a valid answer.
  kInvalid,
};

/// A connection to the target and the exchange that is in progress on it.
class TargetConnection : public std::enable_shared_from_this<TargetConnection> {
 public:
  TargetConnection(std::weak_ptr<TargetPool::State> pool,
                   boost::asio::io_context& loop,
                   const HeaderNames& names);

  /// Connects, then sends the request.
  void Open(Millis now,
            const boost::asio::ip::tcp::endpoint& address,
            TargetRequest request,
            TargetEvents events);
  /// Sends the request on this idle connection.
  void Use(TargetRequest request, TargetEvents events);
  /// Closes the connection; no event follows.
  void Close();
  void OnConsumed(std::size_t bytes);
  /// Fails the exchange if connecting takes too long.
  void CheckConnect(Millis now);
  /// Whether a request with that id may have been sent on this connection. An
  /// answer names its request and not the send, so the answers to two sends of
  /// one request on one connection could not be told apart.
  bool HasCarried(const std::string& id) const;

  /// Number of requests that it carried before the current or last one.
  std::size_t CarriedBefore() const {
    return this->carried.empty() ? 0 : this->carried.size() - 1;
  }

  bool IsOpen() const { return this->socket.is_open(); }
  bool IsBusy() const { return this->is_busy; }
  Millis IdleUntil() const { return this->idle_until; }

 private:
  /// Gives a long request as long for acknowledgements as its caller waits.
  void SetAckTimeout();
  void Write();
  void Read();
  void OnRead(const boost::system::error_code& error, std::string_view bytes);
  void StartParser();
  void Parse();
  /// Whether the parsed answer head belongs to the current request.
  bool IsOfThisRequest() const;
  /// What the parsed head is to the current request.
  AnswerRelation Relation() const;
  /// Whether the parsed head states that the request has not run.
  bool IsRefusal() const;
  /// Drops `bytes` that were read of an answer which is not due. False if the
  /// answer to this request cannot follow, or too much came before it.
  bool Skip(AnswerRelation relation, std::size_t bytes);
  void Deliver(bool is_complete);
  void Complete();
  void Fail(CallReason reason);
  void BecomeIdle();

  std::weak_ptr<TargetPool::State> pool;
  boost::asio::ip::tcp::socket socket;
  const HeaderNames& names;
  std::string input;
  std::optional<AnswerParser> parser;
  TargetRequest request;
  TargetEvents events;
  std::size_t written = 0;
  /// Bytes of the request's head and body.
  std::size_t size = 0;
  /// Bytes of a long answer that were passed on and not consumed yet.
  std::size_t unconsumed = 0;
  bool is_busy = false;
  bool is_connecting = false;
  bool is_reading = false;
  bool is_streaming = false;
  bool has_skipped_answer = false;
  /// Bytes of answers that were not due, in the current exchange.
  std::size_t skipped = 0;
  /// A write has failed. It may have taken the socket's error, which the kernel
  /// reports once; the reads that follow see a regular end of the stream.
  bool has_write_failed = false;
  /// How long the target may acknowledge nothing, as set on the socket.
  Millis ack_timeout;
  /// Hashes of the ids of all requests that were sent on this connection.
  std::vector<std::uint32_t> carried;
  Millis opened;
  Millis idle_until;
};

/// State shared by the pool and its connections.
struct TargetPool::State {
  State(boost::asio::io_context& loop_in, const HeaderNames& names_in)
      : loop(loop_in), names(names_in) {}
  boost::asio::io_context& loop;
  const HeaderNames& names;
  boost::asio::ip::tcp::endpoint address;
  /// Idle connections, most recently used last.
  std::vector<std::shared_ptr<TargetConnection>> idle;
  std::vector<std::weak_ptr<TargetConnection>> connecting;
  std::uint64_t connects = 0;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_SRC_SERVING_TARGET_CONNECTION_H_
