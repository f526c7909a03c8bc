#include "almondlinkd/shared_state.h"

#include <set>

namespace almondlink::daemon {

std::shared_ptr<const RoutingTable> BuildRoutes(
    const control::Membership& membership,
    const std::string& own_zone) {
  const auto table = std::make_shared<RoutingTable>();
  for (const auto& [node, entry] : membership.members) {
    const wire::Member& member = entry.member;
    const bool is_living = member.state <= static_cast<std::uint32_t>(
                                               control::MemberState::kSuspect);
    if (!is_living || member.service.empty()) {
      continue;
    }
    RouteEntry route;
    route.node = member.node;
    route.incarnation = member.incarnation;
    route.address = member.address;
    route.is_own_zone = member.zone == own_zone;
    route.is_draining = member.is_draining;
    route.is_suspect = member.state == static_cast<std::uint32_t>(
                                           control::MemberState::kSuspect);
    route.slots = member.slots;
    table->by_service[member.service].push_back(std::move(route));
  }
  return table;
}

std::vector<std::string> TrialPlaces(const RoutingTable& routes,
                                     const std::string& service) {
  std::vector<std::string> places;
  const auto found = routes.by_service.find(service);
  if (found == routes.by_service.end()) {
    return places;
  }
  for (const RouteEntry& route : found->second) {
    if (!route.is_draining && !route.is_suspect) {
      places.push_back(route.node);
    }
  }
  return places;
}

std::shared_ptr<const BundleView> BuildBundleView(
    const std::shared_ptr<const policy::InForce>& in_force,
    const std::shared_ptr<const BundleView>& before) {
  const auto view = std::make_shared<BundleView>();
  view->in_force = in_force;
  for (const auto& [name, team] : in_force->bundle->teams) {
    if (before != nullptr && before->budgets.count(name) != 0) {
      view->budgets[name] = before->budgets.at(name);
      continue;
    }
    const auto budget = std::make_shared<control::RetryBudget>();
    control::FillBudget({team.retry_ratio, team.retry_burst}, *budget);
    view->budgets[name] = budget;
  }
  return view;
}

Millis ClaimInterval(const policy::Bundle& bundle,
                     const RoutingTable& routes,
                     std::int64_t appends) {
  constexpr std::int64_t kMsPerSecond = 1000;
  std::set<std::string> services;
  for (const policy::OperationSpec& operation : bundle.operations) {
    if (!operation.is_repeatable) {
      services.insert(operation.service.Value());
    }
  }
  std::size_t claiming = 0;
  for (const auto& [service, targets] : routes.by_service) {
    claiming += services.count(service) != 0 ? targets.size() : 0;
  }
  return Millis{static_cast<std::int64_t>(claiming) * kMsPerSecond / appends};
}

wire::Member SelfOf(const SharedState& shared) {
  wire::Member self;
  self.node = shared.settings.node.id;
  self.incarnation = shared.incarnation.Value();
  self.version = 1;
  self.service = shared.settings.target.service;
  self.zone = shared.settings.node.zone;
  self.region = shared.settings.node.region;
  self.address = shared.settings.node.peer_address.Text();
  self.slots = shared.slots.load();
  return self;
}

Millis LongestDeadline(const SharedState& shared) {
  Millis longest{1000};
  const std::shared_ptr<const BundleView> view = shared.bundle.Read();
  if (view != nullptr) {
    for (const policy::OperationSpec& operation :
         view->in_force->bundle->operations) {
      longest = std::max(longest, operation.timeout);
    }
  }
  return longest;
}

}  // namespace almondlink::daemon
