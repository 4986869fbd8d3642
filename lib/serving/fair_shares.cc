#include "tanagervane/serving/fair_shares.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <numeric>

namespace tanagervane {

namespace {

constexpr double kMillisPerSecond = 1000;

/// Long enough to see a tenant with a few requests per second on this VM, short
/// enough to follow a burst.
constexpr Millis kRateTimeConstant{2000};

/// Time between updates of the shares, which take a pass over all tenants.
constexpr Millis kShareUpdateInterval{100};

/// Capacity is scarce while less than this fraction of requests is admitted.
constexpr double kScarceFraction = 0.995;

/// Fraction of the capacity that is divided into shares. The rest keeps queues
/// short for requests within shares; it goes to others while queues are short.
constexpr double kSharedFraction = 0.85;

}  // namespace

std::vector<double> MaxMinShares(std::span<const WeightedDemand> demands,
                                 double capacity) {
  std::vector<size_t> order(demands.size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::ranges::sort(order, {}, [&](size_t i) {
    assert(demands[i].weight > 0 && "a share needs a positive weight");
    return demands[i].per_second / demands[i].weight;
  });
  double weight_left = 0;
  for (const WeightedDemand& demand : demands) {
    weight_left += demand.weight;
  }
  std::vector<double> shares(demands.size());
  double left = capacity;
  for (const size_t i : order) {
    const double fair = left * demands[i].weight / weight_left;
    shares[i] = std::min(demands[i].per_second, fair);
    left -= shares[i];
    weight_left -= demands[i].weight;
  }
  return shares;
}

void AverageRate::Record(Millis now) {
  m_per_second = PerSecond(now) + kMillisPerSecond / kRateTimeConstant.count();
  m_updated_at = now;
}

double AverageRate::PerSecond(Millis now) const {
  return m_per_second *
         std::exp(-std::max(0.0, (now - m_updated_at) / kRateTimeConstant));
}

void FairShares::SetTenants(
    const std::map<std::string, double, std::less<>>& weights_by_tenant) {
  std::erase_if(m_tenants, [&](const auto& tenant) {
    return !weights_by_tenant.contains(tenant.first);
  });
  for (const auto& [name, weight] : weights_by_tenant) {
    m_tenants[name].weight = weight;
  }
}

double FairShares::RecordDemand(std::string_view tenant, Millis now) {
  m_demand.Record(now);
  const auto it = m_tenants.find(tenant);
  if (it == m_tenants.end()) {
    return 1;
  }
  it->second.demand.Record(now);
  if (now - m_updated_at >= kShareUpdateInterval) {
    UpdateShares(now);
  }
  return it->second.fraction_within_share;
}

void FairShares::UpdateShares(Millis now) {
  m_updated_at = now;
  const double capacity = m_admitted.PerSecond(now);
  const bool scarce = capacity < m_demand.PerSecond(now) * kScarceFraction;
  std::vector<WeightedDemand> demands;
  demands.reserve(m_tenants.size());
  for (const auto& [name, tenant] : m_tenants) {
    demands.push_back({tenant.demand.PerSecond(now), tenant.weight});
  }
  const std::vector<double> shares =
      MaxMinShares(demands, capacity * kSharedFraction);
  size_t i = 0;
  for (auto& [name, tenant] : m_tenants) {
    const double demand = demands[i].per_second;
    tenant.fraction_within_share =
        scarce && demand > 0 ? shares[i] / demand : 1;
    ++i;
  }
}

}  // namespace tanagervane
