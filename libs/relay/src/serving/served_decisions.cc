#include "almondlink/relay/served_calls.h"

/// What the target beside this node contributes to the sums of all nodes, see
/// almondlink/control/decision_sums.h.
namespace almondlink::relay {

void ServedCalls::AddDecisions(control::DecisionSums& sums) const {
  this->AddZoneSlots(sums);
}

}  // namespace almondlink::relay
