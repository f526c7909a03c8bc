#ifndef ALMONDLINK_MESH_PEER_SERVER_H_
#define ALMONDLINK_MESH_PEER_SERVER_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "almondlink/base/error.h"
#include "almondlink/base/ids.h"
#include "almondlink/config/setting.h"
#include "almondlink/policy/signing.h"
#include "almondlink/wire/messages.generated.h"

namespace almondlink::mesh {

/// Identifies an accepted link; never used twice in a process.
using LinkId = Strong<struct LinkIdTag, std::uint64_t>;

/// What the owner of a PeerServer does with messages. Called on its loop, only
/// for links that proved the deployment key.
struct PeerHandlers {
  std::function<void(LinkId, wire::Call)> on_call;
  std::function<void(LinkId, wire::Cancel)> on_cancel;
  std::function<wire::StatePush(const wire::StatePull&)> on_state_pull;
  /// The link is gone; answers to it lead nowhere.
  std::function<void(LinkId)> on_closed;
};

/// What a PeerServer needs.
struct PeerServerConfig {
  NodeId node;
  Incarnation incarnation{0};
  config::Endpoint address;
  policy::DeploymentKey key;
  std::size_t max_message = 2 * 1024 * 1024;
  std::size_t max_links = 20'000;
  /// Messages a second from one link; above it the link is closed.
  double max_rate = 50'000;
  /// Bytes that may wait to be written to one link before it is closed.
  std::size_t max_buffered = 64 * 1024 * 1024;
};

/// Accepts links from other nodes (WebSocket, CBOR messages). All methods are
/// called on the thread of its loop. It must outlive the loop's last run: links
/// that close still call it.
class PeerServer {
 public:
  PeerServer(boost::asio::io_context& loop,
             const PeerServerConfig& config,
             PeerHandlers handlers);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  /// Opens the port. Errors: kIo.
  Result<void> Listen();

  /// Sends the answer to a call; nothing happens if the link is gone.
  void Answer(LinkId link, wire::Answer answer);

  /// Accepts no further links and closes those that there are.
  void Close();

  /// Open links.
  std::size_t LinkCount() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl;
};

}  // namespace almondlink::mesh

#endif  // ALMONDLINK_MESH_PEER_SERVER_H_
