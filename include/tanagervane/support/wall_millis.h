// Wall-clock time, used only for ages that several processes compare.

#ifndef TANAGERVANE_SUPPORT_WALL_MILLIS_H_
#define TANAGERVANE_SUPPORT_WALL_MILLIS_H_

#include <cstdint>
#include <functional>

namespace tanagervane {

/// Milliseconds since the Unix epoch.
struct WallMillis {
  int64_t count = 0;

  constexpr bool operator==(const WallMillis&) const = default;
  constexpr bool operator<(const WallMillis& other) const {
    return count < other.count;
  }
};

/// Returns the current wall-clock time.
using WallClockHook = std::function<WallMillis()>;

}  // namespace tanagervane

#endif  // TANAGERVANE_SUPPORT_WALL_MILLIS_H_
