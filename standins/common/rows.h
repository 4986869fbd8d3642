// The rows that fake backend servers return. Programs that check the replies
// compute the expected rows with the same function.

#ifndef TANAGERVANE_STANDINS_COMMON_ROWS_H_
#define TANAGERVANE_STANDINS_COMMON_ROWS_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "fmt/format.h"
#include "tanagervane/support/hash.h"

namespace tanagervane::standins {

/// Returns the rows of a shard of an index version for `payload`: 1 to 4 rows,
/// but at most `row_limit` unless that is zero. Each row contains the index,
/// the version and the shard, so that a check detects a row from a wrong shard
/// or version.
inline std::vector<std::string> ExpectedRows(std::string_view index,
                                             uint64_t version,
                                             uint32_t shard,
                                             std::string_view payload,
                                             uint32_t row_limit = 0) {
  const std::string shard_path = fmt::format("{}/{}/{}", index, version, shard);
  const uint64_t hash = StableHash(payload, StableHash(shard_path));
  uint32_t count = 1 + static_cast<uint32_t>((hash >> 32) % 4);
  if (row_limit != 0 && row_limit < count) {
    count = row_limit;
  }
  std::vector<std::string> rows;
  rows.reserve(count);
  for (uint32_t i = 0; i < count; ++i) {
    rows.push_back(fmt::format("{}/{}/{:016x}", shard_path, i, hash));
  }
  return rows;
}

}  // namespace tanagervane::standins

#endif  // TANAGERVANE_STANDINS_COMMON_ROWS_H_
