#include "almondlink/relay/entry_calls.h"

/// What the root requests and calls of this node contribute to the sums of all
/// nodes, see almondlink/control/decision_sums.h.
namespace almondlink::relay {

void EntryCalls::AddDecisions(Millis now, control::DecisionSums& sums) {
  this->AddReturns(sums);
  this->AddRunTimes(now, sums);
}

}  // namespace almondlink::relay
