#ifndef ALMONDLINK_RELAY_SRC_ADDRESS_H_
#define ALMONDLINK_RELAY_SRC_ADDRESS_H_

#include <boost/asio/ip/tcp.hpp>
#include <string>

namespace almondlink::relay {

/// Parses `ip:port`. Returns an endpoint with port 0 if the text is invalid.
boost::asio::ip::tcp::endpoint ParseAddress(const std::string& text);

/// Formats an endpoint as `ip:port`.
std::string FormatAddress(const boost::asio::ip::tcp::endpoint& address);

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_SRC_ADDRESS_H_
