#ifndef ALMONDLINK_CONTROL_ROOT_PRIORITY_H_
#define ALMONDLINK_CONTROL_ROOT_PRIORITY_H_

#include <cstdint>
#include <optional>

namespace almondlink::control {

/// What the priority of a client account does to that of the route.
enum class AccountOrder : std::uint8_t {
  /// The account's goes first, the route's decides among equals.
  kFirst,
  /// The account's alone.
  kReplaces,
  /// The route's alone.
  kIgnored,
};

/// Urgency of a root request, 0 first, at most 255. Pure.
std::uint32_t RootPriority(AccountOrder order,
                           std::uint32_t route_priority,
                           std::optional<std::uint32_t> account_priority);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_ROOT_PRIORITY_H_
