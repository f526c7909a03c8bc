#ifndef ALMONDLINKD_ENTRY_LOOP_H_
#define ALMONDLINKD_ENTRY_LOOP_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "almondlink/base/metrics.h"
#include "almondlink/control/caller_repeats.h"
#include "almondlink/control/downstream.h"
#include "almondlink/control/routing.h"
#include "almondlink/control/usage.h"
#include "almondlink/mesh/peer_links.h"
#include "almondlink/server/caller_server.h"
#include "almondlinkd/shared_state.h"
#include "almondlinkd/trace_recorder.h"

namespace almondlink::daemon {

/// A target as one entry loop sees it, for dumps.
struct TargetReport {
  std::string service;
  std::string node;
  control::TargetView view;
};

/// Figures of one entry loop, for dumps and metrics.
struct EntryReport {
  std::vector<TargetReport> targets;
  control::UsageTable usage;
  LatencySummary call_time;
  LatencySummary added_time;
  std::size_t links = 0;
  std::uint64_t late_answers = 0;
  std::size_t open_calls = 0;
};

/// The caller's side of a node on one thread: understands a request, chooses a
/// target, retries within grant and budget, and answers. State is the loop's
/// own; nothing is shared with other loops but SharedState. All methods are
/// called on the thread of the loop.
class EntryLoop {
 public:
  EntryLoop(boost::asio::io_context& loop,
            SharedState& shared,
            TraceRecorder& recorder,
            std::size_t index);
  ~EntryLoop();
  EntryLoop(const EntryLoop&) = delete;
  EntryLoop& operator=(const EntryLoop&) = delete;

  /// Takes a caller's request.
  void Handle(server::CallerRequest request,
              std::shared_ptr<server::CallerExchange> exchange);

  /// Closes the links; calls that are out end as for lost links.
  void Close();

  EntryReport Report() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace almondlink::daemon

#endif  // ALMONDLINKD_ENTRY_LOOP_H_
