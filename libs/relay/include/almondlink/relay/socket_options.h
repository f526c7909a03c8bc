#ifndef ALMONDLINK_RELAY_SOCKET_OPTIONS_H_
#define ALMONDLINK_RELAY_SOCKET_OPTIONS_H_

#include <boost/asio/ip/tcp.hpp>

#include "almondlink/base/clock.h"

namespace almondlink::relay {

/// Sends at once, never blocks, and lets the kernel give a connection up whose
/// bytes are not acknowledged within `silence`: open connections can lose their
/// other end without a reset. Errors are ignored: a closed socket fails at its
/// next use.
void ConfigureSocket(boost::asio::ip::tcp::socket& socket, Millis ack_timeout);

/// Whether a socket could not be had because descriptors or buffers are short:
/// the same call may succeed later, and fails at once until then.
bool IsResourceShortage(const boost::system::error_code& error);

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_SOCKET_OPTIONS_H_
