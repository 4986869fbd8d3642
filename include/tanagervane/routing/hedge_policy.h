// Decides when a sub-request gets a hedge, and limits the extra load of hedges.

#ifndef TANAGERVANE_ROUTING_HEDGE_POLICY_H_
#define TANAGERVANE_ROUTING_HEDGE_POLICY_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Token bucket that is credited for work done, not for elapsed time.
class TokenBudget {
 public:
  /// Each unit of work credits `ratio` tokens. The balance starts at `initial`
  /// and never exceeds `burst`.
  TokenBudget(double ratio, double burst, double initial);

  void Credit(double units = 1);

  /// Spends one token. Returns false when less than one token is left.
  bool TrySpend();

  /// The balance as a fraction of the burst, in [0, 1].
  double fill_fraction() const { return m_tokens / m_burst; }

 private:
  double m_ratio;
  double m_burst;
  double m_tokens;
};

class HedgePolicy {
 public:
  explicit HedgePolicy(bool enabled);

  /// Records the latency of a first attempt. When a hedge was answered first,
  /// `latency` is the time until the first attempt was cancelled, which is a
  /// lower bound.
  void OnLatency(std::string_view index, Millis latency);

  /// Credits the budget for one sub-request.
  void OnSubRequest(std::string_view index);

  /// The time after which an unanswered sub-request of `index` is hedged, or
  /// nullopt while too few latencies are recorded. The delay grows as the
  /// budget shrinks, so that the last of the budget goes to the slowest
  /// sub-requests.
  std::optional<Millis> HedgeDelay(std::string_view index) const;

  /// Spends budget for a hedge. `utilisation` is the fraction of the shard's
  /// concurrency limits in use, in [0, 1]; `recently_shed` is true when a
  /// replica of the shard shed an attempt in the last second.
  bool TryHedge(std::string_view index, double utilisation, bool recently_shed);

 private:
  struct IndexState {
    std::vector<float> window;
    size_t next = 0;
    size_t samples_since_update = 0;
    /// The latencies of the window at and above the lowest hedge quantile,
    /// ascending, as of the last update.
    std::vector<float> tail;
    /// Starts with one token: a full burst would let a short run exceed the 4%
    /// limit of extra load.
    TokenBudget budget{0.04, 10, 1};
  };

  IndexState& GetState(std::string_view index);
  static void UpdateTail(IndexState& state);

  bool m_enabled;
  std::map<std::string, IndexState, std::less<>> m_indexes;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_ROUTING_HEDGE_POLICY_H_
