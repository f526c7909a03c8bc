#include "almondlink/control/root_priority.h"

#include <algorithm>

namespace almondlink::control {

namespace {

/// Number of route priorities that are distinguished for each account priority.
constexpr std::uint32_t kRoutePriorities = 4;
/// The priority is sent as one byte.
constexpr std::uint32_t kMaxPriority = 255;

}  // namespace

std::uint32_t RootPriority(std::uint32_t route_priority,
                           std::optional<std::uint32_t> account_priority) {
  if (!account_priority.has_value()) {
    return std::min(route_priority, kMaxPriority);
  }
  const std::uint32_t account = std::min(*account_priority, kMaxPriority);
  return std::min(kMaxPriority,
                  account * kRoutePriorities +
                      std::min(route_priority, kRoutePriorities - 1));
}

}  // namespace almondlink::control
