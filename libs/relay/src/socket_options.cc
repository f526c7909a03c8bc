#include "almondlink/relay/socket_options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace almondlink::relay {

void ConfigureSocket(boost::asio::ip::tcp::socket& socket, Millis ack_timeout) {
  boost::system::error_code error;
  socket.non_blocking(true, error);
  const int on = 1;
  const auto timeout = static_cast<unsigned int>(ack_timeout.count);
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
             sizeof(timeout));
}

bool IsResourceShortage(const boost::system::error_code& error) {
  return error == boost::asio::error::no_descriptors ||
         error == boost::asio::error::no_buffer_space ||
         error == boost::asio::error::no_memory ||
         error == boost::system::errc::too_many_files_open_in_system;
}

}  // namespace almondlink::relay
