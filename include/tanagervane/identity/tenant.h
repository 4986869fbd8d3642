// Tenants as the operator's configuration describes them.

#ifndef TANAGERVANE_IDENTITY_TENANT_H_
#define TANAGERVANE_IDENTITY_TENANT_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tanagervane {

/// A group of callers that share keys, a priority and a rate limit.
struct TenantSpec {
  std::string name;
  /// Each caller of the tenant presents one of these. Keys are secrets: they
  /// are never logged and never passed on.
  std::vector<std::string> keys;
  /// Takes precedence over the priority of the route; 0 is the highest.
  std::optional<uint32_t> priority;
  /// Requests per second over all VMs; 0 for no limit.
  double rate = 0;
  /// Requests beyond `rate` that may come at once.
  double burst = 0;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_IDENTITY_TENANT_H_
