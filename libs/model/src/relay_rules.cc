#include "almondlink/model/relay_rules.h"

#include <algorithm>
#include <cstdlib>
#include <iterator>

namespace almondlink::model {

namespace {

/// A rule that can be varied, with the inclusive bounds of its setting.
struct Rule {
  const char* setting;
  double min;
  double max;
  void (*set)(double value, RelayRules& rules);
};

constexpr Rule kRules[] = {
    {"planned_share", 0.1, 2,
     [](double v, RelayRules& r) { r.admission.planned_share = v; }},
    {"assured_room", 0, 1,
     [](double v, RelayRules& r) { r.admission.assured_fraction = v; }},
    {"least_part", 0, 1,
     [](double v, RelayRules& r) { r.admission.min_relative_share = v; }},
    {"no_fewer", 0, 1,
     [](double v, RelayRules& r) { r.admission.has_ordered_floors = v > 0; }},
    {"by_cost", 0, 1,
     [](double v, RelayRules& r) { r.admission.cost_exponent = v; }},
    {"share_step", 0.01, 1,
     [](double v, RelayRules& r) { r.admission.share_step = v; }},
    {"zone_factor", 1, 1000,
     [](double v, RelayRules& r) { r.placement.zone_factor = v; }},
    {"place_by_time", 0, 1,
     [](double v, RelayRules& r) { r.placement.is_time_based = v > 0; }},
    {"failing_weight", 0, 1000,
     [](double v, RelayRules& r) { r.placement.failing_weight = v; }},
    {"set_aside_after", 0, 1000,
     [](double v, RelayRules& r) {
       r.health.consecutive_failures = static_cast<std::uint32_t>(v);
     }},
    {"outlier_factor", 0, 100,
     [](double v, RelayRules& r) { r.health.outlier_factor = v; }},
    {"repeat_used", 0, 1,
     [](double v, RelayRules& r) { r.repeats.usable_share = v; }},
    {"repeat_kept", 0, 1,
     [](double v, RelayRules& r) { r.repeats.order_strictness = v; }},
    {"repeat_sends", 1, 32,
     [](double v, RelayRules& r) { r.max_sends = static_cast<int>(v); }},
};

std::string SettingNames() {
  std::string names;
  for (const Rule& rule : kRules) {
    names.append(names.empty() ? "" : ", ").append(rule.setting);
  }
  return names;
}

}  // namespace

Result<void> SetRule(const std::string& setting,
                     const std::string& value,
                     RelayRules& rules) {
  const Rule* const found = std::find_if(
      std::begin(kRules), std::end(kRules),
      [&setting](const Rule& rule) { return setting == rule.setting; });
  if (found == std::end(kRules)) {
    return Fail(ErrorKind::kBadSettings,
                "cannot vary '" + setting + "'; allowed: " + SettingNames());
  }
  char* end = nullptr;
  double number = std::strtod(value.c_str(), &end);
  const bool is_switch = value == "on" || value == "off";
  if (is_switch) {
    number = value == "on" ? 1 : 0;
  } else if (value.empty() || *end != '\0') {
    return Fail(ErrorKind::kBadSettings,
                setting + ": '" + value + "' is not a number");
  }
  if (!(number >= found->min && number <= found->max)) {
    return Fail(ErrorKind::kBadSettings,
                setting + ": " + value + " is not between " +
                    std::to_string(found->min) + " and " +
                    std::to_string(found->max));
  }
  found->set(number, rules);
  return {};
}

}  // namespace almondlink::model
