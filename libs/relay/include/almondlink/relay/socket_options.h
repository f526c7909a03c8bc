#ifndef ALMONDLINK_RELAY_SOCKET_OPTIONS_H_
#define ALMONDLINK_RELAY_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

#include "almondlink/base/clock.h"

namespace almondlink::relay {

/// Sets the socket to non-blocking, disables Nagle's algorithm and sets
/// TCP_USER_TIMEOUT, so that the kernel closes a connection whose data is not
/// acknowledged within `ack_timeout`: a peer can vanish without a reset. Errors
/// are ignored, because a closed socket fails at its next use.
void ConfigureSocket(boost::asio::ip::tcp::socket& socket, Millis ack_timeout);

/// Whether the error is a lack of descriptors, buffers or memory. The call may
/// succeed later, and fails immediately until then.
bool IsResourceShortage(const boost::system::error_code& error);

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_SOCKET_OPTIONS_H_
