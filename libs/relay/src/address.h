#ifndef ALMONDLINK_RELAY_SRC_ADDRESS_H_
#define ALMONDLINK_RELAY_SRC_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace almondlink::relay {

/// Reads `ip:port`; an endpoint without a port if it is none.
boost::asio::ip::tcp::endpoint ParseAddress(const std::string& text);

/// `ip:port`.
std::string FormatAddress(const boost::asio::ip::tcp::endpoint& address);

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_SRC_ADDRESS_H_
