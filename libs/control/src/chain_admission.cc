#include "almondlink/control/chain_admission.h"

#include <algorithm>
#include <cmath>

namespace almondlink::control {

namespace {

/// Time from the admission of a root request to the arrival of its last calls
/// at the deepest service, together with the meter's own memory: 0.1 to 0.3 s
/// of calls one after the other and 0.3 s.
constexpr double kSeenMemoryMs = 400;
/// Demand is scaled up by the share let in; below this the result says little.
constexpr double kLeastSeen = 0.04;
/// A share this near to 1 is 1.
constexpr double kWhole = 0.995;
/// Weight of the peers' mean in the share that is stepped from.
constexpr double kPeerWeight = 0.5;

/// Demand of one route if all of it were let in.
struct WholeDemand {
  std::uint32_t route = 0;
  std::uint32_t priority = 0;
  double slots = 0;
  double granted = 0;
};

std::vector<WholeDemand> WholeDemandOf(const ServiceRoom& service,
                                       const ChainAdmission& admission) {
  std::vector<WholeDemand> whole;
  for (const RouteDemand& demand : service.demand) {
    const auto known = admission.routes.find(demand.route);
    WholeDemand entry;
    entry.route = demand.route;
    entry.slots = demand.slots;
    if (known != admission.routes.end()) {
      entry.priority = known->second.priority;
      entry.slots /= std::max(kLeastSeen, known->second.seen_share);
    }
    whole.push_back(entry);
  }
  std::sort(whole.begin(), whole.end(),
            [](const WholeDemand& a, const WholeDemand& b) {
              return a.priority < b.priority;
            });
  return whole;
}

/// Grants the assured shares first, then by priority; routes of one priority
/// get the same part of what they want.
void Grant(const ChainRules& rules,
           double room,
           std::vector<WholeDemand>& whole) {
  double wanted = 0;
  for (const WholeDemand& entry : whole) {
    wanted += entry.slots;
  }
  const double served = wanted > 0 ? std::min(1.0, room / wanted) : 1;
  const double assured = std::min(rules.assured_share, served);
  for (WholeDemand& entry : whole) {
    entry.granted = entry.slots * assured;
    room -= entry.granted;
  }
  std::size_t first = 0;
  while (first < whole.size()) {
    std::size_t end = first;
    double missing = 0;
    while (end < whole.size() &&
           whole[end].priority == whole[first].priority) {
      missing += whole[end].slots - whole[end].granted;
      ++end;
    }
    const double part =
        missing > 0 ? std::clamp(room / missing, 0.0, 1.0) : 1.0;
    for (std::size_t i = first; i < end; ++i) {
      whole[i].granted += part * (whole[i].slots - whole[i].granted);
    }
    room = std::max(0.0, room - missing * part);
    first = end;
  }
}

}  // namespace

void NoteRoute(std::uint32_t route,
               std::uint32_t priority,
               ChainAdmission& admission) {
  admission.routes[route].priority = priority;
}

double ShareOf(std::uint32_t route, const ChainAdmission& admission) {
  const auto found = admission.routes.find(route);
  return found == admission.routes.end() ? 1.0 : found->second.share;
}

bool IsLetIn(std::uint32_t route,
             double draw,
             const ChainAdmission& admission) {
  const double share = ShareOf(route, admission);
  return share >= kWhole || draw < share;
}

void UpdateShares(const ChainRules& rules,
                  Millis now,
                  const std::vector<ServiceRoom>& services,
                  const std::map<std::uint32_t, double>& peer_shares,
                  ChainAdmission& admission) {
  const double span = static_cast<double>((now - admission.updated).count);
  admission.updated = now;
  const double keep = std::exp(-std::max(0.0, span) / kSeenMemoryMs);
  std::map<std::uint32_t, double> fitting;
  for (const ServiceRoom& service : services) {
    std::vector<WholeDemand> whole = WholeDemandOf(service, admission);
    const double room =
        std::max(0.0, service.slots * rules.planned_share -
                          service.backlog_slot_ms / rules.drain_ms);
    Grant(rules, room, whole);
    for (const WholeDemand& entry : whole) {
      const double share = entry.slots > 0 ? entry.granted / entry.slots : 1;
      const auto [place, is_new] = fitting.emplace(entry.route, share);
      if (!is_new) {
        place->second = std::min(place->second, share);
      }
    }
  }
  for (auto& [route, state] : admission.routes) {
    const auto wanted = fitting.find(route);
    const double goal = wanted == fitting.end() ? 1 : wanted->second;
    const auto peers = peer_shares.find(route);
    const double from = peers == peer_shares.end()
                            ? state.share
                            : (1 - kPeerWeight) * state.share +
                                  kPeerWeight * peers->second;
    const double step = goal < from ? rules.step_down : rules.step_up;
    state.share = std::clamp(from + step * (goal - from), 0.0, 1.0);
    if (state.share >= kWhole) {
      state.share = 1;
    }
    state.seen_share = keep * state.seen_share + (1 - keep) * state.share;
  }
}

}  // namespace almondlink::control
