#ifndef ALMONDLINK_MODEL_RELAY_RULES_H_
#define ALMONDLINK_MODEL_RELAY_RULES_H_

#include <string>
#include <vector>

#include "almondlink/base/error.h"
#include "almondlink/control/chain_admission.h"
#include "almondlink/control/placement.h"
#include "almondlink/control/repeat_allowance.h"
#include "almondlink/control/target_health.h"

/// How the relay of a replay decides; the defaults are a node's. Thread safe.
namespace almondlink::model {

struct RelayRules {
  control::ChainRules admission;
  control::PlaceRules placement;
  control::HealthRules health;
  control::RepeatRules repeats;
  /// Sends of one request; targets that refused it may be asked again.
  int max_sends = 12;
};

/// Changes one rule by the name that it has in a node's settings ([decisions]),
/// with the setting's bounds; `on` and `off` are 1 and 0. Errors: kBadSettings,
/// with the names that can be varied or the bounds.
Result<void> SetRule(const std::string& setting,
                     const std::string& value,
                     RelayRules& rules);

}  // namespace almondlink::model

#endif  // ALMONDLINK_MODEL_RELAY_RULES_H_
