#include "tanagervane/serving/leaving_replicas.h"

#include <algorithm>

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
                                                     size_t max_count) {
  const auto first =
      std::ranges::partition_point(m_entries, [&](const Entry& entry) {
        return now - entry.added_at >= kRecentDuration;
      });
  const auto recent_count = static_cast<size_t>(m_entries.end() - first);
  std::vector<IncarnationHash> recent;
  while (recent.size() < std::min(max_count, recent_count)) {
    const size_t offset = m_next_recent++ % recent_count;
    recent.push_back(
        (first + static_cast<std::ptrdiff_t>(offset))->incarnation);
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
