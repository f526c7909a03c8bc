#ifndef ALMONDLINK_RELAY_QUARANTINE_EXCHANGE_H_
#define ALMONDLINK_RELAY_QUARANTINE_EXCHANGE_H_

#include <functional>
#include <map>
#include <string>

#include "almondlink/control/quarantine.h"
#include "almondlink/control/trial_registry.h"
#include "almondlink/relay/peer_table.h"
#include "almondlink/relay/relay_settings.h"

/// Exchange of query-of-death records between nodes.
///
/// Each node broadcasts crashes of targets, with the requests that were
/// running, and completed runs of such requests as it observes them. Trials of
/// quarantined requests are granted by one node for each service, the trial
/// coordinator. The rules are in almondlink/control/quarantine.h.
///
/// Alternatives: a counter for each request at one node, asked before each
/// send, has no races, but crashes are not counted while that node is
/// unreachable. Counting only at the target's node is always up to date, but
/// lets a request crash each target several times. With broadcasts every node
/// limits its own sends by what it knows, whichever nodes it can reach; only
/// trials need a request to another node.
namespace almondlink::relay {

/// Not thread safe: belongs to one loop.
class QuarantineExchange {
 public:
  /// Called when a trial of the request may begin at the target beside `node`.
  using TrialPermitHandler =
      std::function<void(const control::RequestDigest& digest,
                         const std::string& node)>;

  QuarantineExchange(const RelaySettings& settings,
                     PeerTable& peers,
                     TrialPermitHandler on_permit);
  QuarantineExchange(const QuarantineExchange&) = delete;
  QuarantineExchange& operator=(const QuarantineExchange&) = delete;

  /// Sets the handlers that store results of trials beyond the lifetime of the
  /// nodes: `on_confirmed` for a confirmed query of death, `on_cleared` for a
  /// request that completed after that. They are called only on the node that
  /// ran the trial. Each may be null.
  void SetConfirmationHandlers(
      std::function<void(const control::RequestDigest&,
                         const control::QuarantineRecord&)> on_confirmed,
      std::function<void(const control::RequestDigest&)> on_cleared);
  /// Merges a record that was stored by `on_confirmed`.
  void MergeStored(const control::RequestDigest& digest,
                   const control::QuarantineRecord& record);

  /// Whether no record exists for any request with this path hash. If so, the
  /// digest of the request need not be computed.
  bool IsPathUnknown(std::uint64_t path) const;
  bool IsEmpty() const { return this->table.records.empty(); }

  control::QuarantineDecision Decide(const control::RequestDigest& digest,
                                     Millis now) const;

  /// Records that the request was running when a target crashed, and broadcasts
  /// it. Returns false if this crash was already recorded for it.
  bool RecordTargetCrash(const control::RequestDigest& digest,
                         const control::TargetCrash& crash,
                         Millis now);
  /// Records that a run of the request completed, and broadcasts it. Returns
  /// false if there was no record of the request.
  bool RecordCompletedRun(const control::RequestDigest& digest);

  /// Releases the request with that digest from quarantine on behalf of an
  /// operator, as a completed run would, and broadcasts it. Returns false if it
  /// has no record here.
  bool Lift(const std::string& digest);

  /// Lists the quarantined requests as tab-separated lines with a header:
  /// digest, crashes, failed trials, whether the request runs on trial or is
  /// refused, time until the next trial and time since the last crash in
  /// milliseconds.
  std::string ListQuarantined(Millis now) const;

  /// Requests a trial from the coordinator, at most once per interval for each
  /// request. `remaining`: time for which the caller still waits.
  void RequestTrial(const control::RequestDigest& digest,
                    const std::string& service,
                    Millis remaining,
                    Millis now);
  /// Reports to the coordinator that a granted trial has ended or cannot begin.
  void EndTrial(const control::RequestDigest& digest,
                const std::string& service);

  /// Handlers of frames from other nodes.
  void OnUpdates(const QuarantineFrame& frame);
  void OnTrialRequest(const PeerLinkPointer& link,
                      const TrialRequestFrame& request);
  void OnTrialResponse(const TrialResponseFrame& answer);
  void OnTrialEnded(const TrialEndedFrame& ended);
  /// Sends all suspect requests to a peer whose link became usable.
  void OnPeerConnected(const PeerPointer& peer);

  /// Removes expired records; call every 100 ms.
  void Tick(Millis now);

  const control::QuarantineRecord* Find(
      const control::RequestDigest& digest) const {
    return control::FindQuarantine(digest, this->table);
  }
  const control::QuarantineTable& Table() const { return this->table; }
  static const control::QuarantineRules& Rules();

 private:
  PeerPointer TrialCoordinator(const std::string& service) const;
  std::string GrantTrial(const control::RequestDigest& digest,
                         const std::string& service,
                         Millis remaining,
                         Millis now);
  void Broadcast(const QuarantineFrame& frame);

  const RelaySettings& settings;
  PeerTable& peers;
  TrialPermitHandler on_permit;
  std::function<void(const control::RequestDigest&,
                     const control::QuarantineRecord&)>
      on_confirmed;
  std::function<void(const control::RequestDigest&)> on_cleared;
  control::QuarantineTable table;
  /// Trials of the services that this node coordinates.
  control::TrialRegistry trials;
  /// When the trial of each request was last requested.
  std::map<control::RequestDigest, Millis> last_requested;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_QUARANTINE_EXCHANGE_H_
