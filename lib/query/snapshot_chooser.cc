#include "tanagervane/query/snapshot_chooser.h"

#include <algorithm>
#include <utility>

namespace tanagervane {

namespace {

// Ignores whether the selector avoids the replica: avoidance changes within
// milliseconds, and the chosen version must not change with it.
bool IsLive(const Replica* replica) {
  return replica->has_status && !replica->leaving &&
         replica->status.state == ServerState::kServing;
}

bool IsConnected(const Replica* replica) {
  return IsLive(replica) && !replica->disconnected;
}

}  // namespace

std::optional<Snapshot> SnapshotChooser::Choose(std::string_view index) {
  if (const auto it = m_cache.find(index); it != m_cache.end()) {
    return it->second;
  }
  const std::optional<Snapshot> snapshot = Compute(index);
  m_cache.emplace(std::string(index), snapshot);
  return snapshot;
}

std::optional<Snapshot> SnapshotChooser::Compute(std::string_view index) const {
  std::optional<Snapshot> best;
  std::pair<double, double> best_fractions;
  for (const auto& [version, shard_count] : m_table.Versions(index)) {
    if (shard_count == 0) {
      continue;
    }
    uint32_t live = 0;
    uint32_t connected = 0;
    for (uint32_t shard = 0; shard < shard_count; ++shard) {
      const auto holders = m_table.Holders(index, version, shard);
      live += std::ranges::any_of(holders, IsLive) ? 1 : 0;
      connected += std::ranges::any_of(holders, IsConnected) ? 1 : 0;
    }
    const auto count = static_cast<double>(shard_count);
    const std::pair<double, double> fractions{connected / count, live / count};
    if (fractions > best_fractions) {
      best = Snapshot{version, shard_count};
      best_fractions = fractions;
    }
    if (connected == shard_count) {
      break;
    }
  }
  return best;
}

}  // namespace tanagervane
