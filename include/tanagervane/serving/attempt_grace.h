// Decides how long attempts run on whose result is no longer needed.

#ifndef TANAGERVANE_SERVING_ATTEMPT_GRACE_H_
#define TANAGERVANE_SERVING_ATTEMPT_GRACE_H_

#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Why the result of an attempt is no longer needed.
enum class ReleaseCause {
  kAnswered,   ///< The sub-request or the whole request was answered.
  kFailed,     ///< The request failed although its deadline is not reached.
  kAbandoned,  ///< The caller cancelled or disconnected.
};

/// Returns how long an attempt of an idempotent route may run on.
///
/// Attempts of an answered request mostly end soon, and cancelling one costs
/// its connection. A request fails early when replicas reject its sub-requests
/// and the retry budget is spent; its other attempts are then mostly queued,
/// and the work that they would cause delays requests that can be answered.
Millis ReleaseGrace(ReleaseCause cause, Millis median_latency);

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_ATTEMPT_GRACE_H_
