#ifndef ALMONDLINK_RELAY_TARGET_PROBE_H_
#define ALMONDLINK_RELAY_TARGET_PROBE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>

/// Whether the process of the target beside this node is gone.
///
/// A connection that closes proves nothing: answers are lost, connections are
/// reset. A host that answers a connect with a refusal has nobody listening
/// there.
namespace almondlink::relay {

enum class TargetProbeResult {
  /// Somebody listens.
  kListening,
  /// Nobody does.
  kNotListening,
  /// No word in time.
  kUnknown,
};

/// Connects once and closes. `done` is called once, from the loop, within a
/// tenth of a second.
void ProbeTarget(boost::asio::io_context& loop,
                 const boost::asio::ip::tcp::endpoint& address,
                 std::function<void(TargetProbeResult)> done);

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_TARGET_PROBE_H_
