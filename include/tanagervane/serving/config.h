// Parsed configuration of a fleet: routes, services and caller limits.

#ifndef TANAGERVANE_SERVING_CONFIG_H_
#define TANAGERVANE_SERVING_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "tanagervane/identity/tenant.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

struct WeightedService {
  std::string service;
  double weight = 1;
};

/// Describes how requests that match a host and a path prefix are served.
struct RouteSpec {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  /// Whether a request may be executed more than once.
  bool idempotent = false;
  /// Upper bound on the time until a caller gets an answer.
  Millis timeout;
  /// Latency objective: an answer within this time counts as on time.
  Millis objective;
  /// Maximum number of replicas that may receive a request; for fan-outs, per
  /// shard.
  uint32_t max_replicas = 1;
  /// 0 is the highest priority.
  uint32_t priority = 0;
  /// Whether callers need no key.
  bool is_public = false;
  /// Services among which requests are split by weight; empty for fan-outs.
  std::vector<WeightedService> targets;
  /// One service for each shard; empty unless the route is a fan-out.
  std::vector<std::string> shards;
  /// Number of records in the merged answer of a fan-out.
  uint32_t top_records = 0;
  /// Minimum fraction of shards, in [0, 1], that a successful answer contains.
  double min_shard_fraction = 1;

  bool is_fanout() const { return !shards.empty(); }
};

struct ServiceSpec {
  std::string name;
  std::string health_path;
  /// Connections that a replica accepts from all VMs of the tier together.
  uint32_t max_connections = 1;
  /// Requests per second that a replica tolerates while it warms up; 0 for no
  /// limit.
  double warm_up_rate = 0;
};

/// Limits on the size and timing of callers' requests.
struct CallerLimits {
  size_t header_bytes = 16384;
  size_t body_bytes = 262144;
  Millis header_timeout{3000};
  Millis idle_timeout{15000};
};

struct ServingConfig {
  uint64_t version = 0;
  std::vector<RouteSpec> routes;
  std::vector<ServiceSpec> services;
  /// Empty if callers need no keys.
  std::vector<TenantSpec> tenants;
  CallerLimits limits;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_CONFIG_H_
