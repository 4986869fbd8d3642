// Entries of the store that cannot be used.

#ifndef TANAGERVANE_STATE_REJECTED_ENTRIES_H_
#define TANAGERVANE_STATE_REJECTED_ENTRIES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

namespace tanagervane {

/// Counts the entries of one kind that were rejected, so that each is logged
/// once for each of its changes although lists repeat it.
class RejectedEntries {
 public:
  /// Records that an entry was rejected as of this revision. Returns whether
  /// this is to be logged.
  bool Add(std::string_view name, uint64_t revision);

  /// Forgets the revisions, because the store has begun a new era.
  void ForgetRevisions() { m_revisions.clear(); }

  /// Changes of entries that were rejected.
  uint64_t total() const { return m_total; }

 private:
  std::unordered_map<std::string, uint64_t> m_revisions;
  uint64_t m_total = 0;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_STATE_REJECTED_ENTRIES_H_
