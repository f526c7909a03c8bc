#ifndef ALMONDLINK_RELAY_TARGET_POOL_H_
#define ALMONDLINK_RELAY_TARGET_POOL_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "almondlink/base/clock.h"
#include "almondlink/relay/header_names.h"
#include "almondlink/relay/http_parser.h"
#include "almondlink/relay/peer_frames.h"

/// Connections to the target beside this node.
///
/// One exchange at a time uses a connection. A connection is used again only
/// if the answer on it was whole, carried the id of the request and was
/// followed by nothing: anything else belongs to no request. Long answers are
/// handed on in parts while they arrive; reading stops while too much of them
/// is not taken yet.
namespace almondlink::relay {

/// One request to the target.
struct TargetRequest {
  std::string id;
  /// Head and body, ready to be written.
  std::string bytes;
  bool is_head_method = false;
  /// Prefer a connection that certainly is alive: the request may run once.
  bool is_repeatable = true;
};

/// How an exchange goes on. Each of the three may end it; after an end none is
/// called any more.
struct TargetEvents {
  /// The answer's head, and its body or the first part of it.
  std::function<void(const AnswerHead&, std::string body, bool has_more)>
      on_answer;
  std::function<void(std::string part, bool is_last, bool is_broken)> on_part;
  /// No proper answer. `was_sent`: bytes of the request were written.
  std::function<void(CallReason reason, bool was_sent)> on_failed;
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

  /// Later requests go to `address`; idle connections elsewhere are closed.
  void SetAddress(const boost::asio::ip::tcp::endpoint& address);

  /// Sends on an idle or a new connection. Events come from the loop, never
  /// from within this call.
  TargetExchange Send(Millis now, TargetRequest request, TargetEvents events);

  /// Ends an exchange by closing its connection; no event follows.
  static void Cancel(const TargetExchange& exchange);

  /// `bytes` of the answer were taken by the one they are for.
  static void OnConsumed(const TargetExchange& exchange, std::size_t bytes);

  /// Closes idle connections before the target does, and connects that take
  /// too long; call a few times a second.
  void Sweep(Millis now);

  /// Closes all idle connections.
  void CloseIdle();

  /// Tells once, within a tenth of a second, whether the target's process is
  /// gone for sure.
  void CheckProcessGone(std::function<void(bool is_gone)> done) const;

  /// Whether any idle connection is open.
  bool HasOpenIdle() const;

  /// New connections made so far, for metrics.
  std::uint64_t ConnectCount() const;

  struct State;

 private:
  std::shared_ptr<State> state;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_TARGET_POOL_H_
