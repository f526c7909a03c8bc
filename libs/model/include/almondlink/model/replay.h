#ifndef ALMONDLINK_MODEL_REPLAY_H_
#define ALMONDLINK_MODEL_REPLAY_H_

#include <string>

#include "almondlink/model/outcome.h"
#include "almondlink/model/scenario.h"

namespace almondlink::model {

/// Runs a scenario in virtual time. The same scenario and control give the same
/// outcome on every run and machine. Thread safe.
Outcome Replay(const Scenario& scenario, ControlKind control);

}  // namespace almondlink::model

#endif  // ALMONDLINK_MODEL_REPLAY_H_
