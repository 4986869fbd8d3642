// A clock that counts the time for which the machine was suspended.

#ifndef TANAGERVANE_SUPPORT_BOOT_CLOCK_H_
#define TANAGERVANE_SUPPORT_BOOT_CLOCK_H_

#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Returns the time since the machine started, with suspended time, which the
/// monotonic clock omits. Not comparable with the time of other clocks.
Millis BootNow();

}  // namespace tanagervane

#endif  // TANAGERVANE_SUPPORT_BOOT_CLOCK_H_
