#ifndef ALMONDLINK_RELAY_SRC_SERVING_SERVED_CALL_H_
#define ALMONDLINK_RELAY_SRC_SERVING_SERVED_CALL_H_

#include <string>

#include "almondlink/relay/served_calls.h"

namespace almondlink::relay {

/// A call with less remaining time than this would be cut off at the target at
/// once.
constexpr Millis kMinRemaining{5};

/// A call for the target beside this node, from its arrival to its outcome.
/// ServedCalls is implemented in served_calls.cc (dispatch and outcomes),
/// served_queue.cc (the queue), served_notices.cc (what the target states about
/// itself in its answers), served_speed.cc (its speed and usable slots) and
/// served_crashes.cc (crashes of the target's process).
struct ServedCalls::Call {
  LinkId link = 0;
  std::uint32_t id = 0;
  control::QueueKey key;
  control::CallKind kind;
  RunInfo info;
  bool is_repeatable = false;
  /// See CallFrame.
  bool may_move = false;
  /// It found no free slot when it arrived.
  bool has_waited = false;
  /// The bound on moves has kept it here; counted once.
  bool was_denied_move = false;
  bool is_running = false;
  bool is_answering = false;
  /// The caller no longer waits for the answer.
  bool is_abandoned = false;
  /// The host was suspended while the call ran, so its duration says nothing
  /// about the target.
  bool spans_suspension = false;
  Millis arrived;
  Millis wait_until;
  LatencyMs dispatched;
  /// When it was sent to the target, and to which incarnation.
  Millis sent_at;
  control::InstanceIncarnation sent_to;
  std::string request_id;
  /// The service that it is for. Another instance of it may run the call while
  /// it waits, an instance of another service may not.
  std::string service;
  std::string method;
  std::string request_head;
  std::string caller_service;
  std::string body;
  /// Measurement of the run, and the part of the target's slots that were taken
  /// when it began.
  control::MeasuredRun measured;
  double occupancy_at_start = 0;
  /// Runs that its own calls caused.
  control::CallCounts run_counts;
  TargetExchange exchange;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_SRC_SERVING_SERVED_CALL_H_
