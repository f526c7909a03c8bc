#include "almondlinkd/target_views.h"

#include <algorithm>
#include <utility>

#include "almondlink/base/event_log.h"

namespace almondlink::daemon {

namespace {

constexpr std::uint32_t kServerErrors = 500;

}  // namespace

bool IsTargetFault(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kTargetLost:
    case ErrorKind::kTargetTimeout:
    case ErrorKind::kTargetBadAnswer:
    case ErrorKind::kPeerLost:
    case ErrorKind::kPeerUnreachable:
    case ErrorKind::kConnectFailed:
      return true;
    default:
      return false;
  }
}

bool IsOwnServerError(const wire::Answer& answer) {
  return answer.error == 0 && answer.status >= kServerErrors &&
         !answer.is_call_failed;
}

ServiceViews& TargetViews::Of(const std::string& service) {
  const std::shared_ptr<const RoutingTable> table = this->shared.routes.Read();
  ServiceViews& found = this->views[service];
  if (found.table != table) {
    this->Sync(service, table, found);
  }
  return found;
}

/// Takes over a new routing table; what is known of targets that stay in the
/// same incarnation is kept.
void TargetViews::Sync(const std::string& service,
                       const std::shared_ptr<const RoutingTable>& table,
                       ServiceViews& views) const {
  std::vector<RouteEntry> routes;
  if (table != nullptr) {
    const auto found = table->by_service.find(service);
    if (found != table->by_service.end()) {
      routes = found->second;
    }
  }
  std::vector<control::TargetView> targets(routes.size());
  for (std::size_t i = 0; i < routes.size(); ++i) {
    for (std::size_t j = 0; j < views.routes.size(); ++j) {
      const bool is_same = views.routes[j].node == routes[i].node &&
                           views.routes[j].incarnation == routes[i].incarnation;
      if (is_same) {
        targets[i] = views.targets[j];
      }
    }
    targets[i].is_own_zone = routes[i].is_own_zone;
    targets[i].is_draining = routes[i].is_draining;
    targets[i].is_suspect = routes[i].is_suspect;
    targets[i].slots = routes[i].slots;
  }
  views.table = table;
  views.routes = std::move(routes);
  views.targets = std::move(targets);
}

std::optional<std::size_t> TargetViews::Find(const std::string& service,
                                             const std::string& node) {
  const ServiceViews& found = this->Of(service);
  for (std::size_t i = 0; i < found.routes.size(); ++i) {
    if (found.routes[i].node == node) {
      return i;
    }
  }
  return std::nullopt;
}

void TargetViews::NoteSent(Millis now, control::TargetView& view) const {
  ++view.in_flight;
  control::RecordSent(now, view.health);
}

void TargetViews::Learn(const std::string& service,
                        const std::string& node,
                        LatencyMs took,
                        const wire::Answer& answer) {
  const std::optional<std::size_t> place = this->Find(service, node);
  if (!place.has_value()) {
    return;
  }
  control::TargetView& view = this->views[service].targets[*place];
  const Millis now = MonotonicNow();
  const ErrorKind kind = ErrorKindFrom(answer.error);
  view.in_flight -= std::min(view.in_flight, 1U);
  const bool is_fault = IsTargetFault(kind) || IsOwnServerError(answer);
  const bool was_good = view.health.state == control::HealthState::kHealthy;
  if (control::RecordOutcome(control::HealthRules(), now, is_fault, 0,
                             view.health)) {
    LogEvent(kEventTargetSetAside, {{"target", node}});
  } else if (!was_good && view.health.state == control::HealthState::kHealthy) {
    LogEvent(kEventTargetBack, {{"target", node}});
  }
  const bool is_from_node =
      kind != ErrorKind::kPeerLost && kind != ErrorKind::kPeerUnreachable;
  if (is_from_node) {
    view.level = answer.pressure;
    view.level_received_at = now;
    view.utilization = answer.utilization;
    view.is_draining = answer.is_draining;
  }
  if (kind == ErrorKind::kNone && answer.status < kServerErrors) {
    control::RecordLatency(took, view);
  }
}

void TargetViews::Forget(const std::string& service, const std::string& node) {
  const std::optional<std::size_t> place = this->Find(service, node);
  if (place.has_value()) {
    control::TargetView& view = this->views[service].targets[*place];
    view.in_flight -= std::min(view.in_flight, 1U);
  }
}

}  // namespace almondlink::daemon
