#ifndef ALMONDLINK_RELAY_CALLER_LISTENER_H_
#define ALMONDLINK_RELAY_CALLER_LISTENER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "almondlink/base/clock.h"
#include "almondlink/base/error.h"
#include "almondlink/policy/route_table.h"
#include "almondlink/relay/http_parser.h"

/// HTTP/1.1 server for callers: accepts connections, handles one request at a
/// time on each and writes the answers. Does not know about routes or targets.
namespace almondlink::relay {

class CallerSession;

/// A request that has not been answered completely. If the connection is
/// already closed, all calls are ignored. Not thread safe.
class CallerExchange {
 public:
  explicit CallerExchange(std::weak_ptr<CallerSession> session_in);

  /// Sends a complete answer. `fields` holds header lines, each with its line
  /// end. Call at most one of SendAnswer and BeginStreamedAnswer, and only
  /// once.
  void SendAnswer(std::uint32_t status,
                  std::string_view status_text,
                  std::string_view fields,
                  std::string_view body);

  /// Starts a chunked answer whose body follows in parts.
  void BeginStreamedAnswer(std::uint32_t status,
                           std::string_view status_text,
                           std::string_view fields,
                           std::string_view first_part);
  void SendPart(std::string_view body);
  /// Ends a streamed answer. If `is_broken`, closes the connection without the
  /// final chunk so that the answer cannot appear complete.
  void EndStreamedAnswer(bool is_broken);

  /// Closes the connection after the answer.
  void CloseAfterAnswer();

  /// Called if the caller disconnects before its answer is complete.
  std::function<void()> on_disconnect;
  /// Called with the number of body bytes of a streamed answer that have been
  /// written to the caller's socket since the last call.
  std::function<void(std::size_t bytes)> on_bytes_sent;

 private:
  std::weak_ptr<CallerSession> session;
};

using CallerExchangePointer = std::shared_ptr<CallerExchange>;

/// Receives each complete request.
using RequestHandler = std::function<
    void(RequestHead head, std::string body, CallerExchangePointer exchange)>;

/// Accepts callers' connections. Not thread safe: belongs to one event loop.
class CallerListener {
 public:
  /// `loop` and `names` must outlive the listener.
  CallerListener(boost::asio::io_context& loop,
                 const HeaderNames& names,
                 RequestHandler handler);
  ~CallerListener();
  CallerListener(const CallerListener&) = delete;
  CallerListener& operator=(const CallerListener&) = delete;

  /// Listens on the address and starts to accept. Errors: kIo.
  Result<void> Listen(const boost::asio::ip::tcp::endpoint& address);

  void SetLimits(const policy::CallerLimits& limits);

  /// Closes connections that exceed the idle or header timeout. Call a few
  /// times a second.
  void Sweep(Millis now);

  /// Closes each connection after its next answer from now on.
  void StartClosing();
  /// Stops accepting, closes the idle connections and passes requests that are
  /// still arriving to the handler, which must refuse them from now on. May be
  /// called again.
  void Stop();

  /// Number of open connections, and of those with a request in progress or
  /// whose caller still sends one that was refused.
  std::size_t ConnectionCount() const;
  std::size_t BusyConnectionCount() const;

  struct State;

 private:
  std::shared_ptr<State> state;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_CALLER_LISTENER_H_
