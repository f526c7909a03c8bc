#include "address.h"

#include <charconv>

namespace almondlink::relay {

boost::asio::ip::tcp::endpoint ParseAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) {
    return {};
  }
  boost::system::error_code error;
  const boost::asio::ip::address ip =
      boost::asio::ip::make_address(text.substr(0, colon), error);
  std::uint16_t port = 0;
  std::from_chars(text.data() + colon + 1, text.data() + text.size(), port);
  return error ? boost::asio::ip::tcp::endpoint()
               : boost::asio::ip::tcp::endpoint(ip, port);
}

std::string FormatAddress(const boost::asio::ip::tcp::endpoint& address) {
  return address.address().to_string() + ":" + std::to_string(address.port());
}

}  // namespace almondlink::relay
