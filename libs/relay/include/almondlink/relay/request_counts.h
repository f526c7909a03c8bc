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

/// What became of the requests that one node took from callers, by route, for
/// metrics.
namespace almondlink::relay {

/// How a request ended. Each request ends exactly once.
enum class RequestOutcome : std::uint8_t {
  /// A target answered with success, or with a failure of its own.
  kServed,
  kFailedByTarget,
  /// Refused before anything was sent, and given up without having run.
  kRefusedAtEntry,
  kNotRun,
  /// It may have run: no answer in time, or none at all.
  kTimedOut,
  kUnknown,
  kNoRoute,
  kCallerLeft,
  /// No account holds the key, or there is none where one is needed.
  kUnknownKey,
  /// Beyond the quota of its account.
  kOverQuota,
};

/// Name of an end in metrics.
const char* ToString(RequestOutcome outcome);

/// Not thread safe: belongs to one loop.
class RequestCounts {
 public:
  /// Counts the end of a request; `route` is null if none was found.
  void CountRequest(const policy::Route* route,
                    bool is_root,
                    RequestOutcome outcome,
                    CallReason reason,
                    LatencyMs latency);

  /// Counts the end of a root request of a client account.
  void CountAccountRequest(const std::string& account, RequestOutcome outcome);

  /// Counts a send to a second target, or to another after one turned it back
  /// unsent.
  void CountRepeat(const policy::Route& route, CallReason after);
  void CountMove(const policy::Route& route, CallReason after);

  /// Counts the time that the nodes added to an answered request.
  void RecordAddedLatency(LatencyMs added) { this->added_latency.Add(added); }

  /// Appends all series in the text exposition format.
  void Write(MetricText& out) const;

 private:
  using Reasons = std::map<CallReason, std::uint64_t>;

  struct RouteCounts {
    std::string name;
    bool is_repeatable = false;
    /// By end and reason, of requests and of calls that targets make.
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
