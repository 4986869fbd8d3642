// Decides who sends a request, from its key and the configuration.

#ifndef TANAGERVANE_IDENTITY_IDENTITY_H_
#define TANAGERVANE_IDENTITY_IDENTITY_H_

#include <cstddef>
#include <string>

#include "tanagervane/identity/tenant_directory.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// What a request presents as its key. Exists only until the request's tenant
/// is known.
struct PresentedKey {
  /// Number of key fields; with any number other than one, the request counts
  /// as one without a key.
  size_t field_count = 0;
  /// The value of the only field.
  std::string value;
};

/// How far a VM may rely on the configuration that it has in force.
struct ConfigCertainty {
  /// Whether keys in the configuration are surely not revoked.
  bool accepts_known_keys = true;
  /// Whether keys that the configuration lacks are surely unknown.
  bool rejects_unknown_keys = true;
  /// When one of them is false: time after which it may be true.
  Millis retry_after = {};
};

enum class IdentityVerdict {
  kAnonymous,        ///< The request needs no key.
  kTenant,           ///< The key belongs to a tenant.
  kUnauthenticated,  ///< The request has no key or an unknown one.
  kUnsureOfKey,      ///< The key is known but may be revoked.
  kUnsureOfAbsence,  ///< The key is unknown, but a later configuration may
                     ///< contain it.
};

struct Identity {
  IdentityVerdict verdict = IdentityVerdict::kAnonymous;
  /// For kTenant.
  const TenantSpec* tenant = nullptr;
  /// For kUnsureOfKey and kUnsureOfAbsence.
  Millis retry_after = {};

  bool admitted() const {
    return verdict == IdentityVerdict::kAnonymous ||
           verdict == IdentityVerdict::kTenant;
  }
};

/// Decides who sends a request to a route. A request without a key may be
/// admitted by a later configuration, as one with an unknown key, so both are
/// rejected only when that is ruled out.
Identity Identify(const TenantDirectory& directory,
                  bool route_is_public,
                  const PresentedKey& key,
                  const ConfigCertainty& certainty);

}  // namespace tanagervane

#endif  // TANAGERVANE_IDENTITY_IDENTITY_H_
