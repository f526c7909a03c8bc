#include <algorithm>
#include <optional>
#include <vector>

#include "almondlink/control/named_limit.h"
#include "almondlink/control/placement.h"
#include "almondlink/relay/entry_calls.h"
#include "entry_call.h"

/// Choice of the node whose target gets a call.
namespace almondlink::relay {

namespace {

/// The load of a target that is told only with answers is used for this long.
/// Without a limit, a target that was busy once would never get calls again.
constexpr Millis kMaxLoadAge{2000};

bool IsLoadKnown(Millis now, const Peer& peer) {
  return !peer.reported.is_load_summed || now - peer.reported_at <= kMaxLoadAge;
}

/// Of targets whose rate limits are used up, those whose next token is expected
/// within this time of the first one are equally good.
constexpr Millis kTokenTolerance{20};
/// Lower bound of a limit as a divisor, in requests per second.
constexpr double kMinLimit = 0.1;
constexpr double kMsPerSecond = 1000;

/// When the rate limit of the target is expected to allow one more request of
/// this node.
Millis NextToken(const Peer& peer) {
  const double per_s =
      std::max(kMinLimit, peer.reported.limit_per_s.value_or(kMsPerSecond));
  return peer.limited_until + Millis{static_cast<std::int64_t>(
                                  peer.outstanding * kMsPerSecond / per_s)};
}

}  // namespace

/// Whether calls may be sent to the target beside the node.
bool EntryCalls::IsTargetAvailable(const Peer& peer) {
  return peer.IsReachable() && !peer.is_suspect && !peer.reported.is_stopping &&
         peer.reported.state == InstanceState::kReady;
}

/// Next node to try: one whose target has not received the call, while the
/// route allows another attempt, or one whose target refused it without running
/// it.
PeerPointer EntryCalls::NextPeer(const Call& call) {
  if (call.reached_nodes.size() < call.route->attempts) {
    PeerPointer other = this->ChoosePeer(call, false);
    if (other != nullptr) {
      return other;
    }
  }
  return call.refusing_nodes.empty() ? nullptr : this->ChoosePeer(call, true);
}

PeerPointer EntryCalls::ChoosePeer(const Call& call, bool is_among_refused) {
  const std::vector<PeerPointer>& members =
      this->peers.PeersOfService(call.service);
  const Millis now = BootTimeNow();
  std::vector<control::PlacementTarget> views;
  views.reserve(members.size());
  for (const PeerPointer& peer : members) {
    control::PlacementTarget view;
    view.is_own_zone = peer->reported.zone == this->settings.zone.Value();
    view.is_open = IsTargetAvailable(*peer);
    view.is_limited = peer->limited_until > now;
    const std::vector<std::string>& names =
        is_among_refused ? call.refusing_nodes : call.tried_nodes;
    const bool is_named =
        std::find(names.begin(), names.end(), peer->node.name) != names.end();
    view.is_tried = is_named != is_among_refused;
    view.slots =
        std::max(1U, control::SlotsWithinLimit(peer->reported.slots,
                                               peer->reported.limit_per_s,
                                               peer->reported.work_ms));
    if (IsLoadKnown(now, *peer)) {
      view.reported_load = peer->reported.running + peer->reported.waiting;
      view.sent_since = peer->sent_since_report;
      view.work_ms = peer->reported.work_ms;
    } else {
      view.reported_load = peer->outstanding;
    }
    view.health = peer->health;
    view.error_rate = peer->reported.error_rate;
    views.push_back(view);
  }
  const control::PlacementDraws draws{this->Draw(), this->Draw(), this->Draw(),
                                      this->Draw()};
  control::PlacementRules rules = this->settings.decisions.placement;
  const auto latency_target =
      static_cast<double>(call.route->latency_target.count);
  rules.acceptable_ms = this->settings.decisions.zone_patience * latency_target;
  rules.error_penalty_ms =
      this->settings.decisions.error_targets * latency_target;
  this->FitTargets(now, call, members, views, rules);
  std::optional<std::size_t> place =
      control::ChoosePlacementTarget(rules, views, now, draws);
  if (!place.has_value()) {
    SelectEarliestLimited(members, views);
    place = control::ChoosePlacementTarget(rules, views, now, draws);
  }
  if (!place.has_value()) {
    // A draining target still serves for a while; use one if no other target is
    // available.
    for (std::size_t i = 0; i < members.size(); ++i) {
      views[i].is_open = members[i]->IsReachable() &&
                         members[i]->reported.state == InstanceState::kDraining;
    }
    place = control::ChoosePlacementTarget(rules, views, now, draws);
  }
  return place.has_value() ? members[*place] : nullptr;
}

/// Among the available targets whose rate limits are used up, selects those
/// that can take a request soonest.
void EntryCalls::SelectEarliestLimited(
    const std::vector<PeerPointer>& members,
    std::vector<control::PlacementTarget>& views) {
  std::optional<Millis> earliest;
  for (std::size_t i = 0; i < members.size(); ++i) {
    if (views[i].is_open && views[i].is_limited && !views[i].is_tried) {
      const Millis next = NextToken(*members[i]);
      earliest = std::min(next, earliest.value_or(next));
    }
  }
  for (std::size_t i = 0; earliest.has_value() && i < members.size(); ++i) {
    views[i].is_limited = views[i].is_limited &&
                          NextToken(*members[i]) - *earliest > kTokenTolerance;
  }
}

}  // namespace almondlink::relay
