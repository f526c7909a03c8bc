#include "almondlink/relay/peer_link.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "almondlink/relay/socket_options.h"
#include "shared_read.h"

namespace almondlink::relay {

namespace {

/// If data is unacknowledged for this long, the path to the peer is broken.
constexpr Millis kAckTimeout{2000};
/// Maximum pending output of a link to which calls are added: some hundred
/// answers to a slow peer.
constexpr std::size_t kMaxPendingBytes = 16 * 1024 * 1024;
/// Pending output of a link that takes a frame of any size.
constexpr std::size_t kNearlyIdleBytes = 1024 * 1024;
/// Buffers larger than this are released when they become empty. A node may
/// have thousands of links, most of them idle.
constexpr std::size_t kMaxIdleCapacity = 1024;
/// Bytes that were sent are removed from the output buffer once they are so
/// many and half of it.
constexpr std::size_t kMinRemoved = 256 * 1024;
/// Frames above this size are read into a buffer of their size, since one that
/// grows holds twice as much for a moment.
constexpr std::size_t kLargeFrame = 1024 * 1024;

/// Releases most of the memory of a buffer that was much fuller before.
void ReleaseUnused(std::string& buffer) {
  constexpr std::size_t kUsedPart = 4;
  const bool is_empty = buffer.empty() && buffer.capacity() > kMaxIdleCapacity;
  const bool is_oversized = buffer.capacity() > kLargeFrame &&
                            buffer.size() < buffer.capacity() / kUsedPart;
  if (is_empty || is_oversized) {
    buffer.shrink_to_fit();
  }
}

}  // namespace

PeerLink::PeerLink(boost::asio::ip::tcp::socket socket_in,
                   std::uint64_t id_in,
                   LinkEvents events_in)
    : socket(std::move(socket_in)),
      id(id_in),
      events(std::move(events_in)),
      last_received(BootTimeNow()) {}

void PeerLink::Start() {
  ConfigureSocket(this->socket, kAckTimeout);
  this->Read();
}

void PeerLink::ScheduleFlush() {
  if (this->is_flush_posted || this->is_write_waiting || !this->IsOpen()) {
    return;
  }
  this->is_flush_posted = true;
  boost::asio::post(this->socket.get_executor(),
                    [self = this->shared_from_this()]() {
                      self->is_flush_posted = false;
                      self->Flush();
                    });
}

void PeerLink::Flush() {
  while (this->IsOpen() && this->written < this->output.size()) {
    boost::system::error_code error;
    this->written += this->socket.write_some(
        boost::asio::buffer(this->output.data() + this->written,
                            this->output.size() - this->written),
        error);
    if (error == boost::asio::error::would_block) {
      // A single call may exceed the limit by the size of its body.
      if (this->output.size() - this->written >
          kMaxPendingBytes + kMaxFrameSize) {
        this->Fail();
        return;
      }
      this->RemoveWritten();
      this->is_write_waiting = true;
      this->socket.async_wait(
          boost::asio::ip::tcp::socket::wait_write,
          [self = this->shared_from_this()](boost::system::error_code failed) {
            self->is_write_waiting = false;
            if (!failed) {
              self->Flush();
            }
          });
      return;
    }
    if (error) {
      this->Fail();
      return;
    }
  }
  this->output.clear();
  this->written = 0;
  ReleaseUnused(this->output);
  this->RunDrainCallback();
}

/// Frames are added before all earlier ones are sent, so the buffer of a link
/// that is under backpressure never becomes empty.
void PeerLink::RemoveWritten() {
  if (this->written >= kMinRemoved &&
      this->written >= this->output.size() / 2) {
    this->output.erase(0, this->written);
    this->written = 0;
    ReleaseUnused(this->output);
  }
}

bool PeerLink::CanTake(std::size_t bytes) const {
  const std::size_t pending = this->output.size() - this->written;
  return pending <= kNearlyIdleBytes || pending + bytes <= kMaxPendingBytes;
}

void PeerLink::WhenDrained(std::function<void()> task) {
  this->on_drained = std::move(task);
  this->ScheduleFlush();
}

void PeerLink::RunDrainCallback() {
  if (this->on_drained != nullptr) {
    boost::asio::post(this->socket.get_executor(), std::move(this->on_drained));
    this->on_drained = nullptr;
  }
}

void PeerLink::Read() {
  ReadShared(this->socket, [self = this->shared_from_this()](
                               const boost::system::error_code& error,
                               std::string_view bytes) {
    if (!self->IsOpen()) {
      return;
    }
    if (error) {
      self->Fail();
      return;
    }
    self->OnRead(bytes);
  });
}

std::size_t PeerLink::DispatchFrames(std::string_view bytes, bool& is_good) {
  std::size_t used = 0;
  bool is_bad = false;
  while (this->IsOpen()) {
    const std::optional<RawFrame> frame = NextFrame(bytes.substr(used), is_bad);
    if (!frame.has_value()) {
      break;
    }
    this->events.on_frame(this->shared_from_this(), *frame);
    used += frame->size;
  }
  is_good = !is_bad;
  return used;
}

void PeerLink::ReserveFrame() {
  if (this->input.size() >= kLargeFrame) {
    this->input.reserve(std::min(FrameSize(this->input), kMaxFrameSize));
  }
}

void PeerLink::OnRead(std::string_view bytes) {
  this->last_received = BootTimeNow();
  bool is_good = true;
  if (this->input.empty()) {
    // Usually all frames are complete and need not be copied.
    const std::size_t used = this->DispatchFrames(bytes, is_good);
    this->input.append(bytes.substr(used));
  } else {
    this->ReserveFrame();
    this->input.append(bytes);
    this->input.erase(0, this->DispatchFrames(this->input, is_good));
  }
  if (!is_good) {
    this->Fail();
    return;
  }
  ReleaseUnused(this->input);
  if (this->IsOpen()) {
    this->Read();
  }
}

void PeerLink::Close() {
  boost::system::error_code ignored;
  this->socket.close(ignored);
  this->RunDrainCallback();
}

void PeerLink::Fail() {
  if (!this->IsOpen()) {
    return;
  }
  this->Close();
  this->events.on_closed(this->shared_from_this());
}

}  // namespace almondlink::relay
