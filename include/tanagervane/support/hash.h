// A hash function with the same values in every process and build.

#ifndef TANAGERVANE_SUPPORT_HASH_H_
#define TANAGERVANE_SUPPORT_HASH_H_

#include <cstdint>
#include <span>
#include <string>
#include <string_view>

namespace tanagervane {

inline constexpr uint64_t kFnvOffsetBasis = 14695981039346656037ULL;

/// 64-bit FNV-1a of `bytes`. Passing the hash of a prefix as `state` continues
/// it.
constexpr uint64_t StableHash(std::string_view bytes,
                              uint64_t state = kFnvOffsetBasis) {
  for (char c : bytes) {
    state = (state ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
  }
  return state;
}

/// The checksum of a reply: a hash over all rows, each followed by a zero byte
/// so that the checksum depends on where rows begin and end.
template <typename Rows>
uint64_t RowsChecksum(const Rows& rows) {
  uint64_t state = kFnvOffsetBasis;
  for (const std::string& row : rows) {
    state = StableHash(std::string_view("\0", 1), StableHash(row, state));
  }
  return state;
}

}  // namespace tanagervane

#endif  // TANAGERVANE_SUPPORT_HASH_H_
