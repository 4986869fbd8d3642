#include "tanagervane/serving/replica_set.h"

#include <algorithm>
#include <set>
#include <utility>

#include "fmt/format.h"

namespace tanagervane {

namespace {

/// Registrations of live replicas that lapsed during an outage of the store are
/// back within two seconds of its return.
constexpr Millis kMaxLapseGrace{2200};

/// Time for a removal to reach the first VM, in addition to the time for which
/// changes are gathered, and for the end of the grace time to take effect.
constexpr Millis kRemovalPropagationDelay{300};

/// How long before the end of the grace time a lapse is verified. Leaves time
/// for a call of the store.
constexpr Millis kLapseVerificationTime{250};

/// How long replicas count as slow after the evacuation of their data centre
/// ended, unless they state a longer warm-up.
constexpr Millis kReturnWarmUp{3000};

/// Reserve for VMs that are not counted yet because they are new, or whose
/// previous process still holds connections.
constexpr size_t kUnknownVms = 1;

std::string MakeKey(const ReplicaRegistration& registration) {
  return fmt::format("{}@{}", registration.id, registration.started_at_ms);
}

}  // namespace

Service& ReplicaSet::GetService(std::string_view name) {
  auto it = m_services.find(name);
  if (it == m_services.end()) {
    auto service = std::make_unique<Service>();
    service->name = std::string(name);
    ApportionLimits(*service);
    it = m_services.emplace(std::string(name), std::move(service)).first;
  }
  return *it->second;
}

void ReplicaSet::ApportionLimits(Service& service) const {
  const size_t sharing_vms = m_vm_count + kUnknownVms;
  service.max_own_connections =
      std::max<size_t>(1, service.max_connections / sharing_vms);
  service.retry_budget.SetLimits(m_retry_limits,
                                 1.0 / static_cast<double>(m_vm_count));
}

void ReplicaSet::ApplyServices(std::span<const ServiceSpec> services) {
  for (const ServiceSpec& spec : services) {
    Service& service = GetService(spec.name);
    service.health_path = spec.health_path;
    service.max_connections = spec.max_connections;
    ApportionLimits(service);
  }
}

void ReplicaSet::SetFleetSize(size_t vm_count, const RetryLimits& limits) {
  m_vm_count = std::max<size_t>(1, vm_count);
  m_retry_limits = limits;
  m_limits.SetShare(1.0 / static_cast<double>(m_vm_count));
  for (auto& [name, service] : m_services) {
    ApportionLimits(*service);
  }
}

void ReplicaSet::Add(const ReplicaRegistration& registration, Millis now) {
  auto replica = std::make_shared<ServingReplica>();
  replica->key = MakeKey(registration);
  replica->incarnation = HashIncarnation(replica->key);
  replica->registration = registration;
  replica->service = &GetService(registration.service);
  replica->warming_up_until = now + registration.warm_up_left;
  replica->limits = m_limits.Get(replica->incarnation, now);
  replica->service->replicas.push_back(replica);
  m_replicas[registration.id] = replica;
  m_by_incarnation[replica->incarnation] = replica;
  m_hooks.on_added(*replica);
  if (m_leaving.Contains(replica->incarnation)) {
    MarkLeaving(*replica, "left_before", now);
  }
}

void ReplicaSet::Retire(Replicas::iterator it, std::string_view reason) {
  const std::shared_ptr<ServingReplica> replica = it->second;
  replica->leaving = true;
  std::erase(replica->service->replicas, replica);
  m_by_incarnation.erase(replica->incarnation);
  m_replicas.erase(it);
  m_hooks.on_retired(*replica, reason);
}

void ReplicaSet::Apply(const ReplicaRegistration& registration, Millis now) {
  auto it = m_replicas.find(registration.id);
  if (it != m_replicas.end()) {
    const ReplicaRegistration& known = it->second->registration;
    if (registration.started_at_ms < known.started_at_ms) {
      return;
    }
    const bool same = registration.started_at_ms == known.started_at_ms &&
                      registration.service == known.service &&
                      registration.address == known.address;
    if (!same) {
      Retire(it, "new_incarnation");
      it = m_replicas.end();
    }
  }
  if (it == m_replicas.end()) {
    Add(registration, now);
    it = m_replicas.find(registration.id);
  }
  ServingReplica& replica = *it->second;
  replica.lapsed_at.reset();
  replica.lapse_verified = false;
  replica.registration = registration;
  replica.evacuated = m_evacuated.contains(registration.data_centre);
  if (registration.warm_up_left > Millis(0)) {
    replica.warming_up_until = now + registration.warm_up_left;
  }
  if (registration.draining) {
    MarkLeaving(replica, "draining", now);
  }
}

void ReplicaSet::SetEvacuated(
    const std::set<std::string, std::less<>>& data_centres,
    Millis now) {
  m_evacuated = data_centres;
  for (const auto& [id, replica] : m_replicas) {
    const bool evacuated =
        m_evacuated.contains(replica->registration.data_centre);
    if (std::exchange(replica->evacuated, evacuated) && !evacuated) {
      replica->warming_up_until =
          std::max(replica->warming_up_until, now + kReturnWarmUp);
      replica->load.reset();
    }
  }
}

size_t ReplicaSet::CountEvacuated() const {
  return static_cast<size_t>(std::ranges::count_if(
      m_replicas,
      [](const auto& replica) { return replica.second->evacuated; }));
}

void ReplicaSet::MarkLeaving(ServingReplica& replica,
                             std::string_view reason,
                             Millis now) {
  // A retired replica is remembered too: its registration may come back.
  m_leaving.Add(replica.incarnation, now);
  if (std::exchange(replica.leaving, true)) {
    return;
  }
  m_hooks.on_retired(replica, reason);
}

void ReplicaSet::MarkLeaving(std::span<const IncarnationHash> incarnations,
                             Millis now) {
  for (const IncarnationHash incarnation : incarnations) {
    const auto known = m_by_incarnation.find(incarnation);
    if (known != m_by_incarnation.end()) {
      MarkLeaving(*known->second, "peer_knows_leaving", now);
    } else {
      // Its registration may arrive later.
      m_leaving.Add(incarnation, now);
    }
  }
}

void ReplicaSet::RecordRateLimit(const ServingReplica& replica,
                                 std::optional<double> per_second,
                                 Millis now) {
  if (m_limits.RecordRateLimit(replica.incarnation, per_second, now, now)) {
    m_hooks.on_rate_limit_changed(replica, "response");
  }
}

void ReplicaSet::RecordBackoff(const ServingReplica& replica,
                               Millis duration,
                               Millis now) {
  Millis& backoff_until = replica.limits->backoff_until;
  const bool is_new = backoff_until <= now;
  backoff_until = std::max(backoff_until, now + duration);
  if (is_new) {
    m_hooks.on_backoff(replica, duration);
  }
}

void ReplicaSet::RecordRateLimits(std::span<const RateLimitReport> reports,
                                  Millis now) {
  for (const auto& [incarnation, per_second, age] : reports) {
    const bool changed =
        m_limits.RecordRateLimit(incarnation, per_second, now - age, now);
    const auto known = m_by_incarnation.find(incarnation);
    if (changed && known != m_by_incarnation.end()) {
      m_hooks.on_rate_limit_changed(*known->second, "peer");
    }
  }
}

void ReplicaSet::Remove(std::string_view id, Millis seen_at, Millis now) {
  const auto it = m_replicas.find(id);
  if (it == m_replicas.end()) {
    return;
  }
  if (it->second->leaving) {
    Retire(it, "entry_removed");
    return;
  }
  if (!it->second->lapsed_at) {
    it->second->lapsed_at = std::min(seen_at, now);
  }
}

void ReplicaSet::ApplyList(std::span<const ReplicaRegistration> registrations,
                           Millis seen_at,
                           Millis now) {
  std::set<std::string_view> listed;
  for (const ReplicaRegistration& registration : registrations) {
    listed.insert(registration.id);
    Apply(registration, now);
  }
  std::vector<std::string> missing;
  for (const auto& [id, replica] : m_replicas) {
    if (!listed.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    Remove(id, seen_at, now);
  }
}

bool ReplicaSet::ShouldVerifyLapse(Millis now) {
  bool verify = false;
  for (const auto& [name, service] : m_services) {
    const auto is_due = [&](const std::shared_ptr<ServingReplica>& replica) {
      return replica->lapsed_at && !replica->lapse_verified &&
             now >= LapseEnd(*replica) - kLapseVerificationTime;
    };
    const auto due = std::ranges::count_if(service->replicas, is_due);
    if (2 * static_cast<size_t>(due) <= service->replicas.size()) {
      continue;
    }
    for (const auto& replica : service->replicas) {
      replica->lapse_verified |= is_due(replica);
    }
    verify = true;
  }
  return verify;
}

Millis ReplicaSet::LapseEnd(const ServingReplica& replica) const {
  const Millis left =
      m_drain_timeout * (1 - kBatchDelayFraction) - kRemovalPropagationDelay;
  const Millis end =
      *replica.lapsed_at + std::clamp(left, Millis(0), kMaxLapseGrace);
  return m_store_reachable_since
             ? std::max(end, *m_store_reachable_since + kMaxLapseGrace)
             : end;
}

void ReplicaSet::SetStoreReachable(bool reachable, Millis now) {
  if (reachable && !m_store_reachable) {
    m_store_reachable_since = now;
  }
  m_store_reachable = reachable;
}

void ReplicaSet::RetireLapsed(Millis now) {
  m_leaving.Expire(now);
  m_limits.Expire(now);
  std::vector<std::string> lapsed;
  for (const auto& [id, replica] : m_replicas) {
    if (replica->lapsed_at && m_store_reachable && now >= LapseEnd(*replica)) {
      lapsed.push_back(id);
    }
  }
  for (const std::string& id : lapsed) {
    Retire(m_replicas.find(id), "entry_lapsed");
  }
}

const ServingReplica* ReplicaSet::Find(std::string_view id) const {
  const auto it = m_replicas.find(id);
  return it == m_replicas.end() ? nullptr : it->second.get();
}

void ReplicaSet::ForEachService(const std::function<void(Service&)>& visit) {
  for (auto& [name, service] : m_services) {
    visit(*service);
  }
}

}  // namespace tanagervane
