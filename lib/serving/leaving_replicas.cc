#include "tanagervane/serving/leaving_replicas.h"

#include "tanagervane/support/hash.h"

namespace tanagervane {

namespace {

/// Much longer than a leaving replica serves or a heartbeat is delayed.
constexpr Millis kLeavingLifetime{600'000};

/// How long a VM tells others what it has learned. Each of them does the same,
/// so this is enough to reach a fleet of thousands of VMs.
constexpr Millis kRecentDuration{3000};

/// Bounds the memory. Several times the replicas of the largest fleet.
constexpr size_t kMaxLeavingReplicas = 100'000;

}  // namespace

IncarnationHash HashIncarnation(std::string_view replica_key) {
  return StableHash(replica_key);
}

bool LeavingReplicas::Add(IncarnationHash incarnation, Millis now) {
  if (size() >= kMaxLeavingReplicas ||
      !m_incarnations.insert(incarnation).second) {
    return false;
  }
  m_entries.push_back({incarnation, now});
  return true;
}

std::vector<IncarnationHash> LeavingReplicas::Recent(Millis now,
                                                     size_t limit) const {
  std::vector<IncarnationHash> recent;
  for (auto entry = m_entries.rbegin(); entry != m_entries.rend(); ++entry) {
    if (recent.size() >= limit || now - entry->added_at >= kRecentDuration) {
      break;
    }
    recent.push_back(entry->incarnation);
  }
  return recent;
}

void LeavingReplicas::Expire(Millis now) {
  while (!m_entries.empty() &&
         now - m_entries.front().added_at >= kLeavingLifetime) {
    m_incarnations.erase(m_entries.front().incarnation);
    m_entries.pop_front();
  }
}

}  // namespace tanagervane
