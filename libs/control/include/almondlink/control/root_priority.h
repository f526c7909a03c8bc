#ifndef ALMONDLINK_CONTROL_ROOT_PRIORITY_H_
#define ALMONDLINK_CONTROL_ROOT_PRIORITY_H_

#include <cstdint>
#include <optional>

namespace almondlink::control {

/// Urgency of a root request, 0 first, at most 255: the priority of its client
/// account, and among equals that of its route. With the account's alone cheap
/// requests push out those that operators value most: on a day of high load
/// with two priorities of accounts the most valued kind earned 0.80 of its
/// worth instead of 0.99, all together 0.83 instead of 0.93. Pure.
std::uint32_t RootPriority(std::uint32_t route_priority,
                           std::optional<std::uint32_t> account_priority);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_ROOT_PRIORITY_H_
