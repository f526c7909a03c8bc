#ifndef ALMONDLINK_RELAY_BLAME_EXCHANGE_H_
#define ALMONDLINK_RELAY_BLAME_EXCHANGE_H_

#include <functional>
#include <map>
#include <string>

#include "almondlink/control/quarantine.h"
#include "almondlink/control/trial_registry.h"
#include "almondlink/relay/peer_table.h"
#include "almondlink/relay/relay_settings.h"

/// Requests that targets ended under, between nodes: each node tells all others
/// of ends and of whole runs as it learns of them, and asks the node that the
/// service's name chooses for trials. The rules are in
/// almondlink/control/quarantine.h.
///
/// Ways weighed: the count at the node that the digest chooses, asked before
/// each send, knows no race, but an end is counted nowhere while that node is
/// cut off; the count at the target's node alone is never late, but each target
/// would have to end three times. Told to all, what is known bounds what every
/// node sends, with whoever it is in touch; only trials are asked for.
namespace almondlink::relay {

/// Not thread safe: belongs to one loop.
class BlameExchange {
 public:
  /// A trial may begin at the target beside the node named.
  using OnPermit = std::function<void(const control::RequestDigest& digest,
                                      const std::string& node)>;

  BlameExchange(const RelaySettings& settings,
                PeerTable& peers,
                OnPermit on_permit);
  BlameExchange(const BlameExchange&) = delete;
  BlameExchange& operator=(const BlameExchange&) = delete;

  /// Who keeps what a trial has proved where it outlasts all nodes: called by
  /// the node that began the trial only. Each may be null.
  void OnProof(std::function<void(const control::RequestDigest&,
                                  const control::QuarantineRecord&)> on_guilty,
               std::function<void(const control::RequestDigest&)> on_cleared);
  /// Takes what was kept.
  void Take(const control::RequestDigest& digest,
            const control::QuarantineRecord& record);

  /// Whether nothing is known of any request with this path. Where it holds no
  /// digest is needed.
  bool IsBlank(std::uint64_t path) const;
  bool IsEmpty() const { return this->table.records.empty(); }

  control::QuarantineDecision Judge(const control::RequestDigest& digest,
                                    Millis now) const;

  /// The request was under way where a target ended; told to all. True if that
  /// was not known.
  bool NoteTargetEnd(const control::RequestDigest& digest,
                     const control::TargetCrash& end,
                     Millis now);
  /// A target lived through it; told to all. True if anything was known.
  bool NoteWholeRun(const control::RequestDigest& digest);

  /// The operator lets go of the request with that digest, as a whole run
  /// would; told to all. False if nothing is known of it here.
  bool Lift(const std::string& digest);

  /// A line for each request that is held, with a head: digest, ends, failed
  /// trials, whether it is tried or refused, and milliseconds.
  std::string ListHeld(Millis now) const;

  /// Asks for a trial, if it is time to.
  void AskTrial(const control::RequestDigest& digest,
                const std::string& service,
                Millis left,
                Millis now);
  /// The trial that was permitted is over, or cannot begin.
  void EndTrial(const control::RequestDigest& digest,
                const std::string& service);

  /// Frames of other nodes.
  void OnNews(const BlameFrame& frame);
  void OnAsk(const PeerLinkPointer& link, const TrialAskFrame& ask);
  void OnPermitted(const TrialAnswerFrame& answer);
  void OnOver(const TrialOverFrame& over);
  /// A link to the node is usable: it is told of the requests that are held.
  void OnPeer(const PeerPointer& peer);

  /// Forgets what is too old; call every 100 ms.
  void Tick(Millis now);

  const control::QuarantineRecord* Find(
      const control::RequestDigest& digest) const {
    return control::FindQuarantine(digest, this->table);
  }
  const control::QuarantineTable& Table() const { return this->table; }
  static const control::QuarantineRules& Rules();

 private:
  PeerPointer Keeper(const std::string& service) const;
  std::string Permit(const control::RequestDigest& digest,
                     const std::string& service,
                     Millis left,
                     Millis now);
  void TellAll(const BlameFrame& frame);

  const RelaySettings& settings;
  PeerTable& peers;
  OnPermit on_permit;
  std::function<void(const control::RequestDigest&,
                     const control::QuarantineRecord&)>
      on_guilty;
  std::function<void(const control::RequestDigest&)> on_cleared;
  control::QuarantineTable table;
  /// Of the services that this node permits the trials of.
  control::TrialRegistry book;
  /// When the trial of a request was asked for last.
  std::map<control::RequestDigest, Millis> asked;
};

}  // namespace almondlink::relay

#endif  // ALMONDLINK_RELAY_BLAME_EXCHANGE_H_
