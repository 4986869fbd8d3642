// Memory of the replica incarnations that are known to leave.

#ifndef TANAGERVANE_SERVING_LEAVING_REPLICAS_H_
#define TANAGERVANE_SERVING_LEAVING_REPLICAS_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <unordered_set>
#include <vector>

#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Hash of ServingReplica::key. Identifies an incarnation of a replica.
using IncarnationHash = uint64_t;

IncarnationHash HashIncarnation(std::string_view replica_key);

/// Remembers incarnations that leave beyond the removal of their registration,
/// because a late heartbeat may restore the registration.
class LeavingReplicas {
 public:
  /// Returns whether the incarnation was added; false when it is known already
  /// or too many are.
  bool Add(IncarnationHash incarnation, Millis now);

  bool Contains(IncarnationHash incarnation) const {
    return m_incarnations.contains(incarnation);
  }

  size_t size() const { return m_incarnations.size(); }

  /// Returns incarnations that were added so recently that other VMs may not
  /// know them yet, at most `max_count`. Successive calls return different ones
  /// in turn.
  std::vector<IncarnationHash> Recent(Millis now, size_t max_count);

  /// Forgets the incarnations that were added long ago.
  void Expire(Millis now);

 private:
  struct Entry {
    IncarnationHash incarnation = 0;
    Millis added_at;
  };

  /// In order of addition.
  std::deque<Entry> m_entries;
  std::unordered_set<IncarnationHash> m_incarnations;
  /// Where the next call of Recent() begins, counted in its results.
  size_t m_next_recent = 0;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_LEAVING_REPLICAS_H_
