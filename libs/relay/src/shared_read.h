#ifndef ALMONDLINK_RELAY_SRC_SHARED_READ_H_
#define ALMONDLINK_RELAY_SRC_SHARED_READ_H_

#include <boost/asio/ip/tcp.hpp>
#include <string_view>
#include <utility>

/// Socket reads without a buffer for each connection.
///
/// A node holds thousands of mostly idle connections, and a read buffer in each
/// of them took half of its memory. So a connection only waits until it is
/// readable, and all connections of a thread read into one buffer, whose
/// content is consumed before the next read. This costs one more system call
/// for each read; the larger buffer saves some.
namespace almondlink::relay {

/// Reads once into the thread's buffer. The view is valid until the next read
/// on this thread. Precondition: `socket` is non-blocking.
std::string_view ReadNow(boost::asio::ip::tcp::socket& socket,
                         boost::system::error_code& error);

/// Waits until `socket` is readable, reads once and calls `handler(error,
/// bytes)` from the event loop. `handler` must keep the owner of `socket`
/// alive.
template <typename Handler>
void ReadShared(boost::asio::ip::tcp::socket& socket, Handler handler) {
  socket.async_wait(boost::asio::ip::tcp::socket::wait_read,
                    [&socket, handler = std::move(handler)](
                        boost::system::error_code error) mutable {
                      std::string_view bytes;
                      if (!error && socket.is_open()) {
                        bytes = ReadNow(socket, error);
                      }
                      if (error == boost::asio::error::would_block) {
                        ReadShared(socket, std::move(handler));
                        return;
                      }
                      handler(error, bytes);
                    });
}

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_SRC_SHARED_READ_H_
