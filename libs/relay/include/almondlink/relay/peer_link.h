#ifndef ALMONDLINK_RELAY_PEER_LINK_H_
#define ALMONDLINK_RELAY_PEER_LINK_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "almondlink/base/clock.h"
#include "almondlink/relay/peer_frames.h"

/// A TCP connection to another node.
///
/// Frames that are written within one turn of the loop leave with one system
/// call. A link that does not drain is closed when too much waits on it.
namespace almondlink::relay {

class PeerLink;
using PeerLinkPointer = std::shared_ptr<PeerLink>;

struct LinkEvents {
  std::function<void(const PeerLinkPointer&, const RawFrame&)> on_frame;
  /// Called once, from the loop; never after Close().
  std::function<void(const PeerLinkPointer&)> on_closed;
};

/// Not thread safe: belongs to one loop.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  PeerLink(boost::asio::ip::tcp::socket socket,
           std::uint64_t id,
           LinkEvents events);

  /// Starts to read. Precondition: the socket is connected.
  void Start();

  /// Buffer to append frames to; call FlushSoon() after.
  std::string& OutputBuffer() { return this->output; }
  void ScheduleFlush();

  /// Calls `task` once, from the loop, when all that was appended until now has
  /// left this host, or the link is closed. One at a time.
  void WhenDrained(std::function<void()> task);
  bool IsDraining() const { return this->on_drained != nullptr; }

  /// Closes without an event.
  void Close();

  bool IsOpen() const { return this->socket.is_open(); }
  std::uint64_t Id() const { return this->id; }
  Millis LastReceived() const { return this->last_received; }
  std::size_t PendingBytes() const { return this->output.size(); }

 private:
  void Read();
  void OnRead(std::string_view bytes);
  /// Hands on all whole frames of `bytes`; what they took. False in `is_good`
  /// if it is no frame.
  std::size_t DispatchFrames(std::string_view bytes, bool& is_good);
  void Flush();
  void Fail();
  void RunDrainCallback();

  boost::asio::ip::tcp::socket socket;
  const std::uint64_t id;
  LinkEvents events;
  /// The beginning of a frame whose rest has not come.
  std::string input;
  std::string output;
  std::size_t written = 0;
  std::function<void()> on_drained;
  bool is_flush_posted = false;
  bool is_write_waiting = false;
  Millis last_received;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_PEER_LINK_H_
