// Route lookup by host and longest path prefix.

#ifndef TANAGERVANE_SERVING_ROUTE_TABLE_H_
#define TANAGERVANE_SERVING_ROUTE_TABLE_H_

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include "tanagervane/serving/config.h"

namespace tanagervane {

/// Maps a request's host and path to the index of its route.
class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(std::span<const RouteSpec> routes);

  /// Returns the index of the route in the constructor's span, or nullopt.
  /// `host` may contain a port, `target` may contain a query.
  std::optional<size_t> Find(std::string_view host,
                             std::string_view target) const;

 private:
  /// Key: the host in lower case, followed by the prefix.
  std::unordered_map<std::string, size_t> m_routes;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_ROUTE_TABLE_H_
