#include "tanagervane/serving/leaving_replicas.h"

#include "tanagervane/support/hash.h"

namespace tanagervane {

namespace {

/// Much longer than a leaving replica serves or a heartbeat is delayed.
constexpr Millis kLeavingLifetime{600'000};

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

void LeavingReplicas::Expire(Millis now) {
  while (!m_entries.empty() &&
         now - m_entries.front().added_at >= kLeavingLifetime) {
    m_incarnations.erase(m_entries.front().incarnation);
    m_entries.pop_front();
  }
}

}  // namespace tanagervane
