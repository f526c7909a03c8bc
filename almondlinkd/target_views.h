#ifndef ALMONDLINKD_TARGET_VIEWS_H_
#define ALMONDLINKD_TARGET_VIEWS_H_

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "almondlink/control/routing.h"
#include "almondlink/wire/messages.generated.h"
#include "almondlinkd/shared_state.h"

namespace almondlink::daemon {

/// The target did not serve although it, or its node, should have.
bool IsTargetFault(ErrorKind kind);

/// The target's own failure, not one of a call that it made.
bool IsOwnServerError(const wire::Answer& answer);

/// The targets of one service as one entry loop sees them. The two lists have
/// the same order.
struct ServiceViews {
  std::shared_ptr<const RoutingTable> table;
  std::vector<RouteEntry> routes;
  std::vector<control::TargetView> targets;
};

/// What one entry loop knows of all targets, kept in step with the routing
/// table. Not thread safe; one per loop.
class TargetViews {
 public:
  explicit TargetViews(const SharedState& shared) : shared(shared) {}

  /// The targets of a service now. Valid until the next call.
  ServiceViews& Of(const std::string& service);

  /// Place of a node among the targets of a service, or nothing.
  std::optional<std::size_t> Find(const std::string& service,
                                  const std::string& node);

  /// A call is sent to the target.
  void NoteSent(Millis now, control::TargetView& view) const;

  /// Learns from the answer to a call that was sent to `node`. `took` is the
  /// time until the answer, without stalls of this node.
  void Learn(const std::string& service,
             const std::string& node,
             LatencyMs took,
             const wire::Answer& answer);

  /// A call to the target ended without anything to learn from.
  void Forget(const std::string& service, const std::string& node);

  /// All services that were called.
  const std::unordered_map<std::string, ServiceViews>& All() const {
    return this->views;
  }

 private:
  void Sync(const std::string& service,
            const std::shared_ptr<const RoutingTable>& table,
            ServiceViews& views) const;

  const SharedState& shared;
  std::unordered_map<std::string, ServiceViews> views;
};

}  // namespace almondlink::daemon

#endif  // ALMONDLINKD_TARGET_VIEWS_H_
