#ifndef ALMONDLINK_TOOL_PEER_QUERY_H_
#define ALMONDLINK_TOOL_PEER_QUERY_H_

#include <map>
#include <string>
#include <vector>

#include "almondlink/base/clock.h"
#include "almondlink/base/error.h"
#include "almondlink/policy/signing.h"
#include "almondlink/wire/messages.generated.h"

namespace almondlink::tool {

/// Asks each address for its state, all at once, over the peer port. An address
/// that does not answer within `timeout` is missing in the result.
std::map<std::string, wire::StatePush> QueryPeers(
    const policy::DeploymentKey& key,
    const std::vector<std::string>& addresses,
    const wire::StatePull& pull,
    Millis timeout);

/// The newest announcement of each node in the log's member stream, those that
/// left taken out. Errors: of the log.
Result<std::vector<wire::Member>> MembersFromLog();

}  // namespace almondlink::tool

#endif  // ALMONDLINK_TOOL_PEER_QUERY_H_
