#ifndef ALMONDLINK_MODEL_RELAY_RULES_H_
#define ALMONDLINK_MODEL_RELAY_RULES_H_

#include <string>
#include <vector>

#include "almondlink/base/error.h"
#include "almondlink/control/chain_admission.h"
#include "almondlink/control/placement.h"
#include "almondlink/control/repeat_allowance.h"
#include "almondlink/control/target_health.h"

/// Settings of the decisions of a relay node in a replay.
namespace almondlink::model {

/// Rules that a relay node decides by; the defaults are those of a node.
struct RelayRules {
  control::ChainRules admission;
  control::PlacementRules placement;
  control::HealthRules health;
  control::RepeatRules repeats;
  /// Maximum number of sends of one call. Once it has been sent to the maximum
  /// number of targets, those that refused it unrun may get it again.
  int max_sends = 12;
};

/// Sets one rule by its name in a node's settings ([decisions]) and checks the
/// bounds of the setting; `on` and `off` stand for 1 and 0. Thread safe.
/// Errors: kBadSettings, with the names that can be varied or the bounds.
Result<void> SetRule(const std::string& setting,
                     const std::string& value,
                     RelayRules& rules);

}  // namespace almondlink::model

#endif  // ALMONDLINK_MODEL_RELAY_RULES_H_
