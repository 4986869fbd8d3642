#include "tanagervane/state/rejected_entries.h"

#include <utility>

namespace tanagervane {

namespace {

/// Changes of further entries are counted but not logged.
constexpr size_t kMaxRememberedEntries = 1000;

}  // namespace

bool RejectedEntries::Add(std::string_view name, uint64_t revision) {
  const auto known = m_revisions.find(std::string(name));
  if (known == m_revisions.end()) {
    ++m_total;
    return m_revisions.size() < kMaxRememberedEntries &&
           m_revisions.emplace(name, revision).second;
  }
  if (std::exchange(known->second, revision) == revision) {
    return false;
  }
  ++m_total;
  return true;
}

}  // namespace tanagervane
