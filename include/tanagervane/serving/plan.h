// A configuration made ready for serving.

#ifndef TANAGERVANE_SERVING_PLAN_H_
#define TANAGERVANE_SERVING_PLAN_H_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "tanagervane/serving/config.h"
#include "tanagervane/serving/latency_window.h"
#include "tanagervane/serving/replica_set.h"
#include "tanagervane/serving/route_table.h"

namespace tanagervane {

/// What is learnt of a route; outlives versions of the configuration.
struct RouteStats {
  RouteStats(Millis attempt, Millis patience_guess)
      : attempts(attempt), patience(patience_guess) {}

  /// Latency of single attempts.
  LatencyWindow attempts;
  /// How long callers wait, by their own word. Most requests are first tries,
  /// so a request with less than the median has been tried before.
  LatencyWindow patience;
};

using RouteStatsByName =
    std::map<std::string, std::shared_ptr<RouteStats>, std::less<>>;

/// Deals requests out to weighted services, with shares that are exact over
/// any short run of requests.
class WeightedTurn {
 public:
  explicit WeightedTurn(std::vector<double> weights);

  size_t Next();

 private:
  std::vector<double> m_weights;
  std::vector<double> m_credits;
  double m_total = 0;
};

struct PlannedRoute {
  RouteSpec spec;
  /// The shards of a fan-out, or the services that share the requests.
  std::vector<Service*> services;
  WeightedTurn turn;
  std::shared_ptr<RouteStats> stats;
  /// Shards that must be in for an answer.
  uint32_t needed_parts = 1;
};

/// One version of the configuration. A request keeps the plan with which it
/// began, so that all its parts come from the same version.
class ServingPlan {
 public:
  ServingPlan(const ServingConfig& config,
              ReplicaSet& replicas,
              RouteStatsByName& stats);

  uint64_t version() const { return m_version; }
  const CallerLimits& limits() const { return m_limits; }
  size_t route_count() const { return m_routes.size(); }

  /// The route of a request, or nullptr.
  PlannedRoute* Find(std::string_view host, std::string_view target);

 private:
  uint64_t m_version;
  CallerLimits m_limits;
  RouteTable m_table;
  std::vector<PlannedRoute> m_routes;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_PLAN_H_
