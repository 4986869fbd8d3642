// The merge of the parts of a fan-out.

#ifndef TANAGERVANE_SERVING_TOP_RECORDS_H_
#define TANAGERVANE_SERVING_TOP_RECORDS_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace tanagervane {

inline constexpr size_t kRecordBytes = 16;

/// The greatest `count` records of all parts, greatest first, compared byte by
/// byte. Equal records all count. A remainder of a part that is shorter than a
/// record is ignored.
std::string MergeTopRecords(std::span<const std::string_view> parts,
                            uint32_t count);

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_TOP_RECORDS_H_
