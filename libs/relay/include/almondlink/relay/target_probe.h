#ifndef ALMONDLINK_RELAY_TARGET_PROBE_H_
#define ALMONDLINK_RELAY_TARGET_PROBE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>

/// Detects whether the process of the target beside this node has ended.
///
/// A closed connection proves nothing: answers get lost and connections are
/// reset. If the host refuses a new connection, no process listens at the
/// address.
namespace almondlink::relay {

enum class TargetProbeResult {
  /// The connection was accepted.
  kListening,
  /// The connection was refused.
  kNotListening,
  /// No answer in time, or another error.
  kUnknown,
};

/// Connects once and closes the connection. `done` is called once, from the
/// event loop, after about 100 ms at most.
void ProbeTarget(boost::asio::io_context& loop,
                 const boost::asio::ip::tcp::endpoint& address,
                 std::function<void(TargetProbeResult)> done);

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_TARGET_PROBE_H_
