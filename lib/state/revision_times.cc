#include "tanagervane/state/revision_times.h"

#include <algorithm>
#include <iterator>

namespace tanagervane {

namespace {

/// More reports than this are not needed: they stand for changes that were seen
/// one after the other, and only recent ones are looked up.
constexpr size_t kMaxEntries = 64;

/// How long reports are passed on. Gossip reaches all VMs well within it.
constexpr Millis kReportGossipDuration{3000};

constexpr Millis kReportLifetime{30'000};

}  // namespace

void RevisionTimes::Record(uint64_t revision, Millis seen_at) {
  const auto position =
      std::ranges::lower_bound(m_entries, revision, {}, &Entry::revision);
  if (position != m_entries.end() && position->seen_at <= seen_at) {
    return;
  }
  // Lower revisions that are reported for later times are superseded.
  auto first = position;
  while (first != m_entries.begin() && std::prev(first)->seen_at >= seen_at) {
    --first;
  }
  auto last = position;
  if (last != m_entries.end() && last->revision == revision) {
    ++last;
  }
  m_entries.insert(m_entries.erase(first, last), {revision, seen_at});
  if (m_entries.size() > kMaxEntries) {
    m_entries.pop_front();
  }
}

std::optional<Millis> RevisionTimes::SeenAt(uint64_t revision) const {
  const auto entry =
      std::ranges::lower_bound(m_entries, revision, {}, &Entry::revision);
  if (entry == m_entries.end()) {
    return std::nullopt;
  }
  return entry->seen_at;
}

std::vector<RevisionReport> RevisionTimes::Recent(Millis now,
                                                  size_t max_count) {
  while (!m_entries.empty() &&
         now - m_entries.front().seen_at >= kReportLifetime) {
    m_entries.pop_front();
  }
  std::vector<RevisionReport> reports;
  for (auto entry = m_entries.rbegin();
       entry != m_entries.rend() && reports.size() < max_count &&
       now - entry->seen_at < kReportGossipDuration;
       ++entry) {
    reports.push_back({entry->revision, now - entry->seen_at});
  }
  return reports;
}

}  // namespace tanagervane
