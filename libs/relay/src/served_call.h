#ifndef ALMONDLINK_RELAY_SRC_SERVED_CALL_H_
#define ALMONDLINK_RELAY_SRC_SERVED_CALL_H_

#include <string>

#include "almondlink/relay/served_calls.h"

namespace almondlink::relay {

/// One call for the target beside this node, from its arrival to its outcome.
/// ServedCalls is in two units: served_calls.cc (who runs, who waits, what came
/// of it) and served_ends.cc (targets whose process ends).
struct ServedCalls::Call {
  LinkId link = 0;
  std::uint32_t id = 0;
  Order order;
  RunInfo info;
  bool is_repeatable = false;
  bool is_running = false;
  bool is_answering = false;
  /// Nobody waits for the answer any more.
  bool is_abandoned = false;
  /// This host stood still while it ran; its time says nothing of the target.
  bool spans_suspension = false;
  Millis arrived;
  Millis wait_until;
  LatencyMs dispatched;
  std::string request_id;
  std::string method;
  std::string request_head;
  std::string caller_service;
  std::string body;
  /// What ran for the calls that it made.
  control::CallCounts run_counts;
  TargetExchange exchange;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_SRC_SERVED_CALL_H_
