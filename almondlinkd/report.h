#ifndef ALMONDLINKD_REPORT_H_
#define ALMONDLINKD_REPORT_H_

#include <string>
#include <vector>

#include "almondlink/control/membership.h"
#include "almondlink/mesh/gossip.h"
#include "almondlink/record_log/claim_writer.h"
#include "almondlink/server/caller_server.h"
#include "almondlinkd/entry_loop.h"
#include "almondlinkd/platform_thread.h"
#include "almondlinkd/shared_state.h"
#include "almondlinkd/target_side.h"

namespace almondlink::daemon {

/// Everything a node tells about itself, gathered from its threads.
struct NodeReport {
  std::string node;
  std::uint64_t incarnation = 0;
  std::shared_ptr<const BundleView> bundle;
  control::Membership membership;
  mesh::GossipStats gossip;
  std::size_t peer_links_in = 0;
  TargetSideReport target;
  std::vector<EntryReport> entries;
  server::CallerServerStats callers;
  PlatformReport platform;
  record_log::ClaimWriterStats claims;
  std::size_t work_open = 0;
  std::int64_t calls_open = 0;
  bool is_draining = false;
};

/// Fills in what all threads of the node share.
void AddShared(SharedState& shared, NodeReport& report);

/// The whole state as JSON, for `/dump`.
std::string ToJson(const NodeReport& report);

/// Metrics in the text exposition format, for `/metrics`.
std::string ToMetrics(const NodeReport& report);

}  // namespace almondlink::daemon

#endif  // ALMONDLINKD_REPORT_H_
