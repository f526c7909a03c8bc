#ifndef ALMONDLINK_POLICY_ROUTE_TABLE_H_
#define ALMONDLINK_POLICY_ROUTE_TABLE_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "almondlink/base/clock.h"
#include "almondlink/base/ids.h"
#include "almondlink/policy/account_table.h"

/// The policy in force where requests are told apart by host and path: an
/// immutable table that is built once for each version and read by everyone.
namespace almondlink::policy {

/// Stable number of a route's name, the same on all nodes; 0 means none.
using RouteKey = Strong<struct RouteKeyTag, std::uint32_t>;

/// One service that takes a share of a route.
struct RoutePart {
  ServiceName service;
  double weight = 1;
};

struct Route {
  std::string name;
  RouteKey key;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  /// Whether a request may run more than once.
  bool is_repeatable = false;
  /// Longest time that a caller is kept waiting.
  Millis timeout;
  /// Time within which an answer has its full value.
  Millis latency_target;
  /// 0 is the most valued.
  std::uint32_t priority = 0;
  /// Most instances that one attempt of a caller may be sent to.
  std::uint32_t attempts = 1;
  std::vector<RoutePart> parts;
  /// Whether callers need no API key for it.
  bool is_anonymous = false;
};

/// What a caller may send, and for how long its connection may be idle.
struct CallerLimits {
  std::uint64_t max_header = 16 * 1024;
  std::uint64_t max_body = 64 * 1024 * 1024;
  Millis header_timeout{3000};
  Millis idle_timeout{15000};
};

struct RouteTable {
  /// Later versions have higher numbers, with gaps.
  std::uint64_t version = 0;
  /// Grows a few at a time without moving those that are there: a vector that
  /// doubles holds three times its content at its worst.
  std::deque<Route> routes;
  CallerLimits limits;
  /// Callers need a key of one of these, unless the policy names no accounts at
  /// all (`has_accounts` false).
  AccountTable accounts;
  bool has_accounts = false;
  /// Connections that one instance of a service accepts.
  std::unordered_map<std::string, std::uint32_t> connections;
  /// Paths of the health checks of services; a service without one is left out.
  std::unordered_map<std::string, std::string> health_paths;
  /// Routes of a host (lower case), those with the longest prefix first.
  std::unordered_map<std::string, std::vector<std::uint32_t>> by_host;

  /// The route with the longest prefix that begins the path of `target` (path
  /// and query), or null. `host` may carry a port. Thread safe.
  const Route* Find(std::string_view host, std::string_view target) const;
};

using RouteTablePointer = std::shared_ptr<const RouteTable>;

/// Number of a route's name.
RouteKey RouteKeyOf(std::string_view name);

/// Number of the root requests of a route that share an urgency: those of
/// accounts with `account_priority`, or of all others (none).
RouteKey ClassKeyOf(RouteKey route,
                    std::optional<std::uint32_t> account_priority);

/// Fills the keys and `by_host` from `routes`.
void IndexRoutes(RouteTable& table);

}  // namespace almondlink::policy

#endif  // ALMONDLINK_POLICY_ROUTE_TABLE_H_
