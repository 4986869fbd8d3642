#include "tanagervane/serving/leaving_replicas.h"

#include <algorithm>

#include "tanagervane/serving/self_report.h"
#include "tanagervane/support/hash.h"

namespace tanagervane {

IncarnationHash HashIncarnation(std::string_view replica_key) {
  return StableHash(replica_key);
}

bool LeavingReplicas::Add(IncarnationHash incarnation, Millis now) {
  if (size() >= kMaxRememberedIncarnations ||
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
        return now - entry.added_at >= kStatementGossipDuration;
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
         now - m_entries.front().added_at >= kStatementLifetime) {
    m_incarnations.erase(m_entries.front().incarnation);
    m_entries.pop_front();
  }
}

}  // namespace tanagervane
