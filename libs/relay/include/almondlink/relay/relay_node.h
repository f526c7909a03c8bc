#ifndef ALMONDLINK_RELAY_RELAY_NODE_H_
#define ALMONDLINK_RELAY_RELAY_NODE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "almondlink/base/error.h"
#include "almondlink/base/metrics.h"
#include "almondlink/control/instance_tracker.h"
#include "almondlink/control/leave_memory.h"
#include "almondlink/policy/route_table.h"
#include "almondlink/relay/caller_listener.h"
#include "almondlink/relay/decision_exchange.h"
#include "almondlink/relay/entry_calls.h"
#include "almondlink/relay/load_exchange.h"
#include "almondlink/relay/peer_table.h"
#include "almondlink/relay/relay_settings.h"
#include "almondlink/relay/served_calls.h"

/// One node as a relay: it serves the callers on its host, the target beside it
/// and the other nodes. An adapter passes it the policy, the target's reports
/// and the addresses of other nodes, and queries its readiness.
namespace almondlink::relay {

/// Callbacks that the adapter provides.
struct RelayHooks {
  /// Parses a policy in the form that nodes exchange; null if it is invalid.
  std::function<policy::RouteTablePointer(const std::string& text)>
      parse_policy;
  /// The graceful stop that Stop() began is complete.
  std::function<void()> on_stopped;
  /// This node's incarnation number was raised above one that another node
  /// knows.
  std::function<void(std::uint64_t incarnation)> on_incarnation_changed;
  /// A trial confirmed the request as a query of death (`on_confirmed`), or a
  /// later run of it completed (`on_cleared`). The result is to be stored
  /// beyond the lifetime of the nodes. Each may be null.
  std::function<void(const control::RequestDigest& digest,
                     const control::QuarantineRecord& record)>
      on_confirmed;
  std::function<void(const control::RequestDigest& digest)> on_cleared;
  /// A target leaves: this is to be stored beyond the lifetime of the nodes,
  /// and OnLeaveStored() to be called then. May be null.
  std::function<void(const control::InstanceIncarnation& instance)> on_leave;
};

/// Not thread safe: belongs to one loop.
class RelayNode {
 public:
  RelayNode(boost::asio::io_context& loop,
            RelaySettings settings,
            RelayHooks hooks);
  ~RelayNode();
  RelayNode(const RelayNode&) = delete;
  RelayNode& operator=(const RelayNode&) = delete;

  /// Starts to listen for callers and for other nodes. Errors: kIo.
  Result<void> Start();

  /// Applies a policy if it is newer than the one in force. `text`: the form
  /// that nodes exchange. `source` is for the log.
  void ApplyPolicy(policy::RouteTablePointer table,
                   const std::string& text,
                   const char* source);

  /// Answers a call of the target instance; `is_kept`: the leave that the call
  /// announced, if any, outlasts this process.
  using Acknowledge = std::function<void(bool is_kept)>;

  /// A report of the target instance. `acknowledge` is called once: a leave is
  /// acknowledged when the store or other nodes have it, see
  /// control/leave_memory.h. Until leaves from before the start are known,
  /// reports have no effect yet. Errors: kBadMessage if the service is not in
  /// the policy or differs from the one the instance started with; the report
  /// is then ignored.
  Result<void> OnReport(const control::InstanceReport& report,
                        Acknowledge acknowledge);
  /// The instance leaves; `acknowledge` as above.
  void OnLeave(const control::InstanceIncarnation& start,
               Acknowledge acknowledge);
  /// The store has taken the leave that `on_leave` passed.
  void OnLeaveStored(const control::InstanceIncarnation& instance);
  /// The leaves from before the start that the source knows: all that the store
  /// has, or none on the first start.
  void RestoreLeaves(control::LeaveSource source,
                     const std::vector<control::InstanceIncarnation>& leaves);

  /// Merges a stored record of a confirmed query of death.
  void RestoreQuarantine(const control::RequestDigest& digest,
                         const control::QuarantineRecord& record) {
    this->entry.Quarantine().MergeStored(digest, record);
  }

  /// See QuarantineExchange.
  std::string ListQuarantined() {
    return this->entry.Quarantine().ListQuarantined(BootTimeNow());
  }
  bool LiftQuarantine(const std::string& digest) {
    return this->entry.Quarantine().Lift(digest);
  }

  /// Adds or updates another node. True if it was not known.
  bool AddNode(const NodeAddress& node) { return this->peers.AddNode(node); }
  /// Sends the addresses of nodes to all other nodes.
  void AnnounceNodes(const std::vector<NodeAddress>& nodes) {
    this->peers.AnnounceNodes(nodes);
  }
  NodeAddress SelfAddress() const { return this->peers.SelfAddress(); }
  /// Raises the incarnation of this node above that of an earlier start.
  void SetIncarnation(std::uint64_t incarnation) {
    this->peers.SetIncarnation(incarnation);
  }

  /// Whether this is one of the first `count` reachable nodes, in an order that
  /// is the same on all nodes. Selects the nodes that do work on behalf of all.
  bool IsAmongFirst(std::uint32_t count) const {
    return this->peers.RankAmongReachable() < count;
  }

  /// The same for all known nodes, reachable or not: for use before links
  /// exist.
  bool IsAmongFirstKnown(std::uint32_t count) const {
    return this->peers.RankAmongKnown() < count;
  }
  /// Whether this node is one of the few that poll the policy source.
  bool FollowsSource() const { return this->peers.FollowsSource(); }
  /// Whether another node has made itself known on a link.
  bool IsGreeted() const { return this->peers.IsGreeted(); }
  /// Dials the known nodes at once that the next tick would dial.
  void DialKnown() { this->peers.DialDue(BootTimeNow()); }
  /// Whether the links to other nodes are complete after the start, as far as
  /// can be told: no more have come for a moment.
  bool IsSettled() const { return this->is_settled; }
  /// Settles a node that is the only one of its deployment.
  void SettleIfAlone() {
    this->is_settled = this->is_settled || this->peers.All().size() == 1;
  }
  /// Sets whether the policy source can be read from here; other nodes take
  /// over while it cannot.
  void SetHasSource(bool has_source_in);

  /// Whether callers may be routed to this node: it has a policy and is not
  /// stopping.
  bool IsReady() const;

  /// Applies the settings that may change at run time, such as the service and
  /// the target's address. Requests in flight are not affected.
  void Reload(const RelaySettings& changed);

  /// Starts a graceful stop; `on_stopped` is called within the grace time.
  void Stop();

  /// Version of the policy in force; 0 if none.
  std::uint64_t PolicyVersion() const;

  /// Appends all metrics in the Prometheus text format.
  void WriteMetrics(MetricText& out);

 private:
  /// A leave that is not acknowledged yet.
  struct PendingAck {
    control::InstanceIncarnation instance;
    Millis since;
    /// The call that announced it, for the log.
    const char* call = "";
    Acknowledge acknowledge;
  };
  /// A report, or a leave, that waits for the leaves from before the start.
  struct HeldReport {
    Millis received;
    control::InstanceReport report;
    bool is_leave_call = false;
  };
  /// A leave as it is announced to other nodes.
  struct AnnouncedLeave {
    control::InstanceIncarnation instance;
    std::uint64_t revision = 0;
    bool is_stored = false;
  };
  /// The latest announcement of leaves that a link has confirmed.
  struct LeavesConfirmation {
    std::string node;
    std::uint64_t revision = 0;
  };

  PeerEvents MakePeerEvents();
  ServedEvents MakeServedEvents();
  StateFrame MakeState();
  control::DecisionSums MakeDecisions();
  void UpdateQueueOrder();
  // Return false if the frame is of a known type and cannot be decoded.
  bool OnCallFrame(const PeerLinkPointer& link, const RawFrame& frame);
  bool OnQuarantineFrame(const PeerLinkPointer& link, const RawFrame& frame);
  bool OnAnswerFrame(const PeerPointer& peer, const RawFrame& frame);
  void OnPeerConnected(const PeerPointer& peer);
  bool KnowsEarlierLeaves() const;
  void HoldReport(HeldReport held);
  void CheckHealth(Millis now);
  void OnHealth(const HealthAnswer& answer);
  bool HasEnoughPeerRecords() const;
  void StoreRecordedLeaves();
  void ApplyHeldReports();
  control::ReportEffect ApplyReport(Millis received,
                                    const control::InstanceReport& report);
  void ApplyLeave(Millis received,
                  const control::InstanceIncarnation& start,
                  const char* cause);
  void RestoreLeave(const control::InstanceIncarnation& instance,
                    const char* source);
  AnnouncedLeave& AddLeave(const control::InstanceIncarnation& instance);
  AnnouncedLeave& AnnounceLeave(const control::InstanceIncarnation& instance);
  AnnouncedLeave* FindLeave(const control::InstanceIncarnation& instance);
  LeavesFrame MakeLeaves() const;
  void AcknowledgeLeave(const control::InstanceIncarnation& instance,
                        const char* call,
                        Acknowledge acknowledge);
  control::LeaveEvidence EvidenceOf(const PendingAck& pending);
  void RunPendingAcks(Millis now);
  void UpdateLeaves(Millis now);
  void LogInstance(const char* cause) const;
  void LogAcknowledgement(Millis now,
                          const PendingAck& pending,
                          const control::LeaveEvidence& evidence,
                          bool is_kept);
  void LogEarlierLeaves(Millis now) const;
  void WriteLeaves(MetricText& out) const;
  void LogLimit() const;
  void LogLimitUsage(const LimitUsage& usage) const;
  void ScheduleTick();
  void Tick();
  void UpdateSettled(Millis now);
  void ContinueStop(Millis now);
  void AnnounceErrorRate();
  void AddSlotTime();
  void MoveWaiting(Millis now);
  control::LoadElsewhere LoadOfOtherTargets(Millis now);
  void LogQueue(Millis now);
  void WriteQueue(MetricText& out) const;
  void WriteChains(MetricText& out) const;
  void WriteCapacityMetrics(MetricText& out) const;
  TargetRules MakeTargetRules() const;
  std::map<std::uint32_t, double> ServiceMeans(Millis now);

  boost::asio::io_context& loop;
  RelaySettings settings;
  RelayHooks hooks;
  ServedCalls served;
  PeerTable peers;
  LoadExchange loads;
  DecisionExchange decisions;
  EntryCalls entry;
  CallerListener callers;
  boost::asio::steady_timer tick_timer;
  std::string policy_text;
  /// When the policy in force was applied.
  Millis policy_applied_at;
  std::vector<PendingAck> pending_acks;
  control::LeaveMemory leave_memory;
  std::deque<HeldReport> held_reports;
  /// Nodes that knew an earlier process of this one and have told what they
  /// recorded of it.
  std::set<std::string> told_records;
  bool is_checking_health = false;
  Millis next_health_check;
  /// The latest leaves of targets of this node, the latest last, and the number
  /// of the latest announcement.
  std::deque<AnnouncedLeave> announced_leaves;
  std::uint64_t leaves_revision = 0;
  std::uint64_t sent_leaves_revision = 0;
  std::map<LinkId, LeavesConfirmation> leaves_confirmed;
  /// Leaves that were acknowledged, by what keeps them, and refused.
  std::map<std::string, std::uint64_t> leave_answers;
  /// Minimum difference between the clocks of a link's ends that was observed
  /// on it; a larger one is the delay of a frame on the link.
  std::map<LinkId, std::int64_t> min_clock_offsets;
  std::uint32_t ticks = 0;
  /// When the node started, and when the number of known or reachable nodes
  /// last rose.
  Millis started_at;
  std::uint32_t reachable_nodes = 0;
  std::size_t known_nodes = 0;
  Millis nodes_changed_at;
  bool is_settled = false;
  /// Slot time that was available and that was used at this target while
  /// requests were refused because its service was short of capacity.
  double short_available_s = 0;
  double short_used_s = 0;
  /// Counters of the queue when events about it were last logged, and when.
  QueueCounters logged_queue;
  Millis queue_logged_at;
  Millis stop_started;
  /// Assumed to be readable until a read fails.
  bool has_source = true;
  bool is_stopping = false;
  bool is_stop_announced = false;
  bool is_stopped = false;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_RELAY_NODE_H_
