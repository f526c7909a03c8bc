#include "almondlink/control/policy_source.h"

#include <algorithm>

namespace almondlink::control {

bool FollowsSource(const FollowRules& rules,
                   std::uint32_t before,
                   std::uint32_t before_with_source) {
  return before < rules.max_tried && before_with_source < rules.followers;
}

std::optional<std::size_t> ChooseOffer(const FollowRules& rules,
                                       std::uint64_t own_version,
                                       const std::vector<PolicyOffer>& offers,
                                       Millis known_for,
                                       double draw) {
  const bool may_ask_any_zone =
      own_version == 0 || known_for >= rules.other_zone_delay;
  std::vector<std::size_t> own;
  std::vector<std::size_t> all;
  std::uint64_t newest = own_version;
  for (const PolicyOffer& offer : offers) {
    newest = std::max(newest, offer.version);
  }
  for (std::size_t i = 0; i < offers.size(); ++i) {
    if (offers[i].version != newest || newest == own_version ||
        offers[i].is_requested) {
      continue;
    }
    all.push_back(i);
    if (offers[i].is_own_zone) {
      own.push_back(i);
    }
  }
  const std::vector<std::size_t>& choice = own.empty() ? all : own;
  if (choice.empty() || (own.empty() && !may_ask_any_zone)) {
    return std::nullopt;
  }
  const auto index =
      static_cast<std::size_t>(draw * static_cast<double>(choice.size()));
  return choice[std::min(index, choice.size() - 1)];
}

}  // namespace almondlink::control
