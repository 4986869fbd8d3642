// Retry decisions, the retry budget and backoff with jitter.

#include "tanagervane/routing/retry_policy.h"

#include <algorithm>
#include <cmath>

namespace tanagervane {
namespace {

constexpr double kBudgetRatio = 0.01;
constexpr double kBudgetBurst = 10;
constexpr uint32_t kMaxRetries = 3;
constexpr Millis kBaseDelay(4);
constexpr Millis kMaxDelay(64);

}  // namespace

RetryPolicy::RetryPolicy(uint64_t seed) : m_random(seed) {}

TokenBudget& RetryPolicy::GetBudget(std::string_view index) {
  auto it = m_budgets.find(index);
  if (it == m_budgets.end()) {
    it = m_budgets
             .emplace(std::string(index),
                      TokenBudget(kBudgetRatio, kBudgetBurst, kBudgetBurst))
             .first;
  }
  return it->second;
}

void RetryPolicy::OnSubRequest(std::string_view index) {
  GetBudget(index).Credit();
}

std::optional<Millis> RetryPolicy::TryRetry(const RetryContext& context) {
  if (!context.idempotent && !ProvesNotRun(context.kind)) {
    return std::nullopt;
  }
  if (context.retries >= kMaxRetries || context.remaining <= Millis(0)) {
    return std::nullopt;
  }
  // A planned stop must fail no request, so these retries need no budget. They
  // are few, because the first rejection ends new work to the replica, and the
  // rejected attempt cost the server nothing.
  if (context.kind == FailureKind::kDraining) {
    return Millis(0);
  }
  const Millis backoff =
      std::min(kMaxDelay, kBaseDelay * std::exp2(context.retries));
  const Millis delay = backoff * m_random.NextDouble();
  if (delay >= context.remaining || !GetBudget(context.index).TrySpend()) {
    return std::nullopt;
  }
  return delay;
}

}  // namespace tanagervane
