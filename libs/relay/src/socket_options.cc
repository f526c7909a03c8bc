#include "almondlink/relay/socket_options.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

namespace almondlink::relay {

void PrepareSocket(boost::asio::ip::tcp::socket& socket, Millis silence) {
  boost::system::error_code error;
  socket.non_blocking(true, error);
  const int on = 1;
  const auto timeout = static_cast<unsigned int>(silence.count);
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  setsockopt(socket.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout,
             sizeof(timeout));
}

}  // namespace almondlink::relay
