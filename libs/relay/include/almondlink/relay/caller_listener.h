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

/// HTTP/1.1 of the callers: connections, one request at a time on each, and
/// the answers. Knows nothing of routes or targets.
namespace almondlink::relay {

class CallerSession;

/// One request whose answer is awaited. Not thread safe.
class CallerExchange {
 public:
  explicit CallerExchange(std::weak_ptr<CallerSession> session_in);

  /// Sends a whole answer. `fields` are lines with their ends. At most one of
  /// Answer and BeginLong is called, once.
  void SendAnswer(std::uint32_t status,
                  std::string_view status_text,
                  std::string_view fields,
                  std::string_view body);

  /// Starts an answer whose body follows in parts.
  void BeginStreamedAnswer(std::uint32_t status,
                           std::string_view status_text,
                           std::string_view fields,
                           std::string_view first_part);
  void SendPart(std::string_view body);
  /// Ends a long answer; a broken one is cut so that it cannot look complete.
  void EndStreamedAnswer(bool is_broken);

  /// The connection will be closed after the answer.
  void CloseAfterAnswer();

  /// Called when the caller left before its answer was complete.
  std::function<void()> on_disconnect;
  /// Bytes of a long answer that the caller's connection took.
  std::function<void(std::size_t bytes)> on_bytes_sent;

 private:
  std::weak_ptr<CallerSession> session;
};

using CallerExchangePointer = std::shared_ptr<CallerExchange>;

/// Takes each complete request.
using RequestHandler = std::function<
    void(RequestHead head, std::string body, CallerExchangePointer exchange)>;

/// Listens for callers. Not thread safe: belongs to one loop.
class CallerListener {
 public:
  /// `names` must outlive the port.
  CallerListener(boost::asio::io_context& loop,
                 const HeaderNames& names,
                 RequestHandler handler);
  ~CallerListener();
  CallerListener(const CallerListener&) = delete;
  CallerListener& operator=(const CallerListener&) = delete;

  /// Opens the address. Errors: kIo.
  Result<void> Listen(const boost::asio::ip::tcp::endpoint& address);

  void SetLimits(const policy::CallerLimits& limits);

  /// Closes connections that are idle or slow beyond the limits; call a few
  /// times a second.
  void Sweep(Millis now);

  /// From now on answers close their connection.
  void StartClosing();
  /// Takes no further connection and closes the idle ones.
  void CloseIdle();

  /// Connections open, and those of them with a request in work.
  std::size_t ConnectionCount() const;
  std::size_t BusyConnectionCount() const;

  struct State;

 private:
  std::shared_ptr<State> state;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_CALLER_LISTENER_H_
