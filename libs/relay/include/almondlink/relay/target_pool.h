#ifndef ALMONDLINK_RELAY_TARGET_POOL_H_
#define ALMONDLINK_RELAY_TARGET_POOL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "almondlink/base/clock.h"
#include "almondlink/relay/header_names.h"
#include "almondlink/relay/http_parser.h"
#include "almondlink/relay/peer_frames.h"
#include "almondlink/relay/target_health.h"

/// Connection pool for the target beside this node.
///
/// A connection carries one exchange at a time. It is reused only if the answer
/// was complete, carried the id of the request and was followed by no further
/// bytes, because such bytes belong to no request. A target may repeat an
/// answer late, when the next one is due; its id tells which request it belongs
/// to, but not which send of that request. So a connection never carries two
/// requests with the same id. A refusal may lack the id, and bytes of an
/// earlier exchange may look like one: a request that must not run twice has a
/// connection that has carried no other, where each answer is its own. Interim
/// answers and late ones are dropped up to a bound. Long answers are passed on
/// in parts as they arrive; reading pauses while too much of them has not been
/// consumed.
namespace almondlink::relay {

/// One request to the target.
struct TargetRequest {
  std::string id;
  /// Serialized head.
  std::string bytes;
  /// Released as soon as it is written.
  std::string body;
  bool is_head_method = false;
  /// Whether the request may be sent again. If not, it is the first one on its
  /// connection.
  bool is_repeatable = true;
  /// How long its caller still waits. A target may leave the body of a long
  /// request unread for as long.
  Millis time_left;
};

/// Events of an exchange. It ends with an answer without `has_more`, the last
/// part or a failure; no event follows.
struct TargetEvents {
  /// The answer's head with its body, or with the first part of it.
  std::function<void(const AnswerHead&, std::string body, bool has_more)>
      on_answer;
  /// A further part of the body. `is_broken`: the answer ended prematurely.
  std::function<void(std::string part, bool is_last, bool is_broken)> on_part;
  /// No valid answer. `was_sent`: at least one byte of the request was written.
  std::function<void(CallReason reason, bool was_sent)> on_failed;
  /// Asked when a new connection is open, before anything is written: the
  /// target may have drained while the request waited for it. If false, the
  /// exchange fails with kDraining. Null: the request is sent.
  std::function<bool()> may_send;
};

class TargetConnection;

/// Handle of an exchange.
using TargetExchange = std::shared_ptr<TargetConnection>;

/// Not thread safe: belongs to one loop.
class TargetPool {
 public:
  /// `names` must outlive the pool.
  TargetPool(boost::asio::io_context& loop, const HeaderNames& names);
  ~TargetPool();
  TargetPool(const TargetPool&) = delete;
  TargetPool& operator=(const TargetPool&) = delete;

  /// Sends later requests to `address` and closes idle connections if it
  /// changed.
  void SetAddress(const boost::asio::ip::tcp::endpoint& address);

  /// Sends a repeatable request on an idle connection that has not carried its
  /// id, or on a new one, and any other request on a new one. Events come from
  /// the event loop, never from within this call.
  TargetExchange Send(Millis now, TargetRequest request, TargetEvents events);

  /// Cancels an exchange by closing its connection; no event follows.
  static void Cancel(const TargetExchange& exchange);

  /// Reports that the receiver consumed `bytes` of the answer, which lets
  /// reading continue.
  static void OnConsumed(const TargetExchange& exchange, std::size_t bytes);

  /// Number of requests that the connection of the exchange carried before it.
  static std::size_t CarriedBefore(const TargetExchange& exchange);

  /// Closes idle connections before the target closes them, and ends connection
  /// attempts that time out; call a few times a second.
  void Sweep(Millis now);

  /// Closes all idle connections.
  void CloseIdle();

  /// Probes the target and calls `done` once, after about 100 ms at most, with
  /// true if the connection was refused. Not called after the pool is
  /// destroyed.
  void CheckProcessGone(std::function<void(bool is_gone)> done) const;

  /// Asks the target for its health on a connection of its own, see
  /// almondlink/relay/target_health.h. Not called after the pool is destroyed.
  void CheckHealth(const std::string& path,
                   std::function<void(const HealthAnswer&)> done) const;

  /// Whether any idle connection is open.
  bool HasOpenIdle() const;

  /// Number of connection attempts so far, for metrics.
  std::uint64_t ConnectCount() const;

  struct State;

 private:
  TargetExchange TakeIdle(Millis now, const TargetRequest& request);

  std::shared_ptr<State> state;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_TARGET_POOL_H_
