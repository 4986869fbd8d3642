// Order in which requests are refused when shards are overloaded.

#ifndef TANAGERVANE_SERVING_PRECEDENCE_H_
#define TANAGERVANE_SERVING_PRECEDENCE_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "tanagervane/serving/config.h"
#include "tanagervane/serving/fair_shares.h"
#include "tanagervane/support/millis.h"
#include "tanagervane/support/random.h"

namespace tanagervane {

/// A kind of requests that use the same services.
struct RequestKind {
  /// 0 is the most urgent.
  uint32_t priority = 0;
  /// The longest estimated wait for a slot with which a request of this kind is
  /// admitted if no other kind takes precedence.
  Millis max_wait;
};

/// What decides on the precedence of a request.
struct PrecedenceInputs {
  RequestKind kind;
  /// The tenant has used its fair share.
  bool over_share = false;
  /// The latency objective can no longer be met.
  bool late = false;
  /// Time after which the answer is worthless, less the run time.
  Millis latest_start;
};

/// Returns the longest estimated wait with which the request is admitted. All
/// VMs see about the same waits, so the lower the limit, the earlier a request
/// is refused: first by priority, then by the share of its tenant, then by what
/// its caller still gains. `rivals` are all kinds that use a service of the
/// request.
Millis MaxWait(const PrecedenceInputs& inputs,
               std::span<const RequestKind> rivals);

/// Returns the time after which a refused caller may return: between
/// `retry_after` and twice that, in proportion to `draw` in [0, 1), but at most
/// what callers honour.
Millis SpreadRetryAfter(Millis retry_after, Millis time_left, double draw);

/// Precedence of the requests of one configuration.
class Precedence {
 public:
  explicit Precedence(uint64_t seed) : m_random(seed) {}

  void ApplyConfig(const ServingConfig& config);

  /// A request at its admission.
  struct Candidate {
    const RouteSpec& route;
    /// Empty if the request has none.
    std::string_view tenant;
    /// Returns the longest wait of a request with this priority and objective
    /// when no other kind takes precedence.
    std::function<Millis(uint32_t priority, Millis objective)> max_wait;
    bool late = false;
    Millis latest_start;
  };

  /// Returns the priority of the tenant, else of the route.
  uint32_t PriorityOf(const RouteSpec& route, std::string_view tenant) const;

  /// Records the demand and returns the longest wait; see tanagervane::MaxWait.
  Millis MaxWait(const Candidate& candidate, Millis now);

  /// Requests that exceeded the share of their tenant.
  uint64_t over_share_requests() const { return m_over_share_requests; }

  void RecordAdmitted(const RouteSpec& route, Millis now);

  Millis SpreadRetryAfter(Millis retry_after, Millis time_left) {
    return tanagervane::SpreadRetryAfter(retry_after, time_left,
                                         m_random.NextDouble());
  }

 private:
  /// Priority and objective of requests that may come.
  struct PossibleKind {
    uint32_t priority = 0;
    Millis objective;
  };

  /// Routes that share services, directly or through other routes.
  struct Group {
    std::vector<PossibleKind> kinds;
    FairShares shares;
  };

  void AddRoute(const RouteSpec& route, const ServingConfig& config);
  Group* FindGroup(std::string_view route);

  std::map<std::string, uint32_t, std::less<>> m_tenant_priorities;
  /// Groups by the first service of the first route; see GroupNames().
  std::map<std::string, Group, std::less<>> m_groups;
  std::map<std::string, std::string, std::less<>> m_group_by_route;
  uint64_t m_over_share_requests = 0;
  Random m_random;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_PRECEDENCE_H_
