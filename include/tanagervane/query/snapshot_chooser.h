#ifndef TANAGERVANE_QUERY_SNAPSHOT_CHOOSER_H_
#define TANAGERVANE_QUERY_SNAPSHOT_CHOOSER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "tanagervane/routing/replica_table.h"

namespace tanagervane {

/// An index version and its number of shards.
struct Snapshot {
  uint64_t version = 0;
  uint32_t shard_count = 0;

  bool operator==(const Snapshot&) const = default;
};

/// Chooses the index version that a new request reads: the newest version of
/// which each shard has a live, connected replica. If there is none, the
/// version with the largest fraction of shards with a connected replica, then
/// with a live replica, and among equals the newest.
class SnapshotChooser {
 public:
  explicit SnapshotChooser(const ReplicaTable& table) : m_table(table) {}

  /// Returns nothing when no live replica holds any version of the index.
  std::optional<Snapshot> Choose(std::string_view index);

  /// Drops the cached choices. Must be called after each change of the table's
  /// replicas, their states or their versions.
  void Invalidate() { m_cache.clear(); }

 private:
  std::optional<Snapshot> Compute(std::string_view index) const;

  const ReplicaTable& m_table;
  std::map<std::string, std::optional<Snapshot>, std::less<>> m_cache;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_QUERY_SNAPSHOT_CHOOSER_H_
