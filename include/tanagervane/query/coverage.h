#ifndef TANAGERVANE_QUERY_COVERAGE_H_
#define TANAGERVANE_QUERY_COVERAGE_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "tanagervane/query/types.h"

namespace tanagervane {

/// Records which shards of one fan-out answered (covered) and which did not
/// (missing). A shard with either result is settled; it is settled at most
/// once.
class Coverage {
 public:
  explicit Coverage(uint32_t shard_count);

  void MarkCovered(uint32_t shard);
  void MarkMissing(uint32_t shard, MissingReason reason);

  /// Marks each shard that is not settled as missing for `reason`. With
  /// `replace`, shards already missing get this reason as well.
  void MarkRestMissing(MissingReason reason, bool replace);

  bool IsSettled(uint32_t shard) const;
  bool IsCovered(uint32_t shard) const { return m_shard_states[shard].covered; }
  bool AllSettled() const { return m_covered + m_missing == shard_count(); }
  uint32_t shard_count() const {
    return static_cast<uint32_t>(m_shard_states.size());
  }
  uint32_t covered() const { return m_covered; }

  /// The fraction of the shards that is covered, in [0, 1].
  double Fraction() const;

  /// The missing shards in order of shard number.
  std::vector<MissingShard> MissingShards() const;

  /// True when at least one shard is missing for `reason`.
  bool HasMissing(MissingReason reason) const;

 private:
  struct ShardState {
    bool covered = false;
    std::optional<MissingReason> missing;
  };

  std::vector<ShardState> m_shard_states;
  uint32_t m_covered = 0;
  uint32_t m_missing = 0;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_QUERY_COVERAGE_H_
