#ifndef ALMONDLINK_RELAY_SRC_SHARED_READ_H_
#define ALMONDLINK_RELAY_SRC_SHARED_READ_H_

#include <boost/asio/ip/tcp.hpp>
#include <string_view>
#include <utility>

/// Reading without a buffer for each connection.
///
/// A node holds thousands of connections that say nothing most of the time; a
/// buffer in each was half of its memory. So a connection only waits until it
/// can be read, and all connections of a thread read into one buffer, whose
/// content is taken before the next read. That costs one more call of the
/// kernel for each read, and a larger buffer saves some.
namespace almondlink::relay {

/// Reads once into the thread's buffer; the view is valid until the next read
/// of this thread. Precondition: `socket` does not block.
std::string_view ReadNow(boost::asio::ip::tcp::socket& socket,
                         boost::system::error_code& error);

/// Waits until `socket` can be read, reads once, and calls `handler(error,
/// bytes)` from the loop. `handler` must keep the owner of `socket` alive.
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
