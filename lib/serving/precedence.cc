#include "tanagervane/serving/precedence.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace tanagervane {

namespace {

/// Ratio of the longest waits of neighbouring priorities. Far enough apart that
/// the more urgent ones are hardly ever refused while a less urgent one is
/// admitted, because the length of a queue varies by a few requests.
constexpr double kPriorityFactor = 0.3;

/// Reductions of the longest wait. Their product exceeds kPriorityFactor, so
/// that the priority counts first and the share second.
constexpr double kOverShareFactor = 0.35;
constexpr double kLateFactor = 0.9;
static_assert(kOverShareFactor * kLateFactor > kPriorityFactor);
static_assert(kOverShareFactor < kLateFactor);

/// Callers honour a Retry-After up to this fraction of their remaining time.
constexpr double kHonouredFraction = 1.0 / 3;

/// The longest Retry-After as a multiple of the shortest.
constexpr double kRetrySpread = 2;

std::vector<std::string_view> ServicesOf(const RouteSpec& route) {
  std::vector<std::string_view> services(route.shards.begin(),
                                         route.shards.end());
  for (const WeightedService& target : route.targets) {
    services.push_back(target.service);
  }
  return services;
}

/// Returns the name of the group of each service: services that a route uses
/// together are in the same group.
std::map<std::string_view, std::string_view> GroupNames(
    std::span<const RouteSpec> routes) {
  std::map<std::string_view, std::string_view> groups;
  for (const RouteSpec& route : routes) {
    std::set<std::string_view> joined;
    const auto services = ServicesOf(route);
    for (const std::string_view service : services) {
      joined.insert(groups.try_emplace(service, service).first->second);
    }
    if (joined.size() < 2) {
      continue;
    }
    for (auto& [service, group] : groups) {
      if (joined.contains(group)) {
        group = *joined.begin();
      }
    }
  }
  return groups;
}

}  // namespace

Millis MaxWait(const PrecedenceInputs& inputs,
               std::span<const RequestKind> rivals) {
  Millis limit = inputs.kind.max_wait;
  std::set<uint32_t> more_urgent;
  for (const RequestKind& rival : rivals) {
    if (rival.priority < inputs.kind.priority) {
      more_urgent.insert(rival.priority);
    }
  }
  for (const RequestKind& rival : rivals) {
    if (rival.priority >= inputs.kind.priority) {
      continue;
    }
    const auto levels =
        std::distance(more_urgent.find(rival.priority), more_urgent.end());
    limit =
        std::min(limit, rival.max_wait * std::pow(kPriorityFactor,
                                                  static_cast<double>(levels)));
  }
  limit = limit * (inputs.over_share ? kOverShareFactor : 1);
  limit = limit * (inputs.late ? kLateFactor : 1);
  return std::max(Millis(0), std::min(limit, inputs.latest_start));
}

Millis SpreadRetryAfter(Millis retry_after, Millis time_left, double draw) {
  const Millis honoured = time_left * kHonouredFraction;
  const Millis last =
      std::max(retry_after, std::min(retry_after * kRetrySpread, honoured));
  return retry_after + (last - retry_after) * draw;
}

void Precedence::ApplyConfig(const ServingConfig& config) {
  m_tenant_priorities.clear();
  std::map<std::string, double, std::less<>> weights;
  for (const TenantSpec& tenant : config.tenants) {
    if (tenant.priority) {
      m_tenant_priorities[tenant.name] = *tenant.priority;
    }
    weights[tenant.name] = tenant.rate > 0 ? tenant.rate : 1;
  }
  const auto names = GroupNames(config.routes);
  std::map<std::string, Group, std::less<>> old = std::exchange(m_groups, {});
  m_group_by_route.clear();
  for (const RouteSpec& route : config.routes) {
    if (ServicesOf(route).empty()) {
      continue;
    }
    const std::string name(names.at(ServicesOf(route).front()));
    if (const auto it = old.find(name); it != old.end()) {
      m_groups.try_emplace(name).first->second.shares = it->second.shares;
    }
    m_group_by_route[route.name] = name;
    AddRoute(route, config);
  }
  for (auto& [name, group] : m_groups) {
    group.shares.SetTenants(weights);
  }
}

void Precedence::AddRoute(const RouteSpec& route, const ServingConfig& config) {
  Group& group = m_groups[m_group_by_route.at(route.name)];
  std::set<uint32_t> priorities;
  for (const TenantSpec& tenant : config.tenants) {
    priorities.insert(tenant.priority.value_or(route.priority));
  }
  if (route.is_public || config.tenants.empty()) {
    priorities = {route.priority};
  }
  for (const uint32_t priority : priorities) {
    group.kinds.push_back({priority, route.objective});
  }
}

Precedence::Group* Precedence::FindGroup(std::string_view route) {
  const auto name = m_group_by_route.find(route);
  return name == m_group_by_route.end() ? nullptr : &m_groups.at(name->second);
}

uint32_t Precedence::PriorityOf(const RouteSpec& route,
                                std::string_view tenant) const {
  const auto it = m_tenant_priorities.find(tenant);
  return it == m_tenant_priorities.end() ? route.priority : it->second;
}

Millis Precedence::MaxWait(const Candidate& candidate, Millis now) {
  const uint32_t priority = PriorityOf(candidate.route, candidate.tenant);
  PrecedenceInputs inputs;
  inputs.kind = {priority,
                 candidate.max_wait(priority, candidate.route.objective)};
  inputs.late = candidate.late;
  inputs.latest_start = candidate.latest_start;
  std::vector<RequestKind> rivals;
  if (Group* group = FindGroup(candidate.route.name)) {
    for (const PossibleKind& kind : group->kinds) {
      rivals.push_back(
          {kind.priority, candidate.max_wait(kind.priority, kind.objective)});
    }
    const double within_share =
        group->shares.RecordDemand(candidate.tenant, now);
    inputs.over_share =
        within_share < 1 && m_random.NextDouble() >= within_share;
    m_over_share_requests += inputs.over_share ? 1 : 0;
  }
  return tanagervane::MaxWait(inputs, rivals);
}

void Precedence::RecordAdmitted(const RouteSpec& route, Millis now) {
  if (Group* group = FindGroup(route.name)) {
    group->shares.RecordAdmitted(now);
  }
}

}  // namespace tanagervane
