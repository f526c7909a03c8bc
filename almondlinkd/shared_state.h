#ifndef ALMONDLINKD_SHARED_STATE_H_
#define ALMONDLINKD_SHARED_STATE_H_

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "almondlink/base/ids.h"
#include "almondlink/base/rcu.h"
#include "almondlink/config/settings.generated.h"
#include "almondlink/control/membership.h"
#include "almondlink/control/retry_budget.h"
#include "almondlink/control/work_table.h"
#include "almondlink/policy/fold.h"
#include "almondlink/policy/signing.h"
#include "almondlink/wire/messages.generated.h"

/// What the threads of a node share. Requests read snapshots by read-copy-
/// update and atomics; nobody on a request's path takes a lock.
namespace almondlink::daemon {

/// The bundle in force and the retry budgets of its teams. The budgets live on
/// from one bundle to the next.
struct BundleView {
  std::shared_ptr<const policy::InForce> in_force;
  std::unordered_map<std::string, std::shared_ptr<control::RetryBudget>>
      budgets;
};

/// One target that calls can be routed to.
struct RouteEntry {
  std::string node;
  std::uint64_t incarnation = 0;
  std::string address;
  bool is_own_zone = false;
  bool is_draining = false;
  bool is_suspect = false;
  std::uint32_t slots = 1;
};

/// All targets by service, from membership.
struct RoutingTable {
  std::unordered_map<std::string, std::vector<RouteEntry>> by_service;
};

/// State shared by the loops of one node.
struct SharedState {
  SharedState(const config::Settings& settings,
              const policy::DeploymentKey& key,
              std::uint64_t secret)
      : settings(settings),
        key(key),
        work(kWorkCapacity, secret),
        slots(static_cast<std::uint32_t>(settings.target.slots)) {}

  static constexpr std::size_t kWorkCapacity = 16'384;

  const config::Settings settings;
  const policy::DeploymentKey key;
  /// Start of this process, wall clock.
  Incarnation incarnation{0};
  RcuCell<BundleView> bundle;
  RcuCell<RoutingTable> routes;
  control::WorkTable work;
  std::atomic<bool> is_draining{false};
  /// Slots of the target, from settings or as it announced them since.
  std::atomic<std::uint32_t> slots;
  /// Calls that the entry loops have taken and not yet answered.
  std::atomic<std::int64_t> calls_open{0};
};

/// Builds the routing table from membership: every living target, by service.
std::shared_ptr<const RoutingTable> BuildRoutes(
    const control::Membership& membership,
    const std::string& own_zone);

/// Nodes beside targets of a service that take calls.
std::vector<std::string> TrialPlaces(const RoutingTable& routes,
                                     const std::string& service);

/// Builds the view of a bundle, keeping the budgets of teams that stay.
std::shared_ptr<const BundleView> BuildBundleView(
    const std::shared_ptr<const policy::InForce>& in_force,
    const std::shared_ptr<const BundleView>& before);

/// Shortest time between two claim appends of one node, so that all nodes that
/// claim make `appends` a second together.
Millis ClaimInterval(const policy::Bundle& bundle,
                     const RoutingTable& routes,
                     std::int64_t appends);

/// This node as it announces itself at its start.
wire::Member SelfOf(const SharedState& shared);

/// The longest time that any operation of the bundle in force may take.
Millis LongestDeadline(const SharedState& shared);

}  // namespace almondlink::daemon

#endif  // ALMONDLINKD_SHARED_STATE_H_
