#ifndef ALMONDLINK_MODEL_REPLAY_H_
#define ALMONDLINK_MODEL_REPLAY_H_

#include <string>

#include "almondlink/model/outcome.h"
#include "almondlink/model/scenario.h"

namespace almondlink::model {

/// What stands between callers and targets in a replay.
enum class Control {
  /// almondlink's decisions.
  kAlmondlink,
  /// No control: services repeat failed calls at each hop, nothing is refused.
  kNone,
  /// A fixed concurrency limit at each target, with the same repeats.
  kFixedLimit,
};

const char* ToString(Control control);

/// Runs a scenario in virtual time. The same scenario and control give the same
/// outcome on every run and machine. Thread safe.
Outcome Replay(const Scenario& scenario, Control control);

}  // namespace almondlink::model

#endif  // ALMONDLINK_MODEL_REPLAY_H_
