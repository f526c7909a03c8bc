#ifndef ALMONDLINKD_ENTRY_CALL_H_
#define ALMONDLINKD_ENTRY_CALL_H_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "almondlink/base/metrics.h"
#include "almondlink/control/retry_grant.h"
#include "almondlink/control/usage.h"
#include "almondlink/mesh/peer_links.h"
#include "almondlink/server/caller_server.h"
#include "almondlinkd/classify.h"
#include "almondlinkd/trace_recorder.h"

namespace almondlink::daemon {

/// One call on its way: attempts go out one after the other until an answer is
/// whole, or grant, budget, targets or time are used up.
struct EntryCall {
  server::CallerRequest request;
  std::shared_ptr<server::CallerExchange> exchange;
  ClassifiedCall call;
  std::uint64_t hash = 0;
  Millis arrived;
  LatencyMs started;
  /// Held by a root request; calls within work use the grant of the work.
  control::RetryGrant grant;
  /// Attempts by this node, and below it.
  std::uint32_t attempts = 0;
  std::uint32_t attempts_below = 0;
  std::uint32_t retries = 0;
  std::vector<std::string> tried;
  bool is_done = false;
  bool is_recalling = false;
  bool is_minting = false;
  bool is_sent_to_trial = false;
  // The attempt that is out.
  std::string target_node;
  std::uint32_t lent = 0;
  /// On the running clock.
  LatencyMs sent;
  std::optional<mesh::CallId> out;
  std::unique_ptr<boost::asio::steady_timer> timer;
};

/// Hash that tells one call of a service, or one request of a caller, from
/// others; never 0.
std::uint64_t HashOf(const server::CallerRequest& request,
                     const ClassifiedCall& call);

/// Takes out the fields that almondlink sets anew at each hop.
void DropOwnHeaders(server::Headers& headers);

/// The message for the attempt that `entry` is about to make.
wire::Call MakeCall(const EntryCall& entry, Millis left);

/// What one entry loop counts. Not thread safe; one per loop.
class CallAccounts {
 public:
  explicit CallAccounts(TraceRecorder& recorder) : recorder(recorder) {}

  /// Counts a finished call; `status` is what the caller got.
  void NoteFinished(const EntryCall& entry,
                    ErrorKind kind,
                    std::uint32_t status);

  /// Counts a request that was not understood. A team that is not known is
  /// counted as `unknown`.
  void NoteNotUnderstood(const std::string& team, ErrorKind kind);

  /// Counts work whose answer nobody receives.
  void NoteWasted(const EntryCall& entry);

  /// Notes the time that almondlink added to an answered call.
  void NoteAdded(const EntryCall& entry, std::uint64_t target_us);

  const control::UsageTable& Usage() const { return this->usage; }
  LatencySummary CallTime() const { return this->call_time.Summary(); }
  LatencySummary AddedTime() const { return this->added_time.Summary(); }

 private:
  TraceRecorder& recorder;
  control::UsageTable usage;
  LatencyRecorder call_time;
  LatencyRecorder added_time;
};

}  // namespace almondlink::daemon

#endif  // ALMONDLINKD_ENTRY_CALL_H_
