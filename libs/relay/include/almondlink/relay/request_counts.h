#ifndef ALMONDLINK_RELAY_REQUEST_COUNTS_H_
#define ALMONDLINK_RELAY_REQUEST_COUNTS_H_

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>

#include "almondlink/base/metrics.h"
#include "almondlink/policy/route_table.h"
#include "almondlink/relay/peer_frames.h"

/// Counts the outcomes of the requests that one node received from callers, by
/// route, for metrics.
namespace almondlink::relay {

/// Outcome of a request. Each request has exactly one.
enum class RequestOutcome : std::uint8_t {
  /// A target answered, with a success or with an error of its own.
  kServed,
  kFailedByTarget,
  /// Refused before anything was sent, or abandoned without having run.
  kRefusedAtEntry,
  kNotRun,
  /// The request may have run: there was no answer in time, or none at all.
  kTimedOut,
  kUnknown,
  kNoRoute,
  kCallerLeft,
  /// Authentication failed: no account has the key, a required key is missing
  /// or malformed, or the node could not verify it.
  kUnknownKey,
  /// Refused because its account has exhausted its quota.
  kOverQuota,
};

/// Label of the outcome in metrics.
const char* ToString(RequestOutcome outcome);

/// Counters of one event loop. Not thread safe: belongs to that loop.
class RequestCounts {
 public:
  /// Counts a request and its outcome. `route` is null if no route matched.
  void CountRequest(const policy::Route* route,
                    bool is_root,
                    RequestOutcome outcome,
                    CallReason reason,
                    LatencyMs latency);

  /// Counts a root request of a client account and its outcome.
  void CountAccountRequest(const std::string& account, RequestOutcome outcome);

  /// CountRepeat counts a send to a second target after a failure; CountMove
  /// counts a send to another target after one returned the request unsent.
  void CountRepeat(const policy::Route& route, CallReason after);
  void CountMove(const policy::Route& route, CallReason after);

  /// Records the latency that the nodes added to an answered request.
  void RecordAddedLatency(LatencyMs added) { this->added_latency.Add(added); }

  /// Appends all series in the Prometheus text exposition format.
  void Write(MetricText& out) const;

 private:
  using Reasons = std::map<CallReason, std::uint64_t>;

  struct RouteCounts {
    std::string name;
    bool is_repeatable = false;
    /// Counts by outcome and reason, of root requests and of calls that targets
    /// make.
    std::map<std::pair<RequestOutcome, CallReason>, std::uint64_t> roots;
    std::map<std::pair<RequestOutcome, CallReason>, std::uint64_t> calls;
    Reasons repeats;
    Reasons moves;
    LatencyHistogram latency;
  };

  RouteCounts& CountsFor(const policy::Route* route);

  std::unordered_map<std::uint32_t, RouteCounts> routes;
  std::map<std::string, std::map<RequestOutcome, std::uint64_t>> accounts;
  LatencyHistogram added_latency;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_REQUEST_COUNTS_H_
