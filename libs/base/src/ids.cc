#include "almondlink/base/ids.h"

namespace almondlink {

const char* ToString(Criticality criticality) {
  switch (criticality) {
    case Criticality::kCritical:
      return "critical";
    case Criticality::kHigh:
      return "high";
    case Criticality::kNormal:
      return "normal";
    case Criticality::kSheddable:
      return "sheddable";
  }
  return "sheddable";
}

}  // namespace almondlink
