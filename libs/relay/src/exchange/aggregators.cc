#include "exchange/aggregators.h"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>

#include "almondlink/control/load_sums.h"

namespace almondlink::relay {

namespace {

/// Number of nodes of a zone, and those that can be aggregators.
struct ZoneNodes {
  std::uint32_t nodes = 0;
  std::vector<const PeerPointer*> candidates;
};

/// The candidate that is the aggregator of a group; null if there is none.
PeerPointer BestOf(const std::vector<const PeerPointer*>& candidates,
                   std::uint32_t group) {
  PeerPointer best;
  std::uint64_t highest = 0;
  for (const PeerPointer* candidate : candidates) {
    const std::uint64_t rank =
        control::AggregatorRank((*candidate)->node.name, group);
    if (best == nullptr || rank > highest) {
      highest = rank;
      best = *candidate;
    }
  }
  return best;
}

}  // namespace

bool CanAggregate(const Peer& peer, std::uint32_t min_version) {
  return !peer.reported.is_stopping && peer.IsReachable() &&
         (peer.is_self ||
          (!peer.is_suspect && peer.protocol_version >= min_version));
}

PeerPointer AggregatorOf(const PeerTable& peers,
                         const std::string& zone,
                         std::uint32_t min_version) {
  ZoneNodes own;
  for (const PeerPointer& peer : peers.All()) {
    if (peer->reported.zone != zone) {
      continue;
    }
    ++own.nodes;
    if (CanAggregate(*peer, min_version)) {
      own.candidates.push_back(&peer);
    }
  }
  const std::uint32_t group =
      control::GroupOf(peers.SelfPeer()->node.name,
                       control::GroupCount(std::max(1U, own.nodes)));
  return BestOf(own.candidates, group);
}

std::vector<PeerPointer> OtherAggregators(const PeerTable& peers,
                                          std::uint32_t min_version) {
  std::map<std::string_view, ZoneNodes> zones;
  for (const PeerPointer& peer : peers.All()) {
    ZoneNodes& zone = zones[peer->reported.zone];
    ++zone.nodes;
    if (CanAggregate(*peer, min_version)) {
      zone.candidates.push_back(&peer);
    }
  }
  std::set<PeerPointer> found;
  for (const auto& [name, zone] : zones) {
    const std::uint32_t groups = control::GroupCount(zone.nodes);
    for (std::uint32_t group = 0; group < groups; ++group) {
      const PeerPointer best = BestOf(zone.candidates, group);
      if (best != nullptr && !best->is_self) {
        found.insert(best);
      }
    }
  }
  return {found.begin(), found.end()};
}

}  // namespace almondlink::relay
