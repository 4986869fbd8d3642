#include "tanagervane/support/boot_clock.h"

#include <cassert>
#include <ctime>

namespace tanagervane {

Millis BootNow() {
  constexpr double kMillisPerSecond = 1000;
  constexpr double kNanosPerMilli = 1e6;
  timespec time{};
  const int result = clock_gettime(CLOCK_BOOTTIME, &time);
  assert(result == 0 && "the system has no CLOCK_BOOTTIME");
  static_cast<void>(result);
  return Millis(static_cast<double>(time.tv_sec) * kMillisPerSecond +
                static_cast<double>(time.tv_nsec) / kNanosPerMilli);
}

}  // namespace tanagervane
