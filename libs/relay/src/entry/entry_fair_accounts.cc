#include "almondlink/relay/entry_calls.h"
#include "entry_call.h"

/// Shares of client accounts at a service that is short.
namespace almondlink::relay {

double EntryCalls::AccountShare(const Call& /*call*/, double share) {
  return share;
}

}  // namespace almondlink::relay
