#ifndef ALMONDLINKD_AT_MOST_ONCE_H_
#define ALMONDLINKD_AT_MOST_ONCE_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "almondlink/base/clock.h"
#include "almondlink/base/error.h"
#include "almondlink/control/admission.h"
#include "almondlink/control/idempotency_key.h"
#include "almondlink/control/key_table.h"
#include "almondlink/record_log/claim_writer.h"
#include "almondlinkd/shared_state.h"

namespace almondlink::daemon {

/// What AtMostOnce asks of the target's side.
struct KeyHooks {
  /// Offers the call to admission.
  std::function<void(control::Ticket)> admit;
  /// Ends the call with an answer.
  std::function<void(control::Ticket, const wire::Answer&)> finish;
  /// Whether the call is still there.
  std::function<bool(control::Ticket)> is_open;
};

/// A call with a key.
struct KeyedCall {
  control::Ticket ticket;
  std::string key;
  /// Only asks what became of the key.
  bool is_recall = false;
  Millis deadline;
};

/// At-most-once at one target's node: claims keys, lets one call per key run,
/// gives its outcome to all others (docs/design/at-most-once.md). All methods
/// are called on the thread of the target loop.
class AtMostOnce : public std::enable_shared_from_this<AtMostOnce> {
 public:
  /// `claims` may be null: then only minted keys work.
  AtMostOnce(boost::asio::io_context& loop,
             SharedState& shared,
             record_log::ClaimWriter* claims,
             KeyHooks hooks);

  /// A fresh key that this incarnation alone knows.
  std::string Mint();

  /// Takes a call: it is admitted, waits for another call's outcome or the
  /// claim, or is finished.
  void Start(const KeyedCall& call);

  /// Takes the one step to the target; false if it was taken before.
  bool TakeDispatch(const std::string& key);

  /// The call of the key was refused before it ran.
  void OnRefused(const std::string& key, const wire::Answer& answer);

  /// The call of the key came back from the target.
  void OnTargetAnswer(const std::string& key, const wire::Answer& answer);

  /// A call that was not dispatched is gone; another that waits may run.
  void OnAbandoned(control::Ticket ticket, const std::string& key);

  /// Whether the key's claim is not decided yet: nothing was run.
  bool IsUndecided(const std::string& key);

  /// Forgets keys that are too old to be accepted.
  void Forget();

  /// Keys known.
  std::size_t Size() const { return this->keys.entries.size(); }

 private:
  Millis Lifetime() const;
  std::string MacOf(const control::MintedKey& key) const;
  bool IsOwnMinted(const control::MintedKey& key) const;
  void Join(const KeyedCall& call, control::KeyEntry& entry);
  void StartMinted(const KeyedCall& call, const control::MintedKey& minted);
  void StartClaim(const KeyedCall& call);
  void OnClaim(control::Ticket ticket,
               const std::string& key,
               const record_log::ClaimResult& result);
  void Run(control::Ticket ticket, control::KeyEntry& entry);
  void RunNext(control::KeyEntry& entry);
  void Settle(control::KeyEntry& entry, const wire::Answer& answer);
  void Finish(control::Ticket ticket, ErrorKind kind);

  boost::asio::io_context& loop;
  SharedState& shared;
  record_log::ClaimWriter* const claims;
  const KeyHooks hooks;
  const control::KeyTableLimits limits;
  control::KeyTable keys;
  std::uint64_t minted = 0;
};

}  // namespace almondlink::daemon

#endif  // ALMONDLINKD_AT_MOST_ONCE_H_
