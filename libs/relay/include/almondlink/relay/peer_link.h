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
/// Frames that are appended within one turn of the event loop are sent with one
/// system call. A link is closed when the peer reads too slowly and too much
/// output is pending.
namespace almondlink::relay {

class PeerLink;
using PeerLinkPointer = std::shared_ptr<PeerLink>;

struct LinkEvents {
  std::function<void(const PeerLinkPointer&, const RawFrame&)> on_frame;
  /// Called at most once, from the event loop; never after Close().
  std::function<void(const PeerLinkPointer&)> on_closed;
};

/// Not thread safe: belongs to one loop.
class PeerLink : public std::enable_shared_from_this<PeerLink> {
 public:
  PeerLink(boost::asio::ip::tcp::socket socket,
           std::uint64_t id,
           LinkEvents events);

  /// Starts reading. Precondition: the socket is connected.
  void Start();

  /// Output buffer to append frames to; call ScheduleFlush() afterwards.
  std::string& OutputBuffer() { return this->output; }
  void ScheduleFlush();

  /// Calls `task` once, from the event loop, when everything appended so far
  /// has been passed to the kernel or the link is closed. Only one task may be
  /// pending.
  void WhenDrained(std::function<void()> task);
  bool IsDraining() const { return this->on_drained != nullptr; }

  /// Closes the link without calling `on_closed`.
  void Close();

  bool IsOpen() const { return this->socket.is_open(); }
  std::uint64_t Id() const { return this->id; }
  /// When data was last received, or when the link was created.
  Millis LastReceived() const { return this->last_received; }
  /// Whether a frame of about `bytes` may be appended. A larger one than the
  /// limit on pending output is accepted only by a link that is nearly idle.
  bool CanTake(std::size_t bytes) const;
  /// Bytes that are still to be sent.
  std::size_t PendingBytes() const {
    return this->output.size() - this->written;
  }
  /// Memory that the buffers hold.
  std::size_t BufferedBytes() const {
    return this->input.capacity() + this->output.capacity();
  }

 private:
  void Read();
  void OnRead(std::string_view bytes);
  /// Passes all complete frames in `bytes` to `on_frame`. Returns the number of
  /// bytes consumed; sets `is_good` to false if the rest cannot be a frame.
  std::size_t DispatchFrames(std::string_view bytes, bool& is_good);
  void Flush();
  void RemoveWritten();
  void ReserveFrame();
  void Fail();
  void RunDrainCallback();

  boost::asio::ip::tcp::socket socket;
  const std::uint64_t id;
  LinkEvents events;
  /// An incomplete frame at the end of the bytes received.
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
