// Decides whether a failed attempt is retried, and after which delay.

#ifndef TANAGERVANE_ROUTING_RETRY_POLICY_H_
#define TANAGERVANE_ROUTING_RETRY_POLICY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "tanagervane/routing/hedge_policy.h"
#include "tanagervane/routing/types.h"
#include "tanagervane/support/millis.h"
#include "tanagervane/support/random.h"

namespace tanagervane {

struct RetryContext {
  std::string_view index;
  FailureKind kind = FailureKind::kServerError;
  bool idempotent = true;
  /// Retries of this sub-request so far.
  uint32_t retries = 0;
  Millis remaining;
};

class RetryPolicy {
 public:
  explicit RetryPolicy(uint64_t seed);

  void OnSubRequest(std::string_view index);

  /// The delay before the retry, or nullopt when the attempt must not be
  /// retried. Spends budget when it returns a delay, except for kDraining.
  std::optional<Millis> TryRetry(const RetryContext& context);

 private:
  TokenBudget& GetBudget(std::string_view index);

  Random m_random;
  std::map<std::string, TokenBudget, std::less<>> m_budgets;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_ROUTING_RETRY_POLICY_H_
