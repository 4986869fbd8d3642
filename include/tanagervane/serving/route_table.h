// The route of a request.

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

/// Finds routes by host and longest path prefix.
class RouteTable {
 public:
  RouteTable() = default;
  explicit RouteTable(std::span<const RouteSpec> routes);

  /// The position of the route in the span, or nothing. `host` may name a
  /// port, `target` may have a query.
  std::optional<size_t> Find(std::string_view host,
                             std::string_view target) const;

 private:
  /// Keys are the host in lower case, followed by the prefix.
  std::unordered_map<std::string, size_t> m_routes;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_ROUTE_TABLE_H_
