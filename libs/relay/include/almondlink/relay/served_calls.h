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
#include <unordered_map>
#include <utility>
#include <vector>

#include "almondlink/control/decision_sums.h"
#include "almondlink/control/demand_meter.h"
#include "almondlink/control/error_rate.h"
#include "almondlink/control/instance_tracker.h"
#include "almondlink/control/named_limit.h"
#include "almondlink/control/queue_moves.h"
#include "almondlink/control/queue_order.h"
#include "almondlink/control/target_speed.h"
#include "almondlink/control/usable_slots.h"
#include "almondlink/relay/peer_frames.h"
#include "almondlink/relay/target_pool.h"

/// Queues and dispatches the calls for the target beside this node, and rejects
/// those that cannot be served.
///
/// All traffic of the target passes through this node, so its concurrency limit
/// is exact. Calls beyond the limit are queued in one order: by their latest
/// useful start, see almondlink/control/queue_order.h, or, if that is switched
/// off, by the priority of the root request. Among equal ones, deeper calls run
/// first (more work was already spent on them), then earlier ones.
namespace almondlink::relay {

/// Id of the link that a call came by, to which its answer goes; kLocalLink for
/// calls of this node.
using LinkId = std::uint64_t;
constexpr LinkId kLocalLink = 0;

/// Properties of a running request that the calls it makes inherit.
struct RunInfo {
  std::uint32_t root_route = 0;
  /// Hash of the root request's id, the same in all calls of a chain.
  std::uint64_t root_hash = 0;
  std::uint8_t priority = 0;
  std::uint8_t depth = 0;
  bool is_repeat = false;
  Millis deadline;
};

/// Requests that were sent to a target while it named a rate limit.
struct LimitUsage {
  Millis since;
  Millis until;
  std::uint32_t sent = 0;
  /// Of them, or of those that were running at `since`: refused by the target.
  std::uint64_t refused = 0;
  /// Requests by the link that they came by.
  std::map<LinkId, std::uint32_t> sent_by_link;
};

struct ServedEvents {
  std::function<void(LinkId, const AnswerFrame&)> on_answer;
  std::function<void(LinkId, const DataFrame&)> on_part;
  /// A call was not run, or failed after it was sent; for the log.
  std::function<void(const std::string& request_id,
                     CallReason reason,
                     bool was_sent,
                     Millis waited)>
      on_failed;
  /// The process of that incarnation of the target has crashed; `running`:
  /// number of calls that were running.
  std::function<void(const control::InstanceIncarnation& incarnation,
                     std::size_t running)>
      on_target_crashed;
  /// The target names a rate limit in its answers, another one than before, or
  /// none any more; see ServedCalls::Limit().
  std::function<void()> on_limit_changed;
  /// Called every few seconds while the target names a limit.
  std::function<void(const LimitUsage& usage)> on_limit_usage;
  /// The usable slots of the target have changed by themselves.
  std::function<void()> on_slots_changed;
  /// An answer of that incarnation of the target states that it is leaving.
  std::function<void(const control::InstanceIncarnation& incarnation)>
      on_says_leaving;
};

/// How the capacity of the target is measured, see DecisionRules.
struct TargetRules {
  /// Hash of the availability zone of the node, for the sums; 0: its slots are
  /// not added to them.
  std::uint32_t zone = 0;
  /// Share of the target's slots that is used at first.
  double usable_share = 0.94;
  bool fits_targets = false;
  bool uses_warmup = false;
  bool learns_slots = false;
};

/// Counters for metrics; they never decrease.
struct ServedCounters {
  std::uint64_t calls = 0;
  std::uint64_t answered = 0;
  std::uint64_t refused_by_target = 0;
  /// Of them, those without the id of their request: on a connection that had
  /// carried no other request, and on one that had.
  std::uint64_t refused_unnamed_first = 0;
  std::uint64_t refused_unnamed_later = 0;
  std::uint64_t not_sent = 0;
  /// Of them, those that were beyond the target's rate limit.
  std::uint64_t rate_limited = 0;
  std::uint64_t broken = 0;
  std::uint64_t cancelled = 0;
  /// Requests that were sent to the target.
  std::uint64_t sent = 0;
  /// Crashes of the target's process that were detected.
  std::uint64_t target_crashes = 0;
};

/// Counters of the queue; they never decrease.
struct QueueCounters {
  /// Calls that had to wait for a slot.
  std::uint64_t queued = 0;
  /// Calls that left the queue unrun because their time was over, and the same
  /// by class of the root request.
  std::uint64_t left = 0;
  std::map<std::uint32_t, std::uint64_t> left_by_class;
  /// Calls that were run while a more urgent one was queued.
  std::uint64_t overtook = 0;
  /// Calls that were returned because other targets had free slots, and those
  /// that stayed only because of the bound on moves.
  std::uint64_t moved = 0;
  std::uint64_t moves_denied = 0;
};

/// Not thread safe: belongs to one loop.
class ServedCalls {
 public:
  /// `names` must outlive it. `drain`: time after which a draining instance
  /// must receive no more calls.
  ServedCalls(boost::asio::io_context& loop,
              const HeaderNames& names,
              Millis drain,
              ServedEvents events);
  ~ServedCalls();
  ServedCalls(const ServedCalls&) = delete;
  ServedCalls& operator=(const ServedCalls&) = delete;

  void SetTargetAddress(const boost::asio::ip::tcp::endpoint& address);

  /// Sets how the target is measured. What was learned is kept unless it
  /// follows from a setting that has changed.
  void SetTargetRules(const TargetRules& rules);

  /// Sets the mean time of a run by class over all targets of the service.
  void SetServiceMeans(Millis now,
                       const std::map<std::uint32_t, double>& means);
  /// Speed of the target relative to its service; 0 if unknown.
  double Speed(Millis now) const;
  /// Time left of the warm-up that the target announced.
  Millis WarmupLeft(Millis now) const;

  /// Sets whether calls that arrive from now on are queued by their latest
  /// useful start, or by priority alone.
  void SetQueueOrder(bool is_by_due_in) { this->is_by_due = is_by_due_in; }

  /// Accepts a call; exactly one answer follows unless it is cancelled.
  /// `transit_delay`: time that the frame was delayed on the link, which is
  /// subtracted from the remaining time.
  void OnCall(LinkId link, const CallFrame& frame, Millis transit_delay);
  /// Cancels a call. A running call that must not run twice is allowed to
  /// finish, without an answer.
  void OnCancel(LinkId link, std::uint32_t id);
  /// Flow control: the receiver consumed `bytes` of the answer.
  void OnWindow(LinkId link, std::uint32_t id, std::uint32_t bytes);
  /// Cancels all calls of the link.
  void OnLinkClosed(LinkId link);

  /// Applies reports of the target instance that arrived at `received`; see
  /// control/instance_tracker.h. RestoreDraining() applies a drain from before
  /// the start of this node.
  control::ReportEffect OnReport(Millis received,
                                 const control::InstanceReport& report);
  control::ReportEffect OnLeave(
      Millis received,
      const control::InstanceIncarnation& incarnation);
  control::ReportEffect RestoreDraining(
      const control::InstanceIncarnation& incarnation);
  /// Applies a rate limit that another node knows of that incarnation, unless
  /// the target has answered since.
  void RestoreLimit(const control::InstanceIncarnation& incarnation,
                    double per_s);

  /// The running request with that id, if there is one.
  std::optional<RunInfo> FindRun(const std::string& request_id) const;

  /// Counts a call that a running request of the target made.
  void CountCallOfRun() { ++this->calls_of_runs.events; }
  /// Adds the runs of a completed call, and of the calls further down, to the
  /// running request that made it.
  void AddRunCounts(const std::string& request_id,
                    const control::CallCounts& ran);
  /// Number of runs at `service` that the calls of a running request have
  /// caused so far.
  std::uint32_t CountRunsAt(const std::string& request_id,
                            const std::string& service) const;
  /// Mean number of calls that a run makes, over the last seconds.
  double CallsPerRun() const;

  /// Current share of the target's answers that are its own failures, 0 to 1.
  double ErrorRate() const;

  /// Adds what this target contributes to the sums of all nodes.
  void AddDecisions(control::DecisionSums& sums);

  /// Handles timeouts and updates the demand meter; call it every few tens of
  /// milliseconds.
  void Sweep(Millis now);

  /// Returns queued calls for which other targets have free slots, within the
  /// bound of control/queue_moves.h. Call it as often as Sweep(), also while no
  /// call is queued.
  void MoveWaiting(Millis now,
                   const control::LoadElsewhere& elsewhere,
                   const control::MoveRules& rules);

  const control::InstanceTracker& Ledger() const { return this->tracker; }
  /// Whether the target's process is known to have crashed and has not reported
  /// since.
  bool IsTargetGone() const { return this->is_target_gone; }
  /// The rate limit that the target names.
  const control::NamedLimit& Limit() const { return this->limit; }
  const control::DemandMeter& Meter() const { return this->meter; }
  const ServedCounters& Counters() const { return this->counters; }
  const QueueCounters& QueueCounts() const { return this->queue_counters; }
  std::uint32_t Running() const { return this->running; }
  std::uint32_t Waiting() const;
  std::uint64_t ConnectCount() const { return this->pool.ConnectCount(); }
  /// See TargetPool.
  void CheckHealth(const std::string& path,
                   std::function<void(const HealthAnswer&)> done) const {
    this->pool.CheckHealth(path, std::move(done));
  }

 private:
  struct Call;
  using CallKey = std::pair<LinkId, std::uint32_t>;
  using CallPointer = std::shared_ptr<Call>;

  void RecordRefusal(const Call& call, const AnswerHead& head);
  void Enqueue(Millis now, const CallPointer& call);
  void Dequeue(const CallPointer& call);
  void CountWait(const CallPointer& call);
  void CountOvertaking(const Call& call);
  void RejectOverflow();
  void RejectQueue(CallReason reason);
  void RejectExpired(Millis now);
  void RejectLate(Millis now, const CallPointer& call);
  double MeanTimeInProgress(Millis now) const;
  bool CanStillStart(Millis now, const Call& call) const;
  LatencyMs LikelyMinRun(Millis now, const Call& call) const;
  void FillSlots(Millis now);
  void Dispatch(Millis now, const CallPointer& call);
  void RejectMovable();
  void RejectHopeless(Millis now);
  void SetLoad(AnswerFrame& answer);
  TargetRequest MakeRequest(Call& call, Millis left) const;
  void OnAnswer(const CallPointer& call,
                const AnswerHead& head,
                const std::string& body,
                bool has_more);
  void OnPart(const CallPointer& call,
              const std::string& part,
              bool is_last,
              bool is_broken);
  void ApplyNotices(const Call& call, const AnswerHead& head);
  void ForgetNotices();
  void StartLimitUsage(Millis now);
  void CountSentUnderLimit(LinkId link);
  void ReportLimitUsage(Millis now);
  void EndRun(const CallPointer& call);
  void EndRunsOfPreviousIncarnation();
  void OnConnectionLost(const CallPointer& call);
  void EndPartialAnswer(const CallPointer& call, bool is_crash);
  void RecordCancelled(Millis now, const CallPointer& call);
  void ReportCancelled();
  void StartCrashCheck();
  void FinishCrashCheck(bool is_connect_refused);
  bool IsCrash(bool is_connect_refused) const;
  void RecordWorkTime(const Call& call, LatencyMs work);
  void ForgetCapacity();
  bool IsWarmingUp(Millis now) const;
  bool IsMeasurable(const Call& call) const;
  double Occupancy() const;
  void BeginMeasure(Call& call) const;
  void MeasureCompleted(Call& call, LatencyMs work);
  void MeasureCut(Call& call);
  void UpdateCapacity(Millis now);
  void LogCapacity(Millis now);
  void AddZoneSlots(control::DecisionSums& sums) const;
  void Reject(const CallPointer& call, CallReason reason);
  void SendOutcome(const CallPointer& call,
                   CallOutcome outcome,
                   CallReason reason);
  CallReason ReasonToReject(Millis now, const CallFrame& frame);
  CallReason ReasonOfLateCall(Millis now, const Call& call) const;
  bool IsPastDrain(Millis now) const;
  void AddRefusals(Millis now, control::DecisionSums& sums);

  const HeaderNames& names;
  Millis drain;
  ServedEvents events;
  TargetPool pool;
  control::InstanceTracker tracker;
  control::DemandMeter meter;
  ServedCounters counters;
  control::NamedLimit limit;
  LimitUsage limit_usage;
  std::uint64_t refused_before_usage = 0;
  /// Limit that another node knows of an incarnation that has not reported
  /// itself here.
  control::InstanceIncarnation limited_incarnation;
  std::optional<double> remembered_limit;
  /// Whether the current incarnation has answered a request, and has stated
  /// that it is leaving.
  bool has_answered = false;
  bool has_said_leaving = false;
  control::ErrorRate errors;
  std::map<CallKey, CallPointer> calls;
  /// The queued calls, in the order in which they run, and in the order in
  /// which they are kept if there are too many.
  std::map<control::QueueKey, CallPointer, control::RunsBefore> queue;
  std::map<control::QueueKey, CallPointer, control::KeptBefore> kept;
  bool is_by_due = false;
  control::RunEstimates run_estimates;
  QueueCounters queue_counters;
  control::MoveBudget move_budget;
  std::unordered_map<std::string, CallPointer> runs;
  /// Calls whose connection closed without an answer, while it is checked
  /// whether the target's process has crashed.
  std::vector<CallPointer> awaiting_crash_check;
  bool is_checking_crash = false;
  /// Calls that were cancelled while they ran. If the target crashes soon
  /// after, their senders are informed, since the call may be the cause.
  struct CancelledCall {
    LinkId link = 0;
    std::uint32_t id = 0;
    Millis at;
  };
  std::deque<CancelledCall> recently_cancelled;
  /// The target's process has crashed; reset by its next report.
  bool is_target_gone = false;
  std::uint64_t arrivals = 0;
  std::uint32_t running = 0;
  Millis last_sweep;
  control::RateMeter calls_of_runs;
  control::RateMeter started_runs;
  TargetRules target_rules;
  control::SpeedMeter speed;
  control::UsableSlotsMeter usable;
  bool was_warming_up = false;
  /// As last logged, and when.
  double logged_speed = 1;
  double logged_share = 0.94;
  Millis capacity_logged_at;
  /// Requests sent to the target and refused by it unrun, and the counters as
  /// of the last update.
  struct RefusalMeter {
    control::RateMeter sent;
    control::RateMeter refused;
    std::uint64_t sent_before = 0;
    std::uint64_t refused_before = 0;
    Millis updated;
  };
  RefusalMeter refusal_meter;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_SERVED_CALLS_H_
