#include "almondlink/relay/peer_link.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "almondlink/relay/socket_options.h"

namespace almondlink::relay {

namespace {

/// Bytes unacknowledged for so long mean that the way to the peer is gone.
constexpr Millis kSilence{2000};
/// Bytes that may wait for a slow peer: some hundred answers.
constexpr std::size_t kMostWaiting = 16 * 1024 * 1024;
/// Buffers that grew beyond this are given back when empty.
constexpr std::size_t kKeptCapacity = 64 * 1024;

}  // namespace

PeerLink::PeerLink(boost::asio::ip::tcp::socket socket_in,
                   std::uint64_t id_in,
                   LinkEvents events_in)
    : socket(std::move(socket_in)),
      id(id_in),
      events(std::move(events_in)),
      last_received(BootTimeNow()) {}

void PeerLink::Start() {
  PrepareSocket(this->socket, kSilence);
  this->Read();
}

void PeerLink::FlushSoon() {
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
      if (this->output.size() - this->written > kMostWaiting) {
        this->Fail();
        return;
      }
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
  if (this->output.capacity() > kKeptCapacity) {
    this->output.shrink_to_fit();
  }
}

void PeerLink::Read() {
  this->socket.async_read_some(
      boost::asio::buffer(this->buffer),
      [self = this->shared_from_this()](boost::system::error_code error,
                                        std::size_t size) {
        if (!self->IsOpen()) {
          return;
        }
        if (error) {
          self->Fail();
          return;
        }
        self->last_received = BootTimeNow();
        self->input.append(self->buffer.data(), size);
        std::size_t used = 0;
        bool is_bad = false;
        while (self->IsOpen()) {
          const std::optional<RawFrame> frame =
              NextFrame(std::string_view(self->input).substr(used), is_bad);
          if (!frame.has_value()) {
            break;
          }
          self->events.on_frame(self, *frame);
          used += frame->size;
        }
        if (is_bad) {
          self->Fail();
          return;
        }
        self->input.erase(0, used);
        if (self->input.empty() && self->input.capacity() > kKeptCapacity) {
          self->input.shrink_to_fit();
        }
        if (self->IsOpen()) {
          self->Read();
        }
      });
}

void PeerLink::Close() {
  boost::system::error_code ignored;
  this->socket.close(ignored);
}

void PeerLink::Fail() {
  if (!this->IsOpen()) {
    return;
  }
  this->Close();
  this->events.on_closed(this->shared_from_this());
}

}  // namespace almondlink::relay
