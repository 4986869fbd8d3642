// Limits that replicas have stated on the requests they take.

#ifndef TANAGERVANE_SERVING_REQUEST_LIMITS_H_
#define TANAGERVANE_SERVING_REQUEST_LIMITS_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <unordered_map>

#include "tanagervane/serving/leaving_replicas.h"
#include "tanagervane/serving/rate_limiter.h"
#include "tanagervane/support/millis.h"
#include "tanagervane/support/random.h"

namespace tanagervane {

/// Limits of one incarnation of a replica.
struct RequestLimits {
  RateLimiter rate_limiter;

  /// The earliest time at which the replica takes a request from this VM; `now`
  /// if it takes one now.
  Millis NextRequestAt(Millis now) const {
    return rate_limiter.NextPermitAt(now);
  }
};

/// Keeps the limits of each incarnation beyond the removal of its registration,
/// because a late heartbeat may restore the registration.
class RequestLimitTable {
 public:
  /// `seed` must differ between VMs; see RateLimiter::Record().
  explicit RequestLimitTable(uint64_t seed) : m_random(seed) {}

  /// Sets the fraction of each rate limit that this VM may use.
  void SetShare(double share);

  /// Returns the limits of the incarnation. They are the same object until
  /// nobody else holds it and it has not been stated for a long time.
  std::shared_ptr<RequestLimits> Get(IncarnationHash incarnation, Millis now);

  /// Records what the incarnation stated about its rate limit at `stated_at`;
  /// see RateLimiter::Record(). Returns whether the limit in force changed.
  bool RecordRateLimit(IncarnationHash incarnation,
                       std::optional<double> per_second,
                       Millis stated_at,
                       Millis now);

  /// Forgets the limits of replicas that were removed long ago.
  void Expire(Millis now);

 private:
  struct Entry {
    std::shared_ptr<RequestLimits> limits;
    Millis last_used_at;
  };

  Random m_random;
  double m_share = 1;
  std::unordered_map<IncarnationHash, Entry> m_entries;
  Millis m_next_expiry;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_REQUEST_LIMITS_H_
