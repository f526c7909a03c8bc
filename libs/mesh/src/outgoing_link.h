#ifndef ALMONDLINK_MESH_SRC_OUTGOING_LINK_H_
#define ALMONDLINK_MESH_SRC_OUTGOING_LINK_H_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>
#include <websocketpp/client.hpp>
#include <websocketpp/config/asio_no_tls_client.hpp>

#include "almondlink/base/clock.h"
#include "almondlink/mesh/peer_links.h"
#include "almondlink/policy/signing.h"

/// The state of one outgoing link and of what waits on it.
namespace almondlink::mesh {

using Endpoint = websocketpp::client<websocketpp::config::asio_client>;
using Handle = websocketpp::connection_hdl;
using MessagePointer = Endpoint::message_ptr;

enum class LinkState { kConnecting, kProving, kOpen, kClosed };

/// One outgoing link. Messages wait in `backlog` until it is open. Its times
/// are on the running clock of its loop.
struct Link {
  std::string address;
  LinkState state = LinkState::kConnecting;
  Handle handle;
  policy::Bytes nonce;
  Millis started;
  Millis last_received;
  Millis last_used;
  bool is_pinged = false;
  Millis pinged;
  std::vector<std::pair<std::uint64_t, std::vector<std::uint8_t>>> backlog;
  std::size_t out = 0;
};

using LinkPointer = std::shared_ptr<Link>;

/// Whether nothing was out on the link for longer than `idle_after`.
inline bool IsIdle(const Link& link, Millis now, Millis idle_after) {
  return link.out == 0 && now - link.last_used > idle_after;
}

/// Whether the peer should be asked if it lives: calls are out, nothing came
/// for `ping_after`, and no question is open.
inline bool NeedsPing(const Link& link, Millis now, Millis ping_after) {
  return link.out > 0 && !link.is_pinged &&
         now - link.last_received > ping_after;
}

/// Whether a question has been open for longer than `limit`.
inline bool IsUnanswered(const Link& link, Millis now, Millis limit) {
  return link.is_pinged && now - link.pinged > limit;
}

/// A call or pull that waits for its answer.
struct Pending {
  LinkPointer link;
  bool is_sent = false;
  AnswerHandler on_answer;
  StateHandler on_state;
  /// On the running clock.
  Millis deadline;
  std::unique_ptr<boost::asio::steady_timer> timer;
};

}  // namespace almondlink::mesh

#endif  // ALMONDLINK_MESH_SRC_OUTGOING_LINK_H_
