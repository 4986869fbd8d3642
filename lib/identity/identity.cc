#include "tanagervane/identity/identity.h"

namespace tanagervane {

Identity Identify(const TenantDirectory& directory,
                  bool route_is_public,
                  const PresentedKey& key,
                  const ConfigCertainty& certainty) {
  if (directory.empty() || route_is_public) {
    return {.verdict = IdentityVerdict::kAnonymous};
  }
  const TenantSpec* tenant =
      key.field_count == 1 ? directory.Find(key.value) : nullptr;
  if (tenant == nullptr) {
    return certainty.rejects_unknown_keys
               ? Identity{.verdict = IdentityVerdict::kUnauthenticated}
               : Identity{.verdict = IdentityVerdict::kUnsureOfAbsence,
                          .retry_after = certainty.retry_after};
  }
  return certainty.accepts_known_keys
             ? Identity{.verdict = IdentityVerdict::kTenant, .tenant = tenant}
             : Identity{.verdict = IdentityVerdict::kUnsureOfKey,
                        .retry_after = certainty.retry_after};
}

}  // namespace tanagervane
