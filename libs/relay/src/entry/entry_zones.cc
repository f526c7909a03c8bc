#include <algorithm>
#include <cmath>
#include <iterator>
#include <string>
#include <vector>

#include "almondlink/base/event_log.h"
#include "almondlink/base/hash.h"
#include "almondlink/control/zone_surplus.h"
#include "almondlink/relay/entry_calls.h"
#include "entry_call.h"

/// Which calls of this node leave its availability zone; see
/// almondlink/control/zone_surplus.h.
namespace almondlink::relay {

namespace {

/// A change of the leaving part by this much is logged, at most once in the
/// interval.
constexpr double kLoggedStep = 0.1;
constexpr Millis kLogInterval{5000};
/// The surplus has begun or ended.
constexpr double kNoSurplus = 0.01;

std::uint32_t ZoneKeyOf(const std::string& zone) {
  return static_cast<std::uint32_t>(StableHash(zone));
}

/// Slots of a target in slots of speed 1.
double WeightOf(const Peer& peer) {
  return peer.reported.speed > 0 ? peer.reported.speed : 1;
}

}  // namespace

/// The slots that this node can reach in its zone are better known here than
/// from the sums, which are up to 1.5 s old and without those of older nodes.
double EntryCalls::OwnZoneSlots(const std::string& service) {
  double slots = 0;
  for (const PeerPointer& peer : this->peers.PeersOfService(service)) {
    if (IsTargetAvailable(*peer) &&
        peer->reported.zone == this->settings.zone.Value()) {
      slots += peer->reported.slots * WeightOf(*peer);
    }
  }
  return slots;
}

/// Samples the calls in flight and applies sums that have arrived.
void EntryCalls::UpdateZones(Millis now) {
  if (!this->settings.decisions.sums_zones) {
    this->zone_flows.clear();
    return;
  }
  for (const auto& [id, call] : this->calls) {
    if (call->peer != nullptr) {
      this->zone_flows[call->service].in_flight += WeightOf(*call->peer);
    }
  }
  ++this->zone_samples;
  const control::DecisionSums* totals = this->decisions.Totals(now);
  this->has_zone_sums = totals != nullptr;
  const Millis arrived = now - this->decisions.TotalsAge(now);
  if (totals == nullptr || arrived == this->zone_sums_at) {
    return;
  }
  this->zone_sums_at = arrived;
  const std::uint32_t zone = ZoneKeyOf(this->settings.zone.Value());
  for (auto& [service, state] : this->zone_flows) {
    control::UpdateFlow(
        control::SurplusOf(zone, ServiceKeyOf(service),
                           this->OwnZoneSlots(service), *totals),
        state.flow);
    control::DecayTraffic(now, state.flow);
    this->LogSurplus(now, service, state);
  }
}

void EntryCalls::LogSurplus(Millis now,
                            const std::string& service,
                            ZoneState& state) {
  const double part = state.flow.part;
  const bool was_none = state.logged_part < kNoSurplus;
  const bool is_moved = std::abs(part - state.logged_part) >= kLoggedStep ||
                        was_none != (part < kNoSurplus);
  if (!is_moved || now - state.logged_at < kLogInterval) {
    return;
  }
  state.logged_at = now;
  state.logged_part = part;
  LogEvent(kEventZoneSurplus,
           {{"service", service},
            {"surplus", std::to_string(part)},
            {"calls", std::to_string(state.flow.surplus.calls)}});
}

/// Decides whether the call leaves its zone: then the targets of the zone that
/// it goes to count as near. Without sums, the choice compares the zones by the
/// times of their targets.
void EntryCalls::ApplySurplus(const Call& call,
                              const std::vector<PeerPointer>& members,
                              std::vector<control::PlacementTarget>& views,
                              control::PlacementRules& rules) {
  const auto known = this->zone_flows.find(call.service);
  if (!this->has_zone_sums || known == this->zone_flows.end()) {
    return;
  }
  rules.keeps_zone = true;
  const control::ZoneFlow& flow = known->second.flow;
  const double leaving = control::LeavingPart(call.route->key.Value(), flow);
  if (leaving <= 0 || this->Draw() >= leaving) {
    return;
  }
  std::vector<std::uint32_t> usable;
  for (std::size_t i = 0; i < members.size(); ++i) {
    const std::uint32_t zone = ZoneKeyOf(members[i]->reported.zone);
    const bool is_usable = views[i].is_open && !views[i].is_tried &&
                           !views[i].is_limited && !views[i].is_own_zone;
    if (is_usable &&
        std::find(usable.begin(), usable.end(), zone) == usable.end()) {
      usable.push_back(zone);
    }
  }
  const std::uint32_t chosen = control::ChooseZone(flow, usable, this->Draw());
  if (chosen == 0) {
    return;
  }
  ++this->fit_counts.left_zone;
  for (std::size_t i = 0; i < members.size(); ++i) {
    views[i].is_own_zone = ZoneKeyOf(members[i]->reported.zone) == chosen;
  }
}

/// Records the bytes of an answered call, or of a further part of its answer.
void EntryCalls::RecordBytes(const Call& call, const AnswerFrame& frame) {
  const auto known = this->zone_flows.find(call.service);
  if (known != this->zone_flows.end()) {
    const std::size_t bytes = call.head.fields.size() + call.body.size() +
                              frame.fields.size() + frame.body.size();
    const auto took = static_cast<double>((BootTimeNow() - call.sent_at).count);
    control::RecordTraffic(call.route->key.Value(), static_cast<double>(bytes),
                           LatencyMs{took}, known->second.flow);
  }
}

void EntryCalls::RecordPartBytes(const Call& call, std::size_t bytes) {
  const auto known = this->zone_flows.find(call.service);
  if (known != this->zone_flows.end()) {
    known->second.flow.routes[call.route->key.Value()].bytes +=
        static_cast<double>(bytes);
  }
}

/// Adds the calls in flight of this node, as the mean since the last report:
/// their number at one moment varies too much to follow.
void EntryCalls::AddZoneCalls(control::DecisionSums& sums) {
  const std::uint32_t zone = ZoneKeyOf(this->settings.zone.Value());
  for (auto entry = this->zone_flows.begin();
       entry != this->zone_flows.end();) {
    ZoneState& state = entry->second;
    if (state.in_flight > 0 && this->zone_samples > 0) {
      sums.zones[{zone, ServiceKeyOf(entry->first)}].outstanding +=
          state.in_flight / this->zone_samples;
    }
    const bool is_unused = state.in_flight <= 0 && state.flow.routes.empty();
    state.in_flight = 0;
    entry = is_unused ? this->zone_flows.erase(entry) : std::next(entry);
  }
  this->zone_samples = 0;
}

}  // namespace almondlink::relay
