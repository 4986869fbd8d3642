// When the first VM of the fleet saw each change of a kind of objects.

#ifndef TANAGERVANE_STATE_REVISION_TIMES_H_
#define TANAGERVANE_STATE_REVISION_TIMES_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "tanagervane/support/millis.h"

namespace tanagervane {

/// A statement that a VM had seen all changes up to a revision, as VMs pass it
/// on.
struct RevisionReport {
  uint64_t revision = 0;
  /// Time since the VM had seen them.
  Millis age;

  bool operator==(const RevisionReport&) const = default;
};

/// Remembers when each of the recent changes was first seen anywhere in the
/// fleet. A VM with stale reads learns of a change late; limits on the time
/// since the change count from the earliest time known here.
class RevisionTimes {
 public:
  /// Records that a VM had seen all changes up to `revision` at `seen_at`.
  void Record(uint64_t revision, Millis seen_at);

  /// Forgets all reports, because the store has begun a new era.
  void Clear() { m_entries.clear(); }

  /// Returns the earliest time at which the change of this revision is known to
  /// have been seen; nullopt when no report includes it.
  std::optional<Millis> SeenAt(uint64_t revision) const;

  /// Returns reports that are so recent that other VMs may not know them, at
  /// most `max_count`, the latest changes first. Forgets old reports, so that a
  /// false one does not hide later ones for good. Call it a few times a second.
  std::vector<RevisionReport> Recent(Millis now, size_t max_count);

 private:
  struct Entry {
    uint64_t revision = 0;
    Millis seen_at;
  };

  /// Revisions and times both increase: a report of a lower revision at a later
  /// time says nothing new.
  std::deque<Entry> m_entries;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_STATE_REVISION_TIMES_H_
