// A token bucket for this VM's part of a limit that holds over the fleet.

#ifndef TANAGERVANE_QUOTA_TOKEN_BUCKET_H_
#define TANAGERVANE_QUOTA_TOKEN_BUCKET_H_

#include "tanagervane/identity/tenant.h"
#include "tanagervane/quota/bounds.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// A permit is used, or returned to the bucket that it came from, within this
/// time after its token was taken.
inline constexpr Millis kPermitLifetime{100};

/// The longest time that a refusal states.
inline constexpr Millis kMaxTokenWait{60'000};

/// Parameters of the token bucket of the whole fleet.
struct FleetLimit {
  /// Tokens per millisecond.
  double rate = 0;
  double depth = 0;
};

/// Returns the largest limit that keeps QuotaBounds although permits are used
/// up to kPermitLifetime after their tokens were taken.
FleetLimit MakeFleetLimit(const TenantSpec& tenant, const QuotaBounds& bounds);

/// Tokens of the shares of a limit that this VM holds. Starts empty. The sum
/// over all VMs keeps the limit as long as their shares add up to at most 1.
class TokenBucket {
 public:
  explicit TokenBucket(Millis now) : m_settled_at(now) {}

  /// Adds the tokens since the previous call at the given share, which must
  /// have been held for all of that time, and discards those beyond the depth.
  void Settle(const FleetLimit& limit, double share, Millis now);

  /// Takes a token if there is one.
  bool TryTake();

  /// Puts back a token that was taken at most kPermitLifetime ago.
  void Return(const FleetLimit& limit, double share);

  /// Time until there is a token if the share stays as it is, at most
  /// kMaxTokenWait.
  Millis TimeToToken(const FleetLimit& limit, double share) const;

  double tokens() const { return m_tokens; }

 private:
  double m_tokens = 0;
  Millis m_settled_at;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_QUOTA_TOKEN_BUCKET_H_
