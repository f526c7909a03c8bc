#include "shared_read.h"

#include <array>
#include <boost/asio/buffer.hpp>

namespace almondlink::relay {

namespace {

/// Holds a complete request or answer of the usual size, or a batch of frames.
constexpr std::size_t kBufferSize = 16 * 1024;

}  // namespace

std::string_view ReadNow(boost::asio::ip::tcp::socket& socket,
                         boost::system::error_code& error) {
  static thread_local std::array<char, kBufferSize> buffer;
  const std::size_t size = socket.read_some(boost::asio::buffer(buffer), error);
  return {buffer.data(), size};
}

}  // namespace almondlink::relay
