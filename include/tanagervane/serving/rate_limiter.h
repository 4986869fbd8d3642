// Paces requests to a replica that states a rate limit for the whole fleet.

#ifndef TANAGERVANE_SERVING_RATE_LIMITER_H_
#define TANAGERVANE_SERVING_RATE_LIMITER_H_

#include <cstddef>
#include <optional>

#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Grants this VM permits for an equal share of a replica's limit, at an even
/// rate. An unused permit expires soon, so that VMs that were idle cannot spend
/// saved permits at the same time.
class RateLimiter {
 public:
  /// Sets the fraction of the limit that this VM may use, in (0, 1].
  void SetShare(double share) { m_share = share; }

  /// Records the limit that the replica stated at `stated_at`, in requests per
  /// second from all VMs; nullopt when it stated none. A statement that is
  /// older than the known one is ignored. The first permit of a new limit is
  /// granted after the fraction `phase` of the permit interval from
  /// `stated_at`. The phases of the VMs should be spread evenly, so that their
  /// permits do not coincide. Returns whether the limit in force changed.
  bool Record(std::optional<double> per_second, Millis stated_at, double phase);

  /// The limit in force.
  const std::optional<double>& limit() const { return m_limit; }

  /// Time of the latest statement, also of one that there is no limit; -1
  /// before the first.
  Millis stated_at() const { return m_stated_at; }

  /// Whether no VM has heard from the replica for so long that its limit may
  /// have ended.
  bool IsStale(Millis now) const;

  /// The permits that can be used now, at most `max_count`. Without a limit,
  /// `max_count`.
  size_t CountPermits(size_t max_count, Millis now) const;

  /// The permits that can accrue before the first of them expires. Only with a
  /// limit.
  double MaxPermits() const;

  /// The earliest time at which there is a permit; `now` if there is one.
  Millis NextPermitAt(Millis now) const;

  /// Uses a permit, which must be available.
  void UsePermit(Millis now);

 private:
  Millis Interval() const;
  /// When the oldest unused permit that has not expired is granted.
  Millis OldestPermitAt(Millis now) const;

  std::optional<double> m_limit;
  Millis m_stated_at{-1};
  double m_share = 1;
  /// When the latest permit that was used was granted.
  Millis m_used_permit_at;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_RATE_LIMITER_H_
