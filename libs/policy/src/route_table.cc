#include "almondlink/policy/route_table.h"

#include <algorithm>
#include <cctype>

#include "almondlink/base/hash.h"

namespace almondlink::policy {

namespace {

std::string LowerHost(std::string_view host) {
  const std::size_t colon = host.find(':');
  std::string lower(host.substr(0, colon));
  std::transform(
      lower.begin(), lower.end(), lower.begin(),
      [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
  return lower;
}

bool IsUnder(const Route& route, std::string_view path) {
  return path.compare(0, route.path_prefix.size(), route.path_prefix) == 0;
}

}  // namespace

RouteKey RouteKeyOf(std::string_view name) {
  return RouteKey(static_cast<std::uint32_t>(StableHash(name)) | 1U);
}

RouteKey ClassKeyOf(RouteKey route,
                    std::optional<std::uint32_t> account_priority) {
  if (!account_priority.has_value()) {
    return route;
  }
  const std::uint64_t both =
      (static_cast<std::uint64_t>(*account_priority) << 32U) | route.Value();
  return RouteKey(static_cast<std::uint32_t>(StableHash(both)) | 1U);
}

const Route* RouteTable::Find(std::string_view host,
                              std::string_view target) const {
  const auto found = this->by_host.find(LowerHost(host));
  if (found == this->by_host.end()) {
    return nullptr;
  }
  const std::string_view path = target.substr(0, target.find('?'));
  for (const std::uint32_t index : found->second) {
    if (IsUnder(this->routes[index], path)) {
      return &this->routes[index];
    }
  }
  return nullptr;
}

void IndexRoutes(RouteTable& table) {
  table.by_host.clear();
  for (std::uint32_t i = 0; i < table.routes.size(); ++i) {
    Route& route = table.routes[i];
    route.key = RouteKeyOf(route.name);
    table.by_host[LowerHost(route.host)].push_back(i);
  }
  for (auto& [host, indexes] : table.by_host) {
    std::sort(indexes.begin(), indexes.end(),
              [&table](std::uint32_t a, std::uint32_t b) {
                return table.routes[a].path_prefix.size() >
                       table.routes[b].path_prefix.size();
              });
  }
}

}  // namespace almondlink::policy
