#ifndef ALMONDLINK_RELAY_RELAY_SETTINGS_H_
#define ALMONDLINK_RELAY_RELAY_SETTINGS_H_

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "almondlink/base/clock.h"
#include "almondlink/base/ids.h"
#include "almondlink/control/chain_admission.h"
#include "almondlink/control/placement.h"
#include "almondlink/control/policy_source.h"
#include "almondlink/control/quota_lending.h"
#include "almondlink/control/repeat_allowance.h"
#include "almondlink/control/target_health.h"
#include "almondlink/relay/header_names.h"

namespace almondlink::relay {

/// How a relay decides; docs/SETTINGS.md, [decisions].
struct DecisionRules {
  control::ChainRules admission;
  control::PlacementRules placement;
  control::HealthRules health;
  /// Part of a target's slots that is used.
  double usable_slots = 0.94;
  /// Most sends of one request that reach a target.
  std::uint32_t repeat_sends = 12;
  /// Calls are taken back from nodes that do not answer.
  bool has_suspects = true;
  /// Since a service last had a target, so long until the next is expected.
  Millis wait_for_target{3000};
  /// Middle of the advice when to return, as a part of the latency target.
  double return_part = 0.25;
  /// The own zone's target is used while a request takes no more than this part
  /// of its latency target there.
  double zone_patience = 0.25;
  /// Time that a call was held up on a link is taken from its deadline.
  bool has_held_frames = true;
  /// Who reads the source of the policy for all.
  control::FollowRules follow;
  /// A failure of a target's own costs a request so many of its latency
  /// targets, where the service's other targets fail less.
  double error_targets = 1;
};

/// Everything that a relay is started with.
struct RelaySettings {
  NodeId node;
  std::string deployment;
  ZoneName zone;
  /// Service of the target beside this node; callers on this host speak in its
  /// name.
  ServiceName service;
  boost::asio::ip::tcp::endpoint caller_address;
  boost::asio::ip::tcp::endpoint peer_address;
  /// What other nodes are told of it; the address itself if not set.
  boost::asio::ip::tcp::endpoint advertised_address;
  boost::asio::ip::tcp::endpoint target_address;
  HeaderNames names;
  /// Time after which a leaving instance must get nothing more.
  Millis drain{2000};
  /// Time between the stop signal and the end that is forced.
  Millis grace{6000};
  /// Bound on requests that are sent to a second target.
  control::RepeatRules repeats;
  /// Bound on what one client account may have run.
  control::QuotaRules quotas;
  /// A node that has not heard of the source of the policy for this long takes
  /// no API key any more; none: it goes on by the policy it has.
  std::optional<Millis> revoke_after;
  DecisionRules decisions;
  /// Id of the request that a request's id names as the one it was made for;
  /// empty if it is a root request.
  std::function<std::string_view(std::string_view id)> parent_of;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_RELAY_SETTINGS_H_
