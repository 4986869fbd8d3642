// The operator's configuration of a fleet: routes, services and limits.

#ifndef TANAGERVANE_SERVING_CONFIG_H_
#define TANAGERVANE_SERVING_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "tanagervane/support/millis.h"

namespace tanagervane {

struct WeightedService {
  std::string service;
  double weight = 1;
};

/// How requests that match a host and a path prefix are served.
struct RouteSpec {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string prefix;
  /// Whether a request may run more than once.
  bool idempotent = false;
  /// Longest time for which a caller is kept waiting.
  Millis timeout;
  /// Time within which an answer is on time.
  Millis objective;
  /// Replicas to which one request may be sent; for fan-outs, of each shard.
  uint32_t attempts = 1;
  /// 0 is the most urgent.
  uint32_t priority = 0;
  /// Services that share the requests; empty for fan-outs.
  std::vector<WeightedService> targets;
  /// The services that hold one shard each; empty unless this is a fan-out.
  std::vector<std::string> shards;
  /// Records in the merged answer of a fan-out.
  uint32_t top_records = 0;
  /// Smallest share of the shards, in [0, 1], that makes an answer.
  double min_shard_share = 1;

  bool is_fanout() const { return !shards.empty(); }
};

struct ServiceSpec {
  std::string name;
  std::string health_path;
  /// Connections that a replica accepts, over all VMs of the tier together.
  uint32_t max_connections = 1;
};

/// Bounds on what callers may send.
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
  CallerLimits limits;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_CONFIG_H_
