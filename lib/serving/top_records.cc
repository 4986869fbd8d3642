// Partial selection over the records of all parts.

#include "tanagervane/serving/top_records.h"

#include <algorithm>
#include <cstring>
#include <vector>

namespace tanagervane {

std::string MergeTopRecords(std::span<const std::string_view> parts,
                            uint32_t count) {
  std::vector<const char*> records;
  for (const std::string_view part : parts) {
    for (size_t at = 0; at + kRecordBytes <= part.size(); at += kRecordBytes) {
      records.push_back(part.data() + at);
    }
  }
  const size_t kept = std::min<size_t>(count, records.size());
  std::partial_sort(records.begin(),
                    records.begin() + static_cast<ptrdiff_t>(kept),
                    records.end(), [](const char* a, const char* b) {
                      return std::memcmp(a, b, kRecordBytes) > 0;
                    });
  std::string merged;
  merged.reserve(kept * kRecordBytes);
  for (size_t i = 0; i < kept; ++i) {
    merged.append(records[i], kRecordBytes);
  }
  return merged;
}

}  // namespace tanagervane
