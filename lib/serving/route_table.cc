// Longest-prefix match with one hash lookup for each slash of the path.

#include "tanagervane/serving/route_table.h"

#include "tanagervane/http/message.h"

namespace tanagervane {

RouteTable::RouteTable(std::span<const RouteSpec> routes) {
  for (size_t i = 0; i < routes.size(); ++i) {
    m_routes.emplace(LowerCase(routes[i].host) + routes[i].prefix, i);
  }
}

std::optional<size_t> RouteTable::Find(std::string_view host,
                                       std::string_view target) const {
  const std::string_view path = target.substr(0, target.find('?'));
  std::string key = LowerCase(host.substr(0, host.find(':')));
  const size_t host_size = key.size();
  key += path;
  while (key.size() > host_size) {
    const size_t slash = key.rfind('/');
    if (slash == std::string::npos || slash < host_size) {
      break;
    }
    key.resize(slash + 1);
    if (const auto it = m_routes.find(key); it != m_routes.end()) {
      return it->second;
    }
    key.resize(slash);
  }
  return std::nullopt;
}

}  // namespace tanagervane
