#include "almondlink/relay/peer_link.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

/// Guards against a link that keeps all that it has sent since its output was
/// last empty: under backpressure that is never, and the node grew by as much
/// as the link carried until its host ended it.
namespace almondlink::relay {
namespace {

using boost::asio::ip::tcp;

TEST_CASE("a link under backpressure keeps only what is still to be sent") {
  constexpr std::size_t kPending = 1024 * 1024;
  constexpr std::size_t kCarried = 64 * kPending;
  boost::asio::io_context loop;
  tcp::acceptor acceptor(loop, {boost::asio::ip::address_v4::loopback(), 0});
  // Less than what is pending, so that the output never becomes empty.
  const boost::asio::socket_base::receive_buffer_size received_at_once(65536);
  const boost::asio::socket_base::send_buffer_size sent_at_once(65536);
  tcp::socket reader(loop, tcp::v4());
  reader.set_option(received_at_once);
  reader.connect(acceptor.local_endpoint());
  tcp::socket socket = acceptor.accept();
  socket.set_option(sent_at_once);
  socket.non_blocking(true);
  reader.non_blocking(true);
  const PeerLinkPointer link = std::make_shared<PeerLink>(
      std::move(socket), 1,
      LinkEvents{[](const PeerLinkPointer&, const RawFrame&) {},
                 [](const PeerLinkPointer&) {}});
  link->Start();
  const std::string frame(64 * 1024, 'f');
  std::vector<char> taken(256 * 1024);
  std::size_t received = 0;
  std::size_t most = 0;
  while (received < kCarried) {
    while (link->PendingBytes() < kPending) {
      link->OutputBuffer() += frame;
    }
    link->ScheduleFlush();
    loop.poll();
    boost::system::error_code error;
    received += reader.read_some(boost::asio::buffer(taken), error);
    most = std::max(most, link->BufferedBytes());
  }
  REQUIRE(most < 8 * kPending);
  link->Close();
}

}  // namespace
}  // namespace almondlink::relay
