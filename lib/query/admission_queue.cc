#include "tanagervane/query/admission_queue.h"

#include <algorithm>
#include <cassert>

namespace tanagervane {

void AdmissionQueue::SetShares(std::span<const TenantShare> tenants) {
  m_shares.clear();
  m_min_share = std::numeric_limits<uint32_t>::max();
  for (const TenantShare& tenant : tenants) {
    const uint32_t share = std::max<uint32_t>(1, tenant.share);
    m_shares[tenant.name] = share;
    m_min_share = std::min(m_min_share, share);
  }
  if (m_shares.empty()) {
    m_min_share = 1;
  }
}

void AdmissionQueue::SetConcurrencyLimit(uint32_t limit) {
  m_concurrency_limit = std::max<uint32_t>(1, limit);
}

uint32_t AdmissionQueue::MaxRunning(Urgency urgency) const {
  if (urgency == Urgency::kUrgent) {
    return m_concurrency_limit;
  }
  return std::max<uint32_t>(
      1, static_cast<uint32_t>(m_concurrency_limit * kPatientFraction));
}

bool AdmissionQueue::HasFreePermit(Urgency urgency) const {
  return running() < m_concurrency_limit &&
         m_running[UrgencyIndex(urgency)] < MaxRunning(urgency);
}

bool AdmissionQueue::TryAdmit(Urgency urgency) {
  if (!HasFreePermit(urgency) || m_queues[UrgencyIndex(urgency)].queued > 0) {
    return false;
  }
  ++m_running[UrgencyIndex(urgency)];
  return true;
}

bool AdmissionQueue::Enqueue(Ticket ticket,
                             Urgency urgency,
                             std::string_view tenant,
                             std::string_view class_name) {
  assert(!m_waiting.contains(ticket) && "a ticket is queued at most once");
  UrgencyQueue& queue = m_queues[UrgencyIndex(urgency)];
  const std::string tenant_name(tenant);
  const std::string flow_name(class_name);
  TenantQueue& tenant_queue = queue.tenants[tenant_name];
  Flow& flow = tenant_queue.flows[flow_name];
  if (flow.size() >= kMaxQueuedPerFlow) {
    return false;
  }
  flow.push_back(ticket);
  if (tenant_queue.queued++ == 0) {
    queue.active_tenants.push_back(tenant_name);
  }
  ++queue.queued;
  m_waiting.emplace(ticket, WaitingFanout{urgency, tenant_name, flow_name,
                                          std::prev(flow.end())});
  return true;
}

Millis AdmissionQueue::EstimatedWait(Urgency urgency,
                                     std::string_view tenant,
                                     Millis holding_time) const {
  const UrgencyQueue& queue = m_queues[UrgencyIndex(urgency)];
  double own_queued = 1;
  double total_quanta = Quantum(tenant);
  for (const std::string& name : queue.active_tenants) {
    if (name == tenant) {
      own_queued +=
          static_cast<double>(queue.tenants.find(name)->second.queued);
    } else {
      total_quanta += Quantum(name);
    }
  }
  // The tenant's own queue is served at the tenant's share of the throughput,
  // and the wait is never longer than for the whole queue.
  double fanouts_ahead = std::min(own_queued * total_quanta / Quantum(tenant),
                                  static_cast<double>(queue.queued) + 1);
  if (urgency == Urgency::kPatient) {
    fanouts_ahead +=
        static_cast<double>(m_queues[UrgencyIndex(Urgency::kUrgent)].queued);
  }
  return holding_time * (fanouts_ahead / MaxRunning(urgency));
}

std::optional<AdmissionQueue::Ticket> AdmissionQueue::AdmitNext() {
  for (const Urgency urgency : {Urgency::kUrgent, Urgency::kPatient}) {
    UrgencyQueue& queue = m_queues[UrgencyIndex(urgency)];
    if (queue.queued > 0 && HasFreePermit(urgency)) {
      ++m_running[UrgencyIndex(urgency)];
      return Dequeue(queue);
    }
  }
  return std::nullopt;
}

double AdmissionQueue::Quantum(std::string_view tenant) const {
  const auto it = m_shares.find(tenant);
  const uint32_t share = it == m_shares.end() ? m_min_share : it->second;
  // At least 1, so that each turn serves at least one fan-out.
  return static_cast<double>(share) / m_min_share;
}

AdmissionQueue::Ticket AdmissionQueue::Dequeue(UrgencyQueue& queue) {
  assert(!queue.active_tenants.empty() &&
         "a tenant with waiting fan-outs is active");
  for (;;) {
    const std::string& name = queue.active_tenants.front();
    TenantQueue& tenant = queue.tenants.find(name)->second;
    if (!tenant.quantum_granted) {
      tenant.deficit += Quantum(name);
      tenant.quantum_granted = true;
    }
    if (tenant.deficit < 1) {
      tenant.quantum_granted = false;
      queue.active_tenants.splice(queue.active_tenants.end(),
                                  queue.active_tenants,
                                  queue.active_tenants.begin());
      continue;
    }
    tenant.deficit -= 1;
    const Ticket ticket = DequeueFromTenant(tenant);
    m_waiting.erase(ticket);
    --queue.queued;
    if (tenant.queued == 0) {
      queue.tenants.erase(name);
      queue.active_tenants.pop_front();
    }
    return ticket;
  }
}

AdmissionQueue::Ticket AdmissionQueue::DequeueFromTenant(TenantQueue& tenant) {
  auto it = tenant.flows.upper_bound(tenant.last_served_class);
  if (it == tenant.flows.end()) {
    it = tenant.flows.begin();
  }
  tenant.last_served_class = it->first;
  const Ticket ticket = it->second.front();
  it->second.pop_front();
  if (it->second.empty()) {
    tenant.flows.erase(it);
  }
  --tenant.queued;
  return ticket;
}

bool AdmissionQueue::Remove(Ticket ticket) {
  const auto it = m_waiting.find(ticket);
  if (it == m_waiting.end()) {
    return false;
  }
  const WaitingFanout& waiting = it->second;
  UrgencyQueue& queue = m_queues[UrgencyIndex(waiting.urgency)];
  const auto tenant = queue.tenants.find(waiting.tenant);
  const auto flow = tenant->second.flows.find(waiting.class_name);
  flow->second.erase(waiting.position);
  if (flow->second.empty()) {
    tenant->second.flows.erase(flow);
  }
  --queue.queued;
  if (--tenant->second.queued == 0) {
    queue.active_tenants.remove(waiting.tenant);
    queue.tenants.erase(tenant);
  }
  m_waiting.erase(it);
  return true;
}

void AdmissionQueue::Release(Urgency urgency) {
  assert(m_running[UrgencyIndex(urgency)] > 0 &&
         "a released permit was taken before");
  --m_running[UrgencyIndex(urgency)];
}

}  // namespace tanagervane
