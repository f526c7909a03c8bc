#ifndef ALMONDLINK_MESH_PEER_LINKS_H_
#define ALMONDLINK_MESH_PEER_LINKS_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "almondlink/base/clock.h"
#include "almondlink/base/error.h"
#include "almondlink/base/ids.h"
#include "almondlink/policy/signing.h"
#include "almondlink/wire/messages.generated.h"

namespace almondlink::mesh {

/// Handle of one call that was sent; never used twice in a process.
using CallId = Strong<struct CallIdTag, std::uint64_t>;

/// Gets the answer, or an answer made here with kPeerUnreachable (the call was
/// not sent), kPeerLost (it was sent) or kTargetTimeout in `error`. Called
/// once, on the loop.
using AnswerHandler = std::function<void(wire::Answer)>;
using StateHandler = std::function<void(Result<wire::StatePush>)>;

/// What PeerLinks needs.
struct PeerLinksConfig {
  NodeId node;
  policy::DeploymentKey key;
  Millis connect_timeout{1000};
  /// A link with calls out and nothing received for this long is pinged.
  Millis ping_after{200};
  /// A ping without reply for this long: new calls use a new link.
  Millis suspect_after{200};
  /// A pinged link silent for this long is closed.
  Millis silent_after{1000};
  /// A link without calls for this long is closed.
  Millis idle_after{60'000};
  std::size_t max_message = 2 * 1024 * 1024;
};

/// Outgoing links of one loop to other nodes, one per address, opened when
/// needed. Calls are multiplexed; correlation ids are never used again, so a
/// late answer finds nobody and is dropped. A link that may have gone silent is
/// replaced in two steps: first new calls go over a new link, and only later
/// are the calls on the old one given up, since it may just be slow. Timeouts
/// do not count the time in which the loop did not run, see
/// almondlink/base/running_clock.h. All methods are called on the thread of the
/// loop.
class PeerLinks {
 public:
  PeerLinks(boost::asio::io_context& loop, const PeerLinksConfig& config);
  ~PeerLinks();
  PeerLinks(const PeerLinks&) = delete;
  PeerLinks& operator=(const PeerLinks&) = delete;

  /// Sends a call to the node at `address` (`ip:port`). Sets the call's id.
  /// `timeout` is running time.
  CallId Send(const std::string& address,
              wire::Call call,
              Millis timeout,
              AnswerHandler on_answer);

  /// Gives a call up; its handler is not called any more, and the peer is told.
  void Cancel(CallId call);

  /// Asks a node for its bundle and members.
  void Pull(const std::string& address,
            wire::StatePull pull,
            Millis timeout,
            StateHandler on_state);

  /// Closes all links; calls out get their answer as for a lost link.
  void Close();

  /// Links that are open or being opened.
  std::size_t LinkCount() const;
  /// Answers that came after their call had been given up.
  std::uint64_t LateAnswers() const;
  /// For samples of the time that calls take: a stall of the loop is not time
  /// that a peer took.
  LatencyMs RunningNow();

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace almondlink::mesh

#endif  // ALMONDLINK_MESH_PEER_LINKS_H_
