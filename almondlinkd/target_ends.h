#ifndef ALMONDLINKD_TARGET_ENDS_H_
#define ALMONDLINKD_TARGET_ENDS_H_

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "almondlink/base/clock.h"
#include "almondlink/control/admission.h"
#include "almondlink/control/quarantine.h"
#include "almondlink/wire/messages.generated.h"
#include "almondlinkd/shared_state.h"

/// Requests that end the targets that run them, at the node beside a target.
///
/// The rules are those of almondlink/control/quarantine.h. The node beside a
/// target knows for certain when its process is gone and what it was running;
/// it tells all nodes. What may run is decided there as well, just before it is
/// sent, so that nothing has to be asked for: a request that two targets ended
/// under runs at one target only, which all nodes choose alike by the request's
/// digest, and which runs one such request at a time.
namespace almondlink::daemon {

/// What may be done with a call.
struct EndsStep {
  bool may_run = true;
  bool is_on_trial = false;
  /// Until it may be tried again, if it may not run.
  Millis wait;
  /// Node where it may be tried; empty if nowhere now.
  std::string place;
};

/// A call that was at the target when it ended.
struct EndedCall {
  wire::Call call;
  bool is_on_trial = false;
};

struct EndsHooks {
  /// Tells all other nodes.
  std::function<void(const wire::EndsNews&)> tell;
  /// Nodes beside targets of the own service that take calls, this one
  /// included.
  std::function<std::vector<std::string>()> places;
};

/// Belongs to one loop.
class TargetEnds {
 public:
  /// `shared` must outlive it.
  TargetEnds(const SharedState& shared, EndsHooks hooks);

  /// Costs a look at an empty table while no target ends.
  EndsStep Judge(const wire::Call& call, Millis now) const;

  /// A trial runs here from now on; one at a time.
  void BeginTrial(control::Ticket ticket, const wire::Call& call);
  /// The call is over; if it was on trial the next one may begin.
  void EndTrial(control::Ticket ticket);

  /// The target's process is gone, with these calls.
  void NoteEnd(const std::vector<EndedCall>& calls, Millis now);
  /// The target answered the call.
  void NoteWhole(const wire::Call& call, Millis now);

  void OnNews(const wire::EndsNews& news, Millis now);

  /// Tells fresh ends again, since datagrams get lost, and forgets old ones.
  void Tick(Millis now);

 private:
  control::RequestDigest DigestOf(const wire::Call& call) const;
  bool IsBlank(const wire::Call& call) const;
  std::string PlaceOf(const control::RequestDigest& digest) const;

  const SharedState& shared;
  const EndsHooks hooks;
  const control::QuarantineRules rules;
  control::QuarantineTable table;
  std::optional<control::Ticket> trial;
  /// Ends of the own target, to tell its starts apart.
  std::uint64_t ends = 0;
  Millis told_at;
};

}  // namespace almondlink::daemon

#endif  // ALMONDLINKD_TARGET_ENDS_H_
