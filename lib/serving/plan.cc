#include "tanagervane/serving/plan.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tanagervane {

namespace {

/// Initial median latency of attempts as a fraction of the objective, used
/// until enough attempts are measured.
constexpr double kInitialLatencyFraction = 0.15;

/// Keeps a fraction such as 0.7 of 10 shards from being rounded up to 8.
constexpr double kFractionTolerance = 1e-9;

PlannedRoute PlanRoute(const RouteSpec& spec,
                       ReplicaSet& replicas,
                       RouteStatsByName& stats) {
  std::vector<Service*> services;
  std::vector<double> weights;
  for (const std::string& shard : spec.shards) {
    services.push_back(&replicas.GetService(shard));
  }
  for (const WeightedService& target : spec.targets) {
    services.push_back(&replicas.GetService(target.service));
    weights.push_back(target.weight);
  }
  for (Service* service : services) {
    service->tightest_objective = std::min(
        service->tightest_objective.value_or(spec.objective), spec.objective);
  }
  std::shared_ptr<RouteStats>& route_stats = stats[spec.name];
  if (!route_stats) {
    route_stats = std::make_shared<RouteStats>(
        spec.objective * kInitialLatencyFraction, spec.timeout);
  }
  PlannedRoute route{spec, std::move(services),
                     WeightedRoundRobin(std::move(weights)), route_stats, 1};
  if (spec.is_fanout()) {
    const double needed = std::ceil(
        spec.min_shard_fraction * static_cast<double>(spec.shards.size()) -
        kFractionTolerance);
    route.needed_sub_requests = std::max(1U, static_cast<uint32_t>(needed));
  }
  return route;
}

}  // namespace

WeightedRoundRobin::WeightedRoundRobin(std::vector<double> weights)
    : m_weights(std::move(weights)), m_credits(m_weights.size(), 0) {
  for (const double weight : m_weights) {
    m_total += weight;
  }
}

size_t WeightedRoundRobin::Next() {
  size_t best = 0;
  for (size_t i = 0; i < m_weights.size(); ++i) {
    m_credits[i] += m_weights[i];
    if (m_credits[i] > m_credits[best]) {
      best = i;
    }
  }
  if (!m_credits.empty()) {
    m_credits[best] -= m_total;
  }
  return best;
}

ServingPlan::ServingPlan(const ServingConfig& config,
                         ReplicaSet& replicas,
                         RouteStatsByName& stats)
    : m_version(config.version),
      m_limits(config.limits),
      m_tenants(config.tenants),
      m_table(config.routes) {
  replicas.ApplyServices(config.services);
  replicas.ForEachService(
      [](Service& service) { service.tightest_objective.reset(); });
  m_routes.reserve(config.routes.size());
  RouteStatsByName used_stats;
  for (const RouteSpec& spec : config.routes) {
    m_routes.push_back(PlanRoute(spec, replicas, stats));
    used_stats[spec.name] = m_routes.back().stats;
  }
  stats = std::move(used_stats);
}

PlannedRoute* ServingPlan::Find(std::string_view host,
                                std::string_view target) {
  const auto found = m_table.Find(host, target);
  return found ? &m_routes[*found] : nullptr;
}

}  // namespace tanagervane
