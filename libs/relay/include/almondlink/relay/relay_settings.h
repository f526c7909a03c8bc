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
#include "almondlink/control/returning_callers.h"
#include "almondlink/control/target_health.h"
#include "almondlink/relay/header_names.h"

namespace almondlink::relay {

/// Tuning of a relay's decisions; see docs/SETTINGS.md, [decisions].
struct DecisionRules {
  control::ChainRules admission;
  control::PlacementRules placement;
  control::HealthRules health;
  /// Share of a target's slots that is used.
  double usable_slots = 0.94;
  /// Maximum number of sends of one request that reach a target.
  std::uint32_t repeat_sends = 12;
  /// Whether calls to nodes that do not answer are withdrawn and sent
  /// elsewhere.
  bool has_suspects = true;
  /// How long after a service lost its last target a new one is still expected.
  Millis wait_for_target{3000};
  /// Mean of the retry delay that refused callers are given, as a share of the
  /// latency target.
  double return_part = 0.25;
  /// Targets of the own zone are preferred while a request takes no more than
  /// this share of its latency target there.
  double zone_patience = 0.25;
  /// Whether the time that a call was delayed on a link is subtracted from its
  /// remaining time.
  bool has_held_frames = true;
  /// Which nodes poll the policy source on behalf of all.
  control::FollowRules follow;
  /// Cost of a target's own failure in multiples of the request's latency
  /// target, where the service's other targets fail less.
  double error_targets = 1;
  /// Number of nodes up to which each sends its load to every other one. In a
  /// larger fleet, loads are summed by groups, see control/load_sums.h.
  std::uint32_t direct_nodes = 128;
  /// Whether root requests that the repeat allowance cannot carry are refused.
  /// Off by default, since fewer root requests complete with it, see
  /// docs/design/carried-roots.md.
  bool carries_roots = false;
  /// Whether queued calls are run by their latest useful start.
  bool queues_by_due = true;
  /// Whether they are also where no routes exchange capacity.
  bool always_queues_by_due = false;
  /// Whether queued calls are returned while other targets have free slots.
  bool moves_waiting = false;
  /// Whether refused callers that return are admitted before new ones.
  bool admits_returning_first = true;
  control::ReturnRules returns;
  /// Whether client accounts share a short service by their granted rates.
  bool has_fair_accounts = true;
  /// Whether targets are chosen by the chance to end in time.
  bool fits_targets = true;
  /// Whether a target that is warming up counts as slower.
  bool uses_warmup = true;
  /// Whether the usable share of a target's slots is learned.
  bool learns_slots = false;
  /// Whether calls leave their zone by its surplus.
  bool sums_zones = true;
};

/// Configuration of a relay.
struct RelaySettings {
  NodeId node;
  std::string deployment;
  ZoneName zone;
  /// Service of the target beside this node; requests of callers on this host
  /// are attributed to it.
  ServiceName service;
  boost::asio::ip::tcp::endpoint caller_address;
  boost::asio::ip::tcp::endpoint peer_address;
  /// Address that is announced to other nodes; `peer_address` if not set.
  boost::asio::ip::tcp::endpoint advertised_address;
  boost::asio::ip::tcp::endpoint target_address;
  HeaderNames names;
  /// Time after which a draining instance must receive no more requests.
  Millis drain{2000};
  /// Time between the stop signal and the forced end.
  Millis grace{6000};
  /// Limit on requests that are sent to a second target.
  control::RepeatRules repeats;
  /// Rate limits of client accounts.
  control::QuotaRules quotas;
  /// A node that has had no access to the policy source for this long accepts
  /// no API keys any more. Not set: it keeps using the policy it has.
  std::optional<Millis> revoke_after;
  DecisionRules decisions;
  /// Extracts the parent's id from a request id; empty for a root request.
  std::function<std::string_view(std::string_view id)> parent_of;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_RELAY_SETTINGS_H_
