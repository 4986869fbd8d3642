// Limits that replicas have stated on the requests they take.

#ifndef TANAGERVANE_SERVING_REQUEST_LIMITS_H_
#define TANAGERVANE_SERVING_REQUEST_LIMITS_H_

#include <algorithm>
#include <cstddef>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

#include "tanagervane/serving/leaving_replicas.h"
#include "tanagervane/serving/rate_limiter.h"
#include "tanagervane/support/millis.h"
#include "tanagervane/support/random.h"

namespace tanagervane {

/// Limits of one incarnation of a replica.
struct RequestLimits {
  RateLimiter rate_limiter;
  /// Until this time the replica wants no requests from this VM, because it
  /// rejected one and stated so.
  Millis backoff_until;

  /// The earliest time at which the replica takes a request from this VM; `now`
  /// if it takes one now.
  Millis NextRequestAt(Millis now) const {
    return std::max(rate_limiter.NextPermitAt(now), backoff_until);
  }
};

/// A statement about a rate limit, as VMs pass it on.
struct RateLimitReport {
  IncarnationHash incarnation = 0;
  /// Requests per second from all VMs; nullopt when the replica stated no limit
  /// after it had stated one.
  std::optional<double> per_second;
  /// Time since the statement.
  Millis age;

  bool operator==(const RateLimitReport&) const = default;
};

/// Keeps the limits of each incarnation beyond the removal of its registration,
/// because a late heartbeat may restore the registration.
class RequestLimitTable {
 public:
  /// `seed` must differ between VMs; see PhaseOf().
  explicit RequestLimitTable(uint64_t seed)
      : m_rank_offset(Random(seed).NextDouble()) {}

  /// Sets the fraction of each rate limit that this VM may use.
  void SetShare(double share);

  /// Sets the number of VMs of the fleet that come before this one in the order
  /// of their ids.
  void SetRank(size_t rank) { m_rank = rank; }

  /// Returns the limits of the incarnation: the same object for as long as
  /// somebody holds it, and for a long time after that.
  std::shared_ptr<RequestLimits> Get(IncarnationHash incarnation, Millis now);

  /// Records what the incarnation stated about its rate limit at `stated_at`;
  /// see RateLimiter::Record(). Returns whether the limit in force changed.
  /// Statements about unknown incarnations are ignored while too many are
  /// known.
  bool RecordRateLimit(IncarnationHash incarnation,
                       std::optional<double> per_second,
                       Millis stated_at,
                       Millis now);

  /// Returns statements that are so recent that other VMs may not know them, at
  /// most `max_count`. Successive calls return different ones in turn.
  std::vector<RateLimitReport> RecentRateLimits(Millis now, size_t max_count);

  /// Forgets the limits of replicas that were removed long ago.
  void Expire(Millis now);

 private:
  /// The phase of this VM's permits for a replica; see RateLimiter::Record().
  /// Each VM has a part of the permit interval of its own, in the order of the
  /// ranks. The order begins elsewhere for each replica.
  double PhaseOf(IncarnationHash incarnation) const;

  struct Entry {
    std::shared_ptr<RequestLimits> limits;
    Millis last_used_at;
  };

  double m_share = 1;
  size_t m_rank = 0;
  /// Fraction of this VM's part of the interval after which its permit is. It
  /// separates VMs that disagree about their ranks.
  double m_rank_offset;
  std::unordered_map<IncarnationHash, Entry> m_entries;
  Millis m_next_expiry;
  /// Incarnations with a recent statement about their rate limit.
  std::set<IncarnationHash> m_recent;
  /// Where the next call of RecentRateLimits() begins.
  IncarnationHash m_next_recent = 0;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_REQUEST_LIMITS_H_
