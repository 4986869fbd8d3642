// Decision on whether a request of a tenant is within its rate limit.

#ifndef TANAGERVANE_QUOTA_PERMIT_DECISION_H_
#define TANAGERVANE_QUOTA_PERMIT_DECISION_H_

#include "tanagervane/support/millis.h"

namespace tanagervane {

enum class PermitState {
  kGranted,
  /// The tenant has used its allowance.
  kRefused,
  /// Neither the pool VM nor this VM can grant a permit now.
  kUnavailable,
  /// The decision follows.
  kPending,
};

struct PermitDecision {
  PermitState state = PermitState::kUnavailable;
  /// For kRefused and kUnavailable.
  Millis retry_after;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_QUOTA_PERMIT_DECISION_H_
