#ifndef ALMONDLINK_RELAY_SERVED_CALLS_H_
#define ALMONDLINK_RELAY_SERVED_CALLS_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "almondlink/control/demand_meter.h"
#include "almondlink/control/error_share.h"
#include "almondlink/control/instance_ledger.h"
#include "almondlink/relay/peer_frames.h"
#include "almondlink/relay/target_pool.h"

/// Calls for the target beside this node: who runs, who waits, who is sent
/// back.
///
/// This node sees all traffic of its target, so it holds the target's
/// concurrency exactly. What does not fit waits in one order: by the priority
/// of the root request, then deeper calls first (more was spent on them), then
/// by arrival.
namespace almondlink::relay {

/// Where an answer goes: the link that the call came by, or 0 for this node.
using LinkId = std::uint64_t;
constexpr LinkId kLocalLink = 0;

/// What is known of a running request, for the calls that it makes.
struct RunInfo {
  std::uint32_t root_route = 0;
  /// Of the id of the root request; all calls of a chain have the same.
  std::uint64_t root_hash = 0;
  std::uint8_t priority = 0;
  std::uint8_t depth = 0;
  bool is_repeat = false;
  Millis deadline;
};

struct ServedEvents {
  std::function<void(LinkId, const AnswerFrame&)> on_answer;
  std::function<void(LinkId, const DataFrame&)> on_part;
  /// A call ended without having run, or broke; for the log.
  std::function<void(const std::string& request_id,
                     CallReason reason,
                     bool was_sent,
                     Millis waited)>
      on_failed;
  /// The process of that start of the target is gone; `running`: calls that
  /// ended with it.
  std::function<void(const control::InstanceStart& start, std::size_t running)>
      on_target_crashed;
};

/// Counters for metrics; all only grow.
struct ServedCounters {
  std::uint64_t calls = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused_by_target = 0;
  std::uint64_t not_sent = 0;
  std::uint64_t broken = 0;
  std::uint64_t cancelled = 0;
  /// Starts of the target whose process was found gone.
  std::uint64_t target_crashes = 0;
};

/// Not thread safe: belongs to one loop.
class ServedCalls {
 public:
  /// `names` must outlive it. `drain`: time after which a leaving instance must
  /// get nothing more.
  ServedCalls(boost::asio::io_context& loop,
              const HeaderNames& names,
              Millis drain,
              ServedEvents events);
  ~ServedCalls();
  ServedCalls(const ServedCalls&) = delete;
  ServedCalls& operator=(const ServedCalls&) = delete;

  void SetTargetAddress(const boost::asio::ip::tcp::endpoint& address);

  /// Part of the target's slots that is used.
  void SetUsableShare(double part) { this->ledger.usable_part = part; }

  /// Takes a call; exactly one answer follows unless it is cancelled.
  /// `transit_delay`: time that the frame was transit_delay up on its way.
  void OnCall(LinkId link, const CallFrame& frame, Millis transit_delay);
  void OnCancel(LinkId link, std::uint32_t id);
  void OnWindow(LinkId link, std::uint32_t id, std::uint32_t bytes);
  void OnLinkClosed(LinkId link);

  /// Reports of the instance; see control/instance_ledger.h.
  control::ReportEffect OnReport(const control::InstanceReport& report);
  control::ReportEffect OnLeave(const control::InstanceStart& start);
  control::ReportEffect RestoreDraining(const control::InstanceStart& start);

  /// The run of the target that `request_id` belongs to, if it is running.
  std::optional<RunInfo> FindRun(const std::string& request_id) const;

  /// A running request of the target made a call.
  void CountCallOfRun() { ++this->calls_of_runs.events; }
  /// A call that a running request made has ended; `ran` ran for it.
  void AddRunCounts(const std::string& request_id,
                    const control::CallCounts& ran);
  /// Runs at `service` that the calls of a running request have led to so far.
  std::uint32_t CountRunsAt(const std::string& request_id,
                            const std::string& service) const;
  /// Calls that a run makes, on average over the last seconds.
  double CallsPerRun() const;

  /// Part of the target's answers that are failures of its own, now.
  double ErrorRate() const;

  /// Time-outs and the meter; call every few tens of milliseconds.
  void Sweep(Millis now);

  const control::InstanceLedger& Ledger() const { return this->ledger; }
  /// Whether the process of the target is known to be gone.
  bool IsTargetGone() const { return this->is_target_gone; }
  const control::DemandMeter& Meter() const { return this->meter; }
  const ServedCounters& Counters() const { return this->counters; }
  std::uint32_t Running() const { return this->running; }
  std::uint32_t Waiting() const;
  std::uint64_t ConnectCount() const { return this->pool.ConnectCount(); }

 private:
  struct Call;
  using CallKey = std::pair<LinkId, std::uint32_t>;
  using CallPointer = std::shared_ptr<Call>;
  /// Priority, then depth (deeper first), then arrival.
  using Order = std::tuple<std::uint8_t, int, std::uint64_t>;

  void FillSlots(Millis now);
  void Dispatch(Millis now, const CallPointer& call);
  void SetLoad(AnswerFrame& answer) const;
  TargetRequest MakeRequest(Call& call, Millis left) const;
  void OnAnswer(const CallPointer& call,
                const AnswerHead& head,
                const std::string& body,
                bool has_more);
  void OnPart(const CallPointer& call,
              const std::string& part,
              bool is_last,
              bool is_broken);
  void EndRun(const CallPointer& call);
  void EndRunsOfPreviousIncarnation();
  void OnConnectionLost(const CallPointer& call);
  void EndPartialAnswer(const CallPointer& call, bool is_target_ended);
  void RecordCancelled(Millis now, const CallPointer& call);
  void ReportCancelled();
  void StartCrashCheck();
  void FinishCrashCheck(bool is_refused);
  bool IsCrash(bool is_refused) const;
  void RecordWorkTime(const Call& call, LatencyMs work);
  void Reject(const CallPointer& call, CallReason reason);
  void SendOutcome(const CallPointer& call,
                   CallOutcome outcome,
                   CallReason reason);
  CallReason ReasonToReject(Millis now, const CallFrame& frame) const;
  bool IsPastDrain(Millis now) const;

  const HeaderNames& names;
  Millis drain;
  ServedEvents events;
  TargetPool pool;
  control::InstanceLedger ledger;
  control::DemandMeter meter;
  ServedCounters counters;
  control::ErrorShare errors;
  std::map<CallKey, CallPointer> calls;
  std::map<Order, CallPointer> queue;
  std::unordered_map<std::string, CallPointer> runs;
  /// Calls whose connection closed without an answer, while it is found out
  /// whether the target's process is gone.
  std::vector<CallPointer> awaiting_crash_check;
  bool is_checking_crash = false;
  /// Calls that were cancelled while they ran: their target may yet end under
  /// them.
  struct CancelledCall {
    LinkId link = 0;
    std::uint32_t id = 0;
    Millis at;
  };
  std::deque<CancelledCall> recently_cancelled;
  /// The target's process is gone; until it reports again.
  bool is_target_gone = false;
  std::uint64_t arrivals = 0;
  std::uint32_t running = 0;
  Millis last_sweep;
  control::RateMeter calls_of_runs;
  control::RateMeter started_runs;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_SERVED_CALLS_H_
