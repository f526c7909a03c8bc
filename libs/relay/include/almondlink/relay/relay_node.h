#ifndef ALMONDLINK_RELAY_RELAY_NODE_H_
#define ALMONDLINK_RELAY_RELAY_NODE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "almondlink/base/error.h"
#include "almondlink/base/metrics.h"
#include "almondlink/control/instance_ledger.h"
#include "almondlink/policy/route_table.h"
#include "almondlink/relay/caller_listener.h"
#include "almondlink/relay/entry_calls.h"
#include "almondlink/relay/peer_table.h"
#include "almondlink/relay/relay_settings.h"
#include "almondlink/relay/served_calls.h"

/// One node as a relay: callers on its host, the target beside it, and the
/// other nodes. An adapter feeds it the policy, the reports of the target and
/// the addresses of other nodes, and asks it whether it is ready.
namespace almondlink::relay {

/// What the adapter does for the node.
struct RelayHooks {
  /// Turns a policy as it is passed between nodes into a table; null if it is
  /// none.
  std::function<policy::RouteTablePointer(const std::string& text)> parse;
  /// The node has nothing left to do after Stop().
  std::function<void()> on_stopped;
  /// This start of the node has another number from now on, above one that
  /// another node has met.
  std::function<void(std::uint64_t incarnation)> on_incarnation;
  /// A trial proved that the request ends targets, or a later one that it does
  /// not: to be kept where it outlasts all nodes. Each may be null.
  std::function<void(const control::RequestDigest& digest,
                     const control::BlameRecord& record)>
      on_guilty;
  std::function<void(const control::RequestDigest& digest)> on_cleared;
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

  /// Opens the addresses. Errors: kIo.
  Result<void> Start();

  /// Takes a policy if it is newer than the one in force. `text`: the form that
  /// is passed to other nodes. `source` is for the log.
  void TakePolicy(policy::RouteTablePointer table,
                  const std::string& text,
                  const char* source);

  /// A report of the instance; `acknowledge` is called once the report can be
  /// acknowledged: a leave is first made known to another node, so that a
  /// restart of this one does not forget it. Errors: kBadMessage if the service
  /// is not one of the policy's or not that of the start; nothing is taken
  /// then.
  Result<void> OnReport(const control::InstanceReport& report,
                        std::function<void()> acknowledge);
  void OnLeave(const control::InstanceStart& start,
               std::function<void()> acknowledge);

  /// Takes what was kept of a request that ended targets.
  void TakeGuilty(const control::RequestDigest& digest,
                  const control::BlameRecord& record) {
    this->entry.Quarantine().Take(digest, record);
  }

  /// See BlameExchange.
  std::string ListHeld() {
    return this->entry.Quarantine().ListHeld(BootTimeNow());
  }
  bool LiftBlame(const std::string& digest) {
    return this->entry.Quarantine().Lift(digest);
  }

  /// Makes another node known. True if nothing was known of it.
  bool Learn(const NodeAddress& node) { return this->peers.Learn(node); }
  /// Makes nodes known to all others.
  void TellNodes(const std::vector<NodeAddress>& nodes) {
    this->peers.TellNodes(nodes);
  }
  NodeAddress Self() const { return this->peers.Self(); }
  /// Numbers this start anew, above an earlier one's.
  void SetIncarnation(std::uint64_t incarnation) {
    this->peers.SetIncarnation(incarnation);
  }

  /// Whether this is one of the first `count` nodes in an order that all nodes
  /// know, of those that are reachable: for work that a few do for all.
  bool IsAmongFirst(std::uint32_t count) const {
    return this->peers.OwnRank() < count;
  }

  /// The same of all nodes that are known, reachable or not: before links are
  /// there.
  bool IsAmongFirstKnown(std::uint32_t count) const {
    return this->peers.OwnRankOfKnown() < count;
  }
  /// Whether this node is one of the few that read the source of the policy.
  bool FollowsSource() const { return this->peers.FollowsSource(); }
  /// Whether the source of the policy can be read from here; others stand in
  /// while it cannot.
  void SetHasSource(bool has_source_in);

  /// Whether callers may be sent here.
  bool IsReady() const;

  /// Takes over what may change while the node runs: the service and the
  /// target's address. Nothing in flight is touched.
  void Reload(const RelaySettings& changed);

  /// Starts a graceful stop; `on_stopped` follows within the grace time.
  void Stop();

  /// Version of the policy in force; 0 if none.
  std::uint64_t PolicyVersion() const;

  /// Appends counters and latencies in the text exposition format.
  void WriteMetrics(MetricText& out);

 private:
  struct PendingAck {
    ReportNumber report;
    Millis until;
    std::function<void()> acknowledge;
  };

  PeerEvents PeerHooks();
  ServedEvents ServedHooks();
  StateFrame MakeState();
  // False: the frame is of a known type and cannot be decoded.
  bool OnCallFrame(const PeerLinkPointer& link, const RawFrame& frame);
  bool OnBlameFrame(const PeerLinkPointer& link, const RawFrame& frame);
  bool OnAnswerFrame(const PeerPointer& peer, const RawFrame& frame);
  void OnState(const PeerPointer& peer);
  void AcknowledgeLeave(std::function<void()> acknowledge);
  void RunAcks(Millis now, const std::optional<ReportNumber>& seen);
  void LogInstance() const;
  void ScheduleTick();
  void Tick();
  void ContinueStop(Millis now);
  void NoteSlotTime();
  void WriteChains(MetricText& out) const;

  boost::asio::io_context& loop;
  RelaySettings settings;
  RelayHooks hooks;
  ServedCalls served;
  PeerTable peers;
  EntryCalls entry;
  CallerListener callers;
  boost::asio::steady_timer tick_timer;
  std::string policy_text;
  /// When the policy in force was taken.
  Millis policy_taken;
  std::vector<PendingAck> pending_acks;
  /// Least difference between the clocks of a link's ends, to tell frames that
  /// were held up.
  std::map<LinkId, std::int64_t> clock_offsets;
  std::uint32_t ticks = 0;
  /// Slot time that there was, and that was used, while requests were refused
  /// for want of the target beside this node.
  double short_there_s = 0;
  double short_used_s = 0;
  Millis stop_started;
  /// Until a read has failed it is taken for readable.
  bool has_source = true;
  bool is_stopping = false;
  bool is_leaving_told = false;
  bool is_stopped = false;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_RELAY_NODE_H_
