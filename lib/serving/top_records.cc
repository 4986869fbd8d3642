#include "tanagervane/serving/top_records.h"

#include <algorithm>
#include <cstring>
#include <vector>

namespace tanagervane {

std::string MergeTopRecords(std::span<const std::string_view> shard_bodies,
                            uint32_t count) {
  std::vector<const char*> records;
  for (const std::string_view body : shard_bodies) {
    for (size_t offset = 0; offset + kRecordBytes <= body.size();
         offset += kRecordBytes) {
      records.push_back(body.data() + offset);
    }
  }
  const size_t result_count = std::min<size_t>(count, records.size());
  std::partial_sort(records.begin(),
                    records.begin() + static_cast<ptrdiff_t>(result_count),
                    records.end(), [](const char* a, const char* b) {
                      return std::memcmp(a, b, kRecordBytes) > 0;
                    });
  std::string merged;
  merged.reserve(result_count * kRecordBytes);
  for (size_t i = 0; i < result_count; ++i) {
    merged.append(records[i], kRecordBytes);
  }
  return merged;
}

}  // namespace tanagervane
