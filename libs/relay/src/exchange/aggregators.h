#ifndef ALMONDLINK_RELAY_SRC_EXCHANGE_AGGREGATORS_H_
#define ALMONDLINK_RELAY_SRC_EXCHANGE_AGGREGATORS_H_

#include <cstdint>
#include <string>
#include <vector>

#include "almondlink/relay/peer_table.h"

/// Choice of the nodes that add up the reports of a group, see
/// almondlink/control/load_sums.h. All functions are pure reads of `peers`; one
/// thread at a time.
namespace almondlink::relay {

/// Whether the node can be an aggregator of reports that need `min_version` of
/// the protocol.
bool CanAggregate(const Peer& peer, std::uint32_t min_version);

/// The aggregator of the group that the node `self` of `zone` belongs to; null
/// if the zone has no candidate.
PeerPointer AggregatorOf(const PeerTable& peers,
                         const std::string& zone,
                         std::uint32_t min_version);

/// The aggregators of all groups, as far as this node can tell, without itself.
std::vector<PeerPointer> OtherAggregators(const PeerTable& peers,
                                          std::uint32_t min_version);

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_SRC_EXCHANGE_AGGREGATORS_H_
