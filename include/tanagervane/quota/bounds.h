// Bounds that the platform sets on the requests of all VMs together.

#ifndef TANAGERVANE_QUOTA_BOUNDS_H_
#define TANAGERVANE_QUOTA_BOUNDS_H_

#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Bound on the requests of a tenant that all VMs together pass on in a window:
/// (rate x window + burst) x (1 + overshoot) + slack.
struct QuotaBounds {
  Millis window{5000};
  double overshoot = 0.1;
  double slack = 20;
};

/// Bound on the requests that all VMs together send to a replica that warms up,
/// in any second: rate x overshoot + slack.
struct WarmUpBounds {
  double overshoot = 1.5;
  double slack = 5;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_QUOTA_BOUNDS_H_
