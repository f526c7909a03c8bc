#ifndef ALMONDLINKD_TARGET_SIDE_H_
#define ALMONDLINKD_TARGET_SIDE_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>

#include "almondlink/base/metrics.h"
#include "almondlink/control/admission.h"
#include "almondlink/mesh/peer_server.h"
#include "almondlink/record_log/claim_writer.h"
#include "almondlink/server/target_client.h"
#include "almondlinkd/shared_state.h"
#include "almondlinkd/target_ends.h"

namespace almondlink::daemon {

/// Figures of the target's side, for dumps and metrics.
struct TargetSideReport {
  std::uint32_t limit = 0;
  std::uint32_t in_flight = 0;
  std::uint32_t waiting = 0;
  std::uint32_t threshold = 0;
  std::uint32_t utilization = 0;
  double baseline_ms = 0;
  double service_time_ms = 0;
  std::uint64_t dispatched = 0;
  std::uint64_t refused = 0;
  std::size_t keys = 0;
  std::size_t connections = 0;
  server::TargetClientCounts client;
  std::size_t calls = 0;
  LatencySummary target_time;
};

/// Sends an answer on a peer link.
using AnswerSender = std::function<void(mesh::LinkId, wire::Answer)>;

/// The target's side of a node: admission, at-most-once, and the calls to the
/// one target beside it. All methods are called on the thread of its loop.
class TargetSide {
 public:
  /// `claims` may be null for a target without at-most-once operations.
  TargetSide(boost::asio::io_context& loop,
             SharedState& shared,
             record_log::ClaimWriter* claims,
             EndsHooks ends,
             AnswerSender send);
  ~TargetSide();
  TargetSide(const TargetSide&) = delete;
  TargetSide& operator=(const TargetSide&) = delete;

  /// Takes a call from a peer link.
  void OnCall(mesh::LinkId link, wire::Call call);
  /// The caller's node gave the call up.
  void OnCancel(mesh::LinkId link, std::uint64_t id);
  /// A peer link is gone: all its calls are given up.
  void OnLinkClosed(mesh::LinkId link);

  /// Another node tells of requests that targets ended under.
  void OnEnds(const wire::EndsNews& news);

  /// Calls that are taken and not yet answered.
  std::size_t OpenCalls() const;
  TargetSideReport Report() const;

 private:
  class Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace almondlink::daemon

#endif  // ALMONDLINKD_TARGET_SIDE_H_
