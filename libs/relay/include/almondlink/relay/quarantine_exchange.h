#ifndef ALMONDLINK_RELAY_QUARANTINE_EXCHANGE_H_
#define ALMONDLINK_RELAY_QUARANTINE_EXCHANGE_H_

#include <functional>
#include <map>
#include <string>

#include "almondlink/control/blame.h"
#include "almondlink/control/trial_book.h"
#include "almondlink/relay/peer_table.h"
#include "almondlink/relay/relay_settings.h"

/// Requests that targets ended under, between nodes: each node tells all others
/// of ends and of whole runs as it learns of them, and asks the node that the
/// service's name chooses for trials. The rules are in
/// almondlink/control/blame.h.
///
/// Ways weighed: the count at the node that the digest chooses, asked before
/// each send, knows no race, but an end is counted nowhere while that node is
/// cut off; the count at the target's node alone is never late, but each target
/// would have to end three times. Told to all, what is known bounds what every
/// node sends, with whoever it is in touch; only trials are asked for.
namespace almondlink::relay {

/// Not thread safe: belongs to one loop.
class QuarantineExchange {
 public:
  /// A trial may begin at the target beside the node named.
  using TrialPermitHandler =
      std::function<void(const control::RequestDigest& digest,
                         const std::string& node)>;

  QuarantineExchange(const RelaySettings& settings,
                     PeerTable& peers,
                     TrialPermitHandler on_permit);
  QuarantineExchange(const QuarantineExchange&) = delete;
  QuarantineExchange& operator=(const QuarantineExchange&) = delete;

  /// Who keeps what a trial has proved where it outlasts all nodes: called by
  /// the node that began the trial only. Each may be null.
  void SetConfirmationHandlers(
      std::function<void(const control::RequestDigest&,
                         const control::BlameRecord&)> on_guilty,
      std::function<void(const control::RequestDigest&)> on_cleared);
  /// Takes what was kept.
  void MergeStored(const control::RequestDigest& digest,
                   const control::BlameRecord& record);

  /// Whether nothing is known of any request with this path. Where it holds no
  /// digest is needed.
  bool IsPathUnknown(std::uint64_t path) const;
  bool IsEmpty() const { return this->table.records.empty(); }

  control::BlameVerdict Decide(const control::RequestDigest& digest,
                               Millis now) const;

  /// The request was under way where a target ended; told to all. True if that
  /// was not known.
  bool RecordTargetCrash(const control::RequestDigest& digest,
                         const control::TargetEnd& end,
                         Millis now);
  /// A target lived through it; told to all. True if anything was known.
  bool RecordCompletedRun(const control::RequestDigest& digest);

  /// The operator lets go of the request with that digest, as a whole run
  /// would; told to all. False if nothing is known of it here.
  bool Lift(const std::string& digest);

  /// A line for each request that is held, with a head: digest, ends, failed
  /// trials, whether it is tried or refused, and milliseconds.
  std::string ListQuarantined(Millis now) const;

  /// Asks for a trial, if it is time to.
  void RequestTrial(const control::RequestDigest& digest,
                    const std::string& service,
                    Millis left,
                    Millis now);
  /// The trial that was permitted is over, or cannot begin.
  void EndTrial(const control::RequestDigest& digest,
                const std::string& service);

  /// Frames of other nodes.
  void OnUpdates(const QuarantineFrame& frame);
  void OnTrialRequest(const PeerLinkPointer& link,
                      const TrialRequestFrame& ask);
  void OnTrialResponse(const TrialResponseFrame& answer);
  void OnTrialEnded(const TrialEndedFrame& over);
  /// A link to the node is usable: it is told of the requests that are held.
  void OnPeerConnected(const PeerPointer& peer);

  /// Forgets what is too old; call every 100 ms.
  void Tick(Millis now);

  const control::BlameRecord* Find(const control::RequestDigest& digest) const {
    return control::FindBlame(digest, this->table);
  }
  const control::BlameTable& Table() const { return this->table; }
  static const control::BlameRules& Rules();

 private:
  PeerPointer TrialCoordinator(const std::string& service) const;
  std::string GrantTrial(const control::RequestDigest& digest,
                         const std::string& service,
                         Millis left,
                         Millis now);
  void Broadcast(const QuarantineFrame& frame);

  const RelaySettings& settings;
  PeerTable& peers;
  TrialPermitHandler on_permit;
  std::function<void(const control::RequestDigest&,
                     const control::BlameRecord&)>
      on_confirmed;
  std::function<void(const control::RequestDigest&)> on_cleared;
  control::BlameTable table;
  /// Of the services that this node permits the trials of.
  control::TrialBook trials;
  /// When the trial of a request was asked for last.
  std::map<control::RequestDigest, Millis> last_requested;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_QUARANTINE_EXCHANGE_H_
