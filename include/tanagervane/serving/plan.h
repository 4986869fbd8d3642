// Configuration compiled for serving: routes with resolved services.

#ifndef TANAGERVANE_SERVING_PLAN_H_
#define TANAGERVANE_SERVING_PLAN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "tanagervane/identity/tenant_directory.h"
#include "tanagervane/serving/config.h"
#include "tanagervane/serving/latency_window.h"
#include "tanagervane/serving/replica_set.h"
#include "tanagervane/serving/route_table.h"

namespace tanagervane {

/// Measurements of a route, kept across versions of the configuration.
struct RouteStats {
  RouteStats(Millis initial_latency, Millis initial_time_left)
      : attempt_latency(initial_latency), caller_time_left(initial_time_left) {}

  /// Latency of single attempts.
  LatencyWindow attempt_latency;
  /// Time for which callers say they wait. Most requests are first caller
  /// attempts, so a request with less time left than the median is taken for a
  /// caller's retry.
  LatencyWindow caller_time_left;
};

using RouteStatsByName =
    std::map<std::string, std::shared_ptr<RouteStats>, std::less<>>;

/// Smooth weighted round robin: the choices match the weights over any short
/// sequence of requests.
class WeightedRoundRobin {
 public:
  explicit WeightedRoundRobin(std::vector<double> weights);

  size_t Next();

 private:
  std::vector<double> m_weights;
  std::vector<double> m_credits;
  double m_total = 0;
};

struct PlannedRoute {
  RouteSpec spec;
  /// The shards of a fan-out, or the services among which requests are split.
  std::vector<Service*> services;
  WeightedRoundRobin service_picker;
  std::shared_ptr<RouteStats> stats;
  /// Sub-requests that must succeed for a successful answer.
  uint32_t needed_sub_requests = 1;
};

/// One version of the configuration. A request keeps the plan with which it
/// started, so that all its sub-requests use the same version.
class ServingPlan {
 public:
  ServingPlan(const ServingConfig& config,
              ReplicaSet& replicas,
              RouteStatsByName& stats);

  uint64_t version() const { return m_version; }
  const CallerLimits& limits() const { return m_limits; }
  size_t route_count() const { return m_routes.size(); }
  const TenantDirectory& tenants() const { return m_tenants; }

  /// Returns the route that matches, or nullptr.
  PlannedRoute* Find(std::string_view host, std::string_view target);

 private:
  uint64_t m_version;
  CallerLimits m_limits;
  TenantDirectory m_tenants;
  RouteTable m_table;
  std::vector<PlannedRoute> m_routes;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_PLAN_H_
