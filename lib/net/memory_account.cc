// MemoryAccount and MemoryCharge.

#include "tanagervane/net/memory_account.h"

#include <cassert>
#include <numeric>
#include <unordered_map>
#include <utility>

namespace tanagervane {

namespace {

/// Running requests and replicas' responses may hold the limit divided by this
/// before further requests are refused. The rest is left to requests that are
/// being read and to responses that are being written.
constexpr size_t kRunningDivisor = 2;

/// Replicas' responses that are being read may hold the limit divided by this.
constexpr size_t kResponsesDivisor = 2;

/// Reclaiming ends below the limit by this fraction, so that not each further
/// block of bytes searches all holders.
constexpr size_t kReclaimMarginDivisor = 16;

/// Holders of less than this are not searched; giving it up frees nothing that
/// matters.
constexpr size_t kMinReclaimBytes = 512;

}  // namespace

MemoryAccount::MemoryAccount(size_t limit) : m_limit(limit) {}

size_t MemoryAccount::held() const {
  return std::accumulate(m_held.begin(), m_held.end(), size_t{0});
}

bool MemoryAccount::AdmitsRequest() const {
  return held(MemoryUse::kRunning) + held(MemoryUse::kReplicas) <=
         m_limit / kRunningDivisor;
}

bool MemoryAccount::AllowsResponse(const MemoryCharge& charge) const {
  const size_t limit = m_limit / kResponsesDivisor;
  return held(MemoryUse::kReplicas) <= limit || m_replica_charges == 0 ||
         charge.bytes() < limit / m_replica_charges;
}

MemoryCharge* MemoryAccount::FindVictim(
    bool include_progressing,
    const std::unordered_set<const MemoryCharge*>& passed_over) const {
  const auto is_candidate = [&](const MemoryCharge& charge) {
    if (charge.m_bytes < kMinReclaimBytes || !charge.m_hooks.reclaim ||
        passed_over.contains(&charge)) {
      return false;
    }
    return charge.m_use == MemoryUse::kInput ||
           (charge.m_use == MemoryUse::kOutput &&
            (include_progressing || !charge.m_hooks.is_progressing()));
  };
  std::unordered_map<uint32_t, size_t> bytes_per_peer;
  for (const MemoryCharge* charge : m_charges) {
    if (is_candidate(*charge)) {
      bytes_per_peer[charge->m_peer] += charge->m_bytes;
    }
  }
  MemoryCharge* victim = nullptr;
  std::pair<size_t, size_t> most{0, 0};
  for (MemoryCharge* charge : m_charges) {
    if (!is_candidate(*charge)) {
      continue;
    }
    const std::pair<size_t, size_t> held{bytes_per_peer.at(charge->m_peer),
                                         charge->m_bytes};
    if (held > most) {
      most = held;
      victim = charge;
    }
  }
  return victim;
}

void MemoryAccount::Reclaim() {
  if (m_reclaiming || held() <= m_limit) {
    return;
  }
  m_reclaiming = true;
  const size_t target = m_limit - m_limit / kReclaimMarginDivisor;
  std::unordered_set<const MemoryCharge*> passed_over;
  while (held() > target) {
    MemoryCharge* victim = FindVictim(false, passed_over);
    if (victim == nullptr) {
      victim = FindVictim(true, passed_over);
    }
    if (victim == nullptr) {
      break;
    }
    const size_t before = held();
    victim->m_hooks.reclaim();
    ++m_reclaimed;
    if (held() >= before) {
      passed_over.insert(victim);
    }
  }
  m_reclaiming = false;
}

MemoryCharge::MemoryCharge(MemoryAccount* account,
                           uint32_t peer,
                           MemoryChargeHooks hooks)
    : m_account(account), m_peer(peer), m_hooks(std::move(hooks)) {}

MemoryCharge::~MemoryCharge() {
  Set(m_use, 0);
}

void MemoryCharge::Set(MemoryUse use, size_t bytes) {
  if (m_account == nullptr) {
    m_use = use;
    m_bytes = bytes;
    return;
  }
  const auto count_replica_charge = [this](int by) {
    if (m_use == MemoryUse::kReplicas && m_bytes > 0) {
      m_account->m_replica_charges += static_cast<size_t>(by);
    }
  };
  count_replica_charge(-1);
  size_t& old_held = m_account->m_held[static_cast<size_t>(m_use)];
  assert(old_held >= m_bytes && "more is released than held");
  old_held -= m_bytes;
  if (m_bytes > 0 && bytes == 0) {
    m_account->m_charges.erase(this);
  } else if (m_bytes == 0 && bytes > 0) {
    m_account->m_charges.insert(this);
  }
  m_use = use;
  m_bytes = bytes;
  m_account->m_held[static_cast<size_t>(m_use)] += m_bytes;
  count_replica_charge(1);
}

}  // namespace tanagervane
