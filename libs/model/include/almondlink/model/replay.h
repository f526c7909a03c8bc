#ifndef ALMONDLINK_MODEL_REPLAY_H_
#define ALMONDLINK_MODEL_REPLAY_H_

#include <string>

#include "almondlink/model/outcome.h"
#include "almondlink/model/scenario.h"

namespace almondlink::model {

/// Runs a scenario in virtual time with that control in place; the scenario's
/// own `control` is not used. The same scenario and control give the same
/// outcome on every run and host. Thread safe.
Outcome Replay(const Scenario& scenario, ControlKind control);

}  // namespace almondlink::model

#endif  // ALMONDLINK_MODEL_REPLAY_H_
