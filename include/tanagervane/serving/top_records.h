// Merges the shard responses of a fan-out.

#ifndef TANAGERVANE_SERVING_TOP_RECORDS_H_
#define TANAGERVANE_SERVING_TOP_RECORDS_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace tanagervane {

inline constexpr size_t kRecordBytes = 16;

/// Returns the `count` greatest records of all bodies in descending order,
/// compared as unsigned bytes. Duplicates are kept. Trailing bytes of a body
/// that are shorter than a record are ignored.
std::string MergeTopRecords(std::span<const std::string_view> shard_bodies,
                            uint32_t count);

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_TOP_RECORDS_H_
