#ifndef ALMONDLINK_MESH_GOSSIP_H_
#define ALMONDLINK_MESH_GOSSIP_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "almondlink/base/clock.h"
#include "almondlink/base/error.h"
#include "almondlink/config/setting.h"
#include "almondlink/control/membership.h"
#include "almondlink/policy/signing.h"
#include "almondlink/wire/messages.generated.h"

namespace almondlink::mesh {

/// What Gossip needs.
struct GossipConfig {
  config::Endpoint address;
  policy::DeploymentKey key;
  Millis probe_interval{1000};
  Millis probe_timeout{300};
  control::MembershipRules rules;
  /// Others asked to probe a silent member.
  std::size_t helpers = 3;
  /// Datagrams a second that are looked at; what is above is dropped unread.
  double max_rate = 2000;
  /// Tests put losses here: a datagram to an address (`ip:port`) for which it
  /// returns true is not sent. Empty in a node.
  std::function<bool(const std::string&)> is_lost;
};

/// What the owner of a Gossip is told, on its loop.
struct GossipHandlers {
  /// The table changed.
  std::function<void()> on_change;
  /// A peer has a bundle from a higher offset (plus one) in force.
  std::function<void(const wire::Member&, std::uint64_t)> on_newer_bundle;
  /// Another node tells of requests that targets ended under.
  std::function<void(const wire::EndsNews&)> on_ends;
};

/// Counters of a Gossip.
struct GossipStats {
  std::uint64_t sent_messages = 0;
  std::uint64_t sent_bytes = 0;
  std::uint64_t received_messages = 0;
  std::uint64_t received_bytes = 0;
  /// Without a right HMAC, not decodable, or above the rate.
  std::uint64_t refused_messages = 0;
};

/// Membership by gossip over UDP: each interval one member is probed, and news
/// rides on the messages. Datagrams are a 32-byte HMAC and a CBOR message. All
/// methods are called on the thread of its loop.
class Gossip {
 public:
  Gossip(boost::asio::io_context& loop,
         const GossipConfig& config,
         const wire::Member& self,
         GossipHandlers handlers);
  ~Gossip();
  Gossip(const Gossip&) = delete;
  Gossip& operator=(const Gossip&) = delete;

  /// Opens the socket and starts to probe. Errors: kIo.
  Result<void> Start();

  /// Stops; no handler is called any more.
  void Stop();

  /// Merges members learned elsewhere (log, peer).
  void Merge(const std::vector<wire::Member>& members);

  /// Announces a change of this node and tells some members at once.
  void Announce(const wire::Member& changed);

  /// Tells all living members at once, one datagram each; none is told again.
  void TellAll(const wire::EndsNews& news);

  /// Offset plus one of the bundle in force, told to others.
  void SetBundleOffset(std::uint64_t offset);

  /// The table.
  const control::Membership& Members() const;

  GossipStats Stats() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace almondlink::mesh

#endif  // ALMONDLINK_MESH_GOSSIP_H_
