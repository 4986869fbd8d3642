#include "tanagervane/quota/token_bucket.h"

#include <algorithm>

namespace tanagervane {

FleetLimit MakeFleetLimit(const TenantSpec& tenant, const QuotaBounds& bounds) {
  const double factor = 1 + bounds.overshoot;
  const double per_ms = tenant.rate / Millis(1000).count();
  // Within a window, permits may be used whose tokens accrued up to
  // kPermitLifetime before it.
  const double window_fraction =
      bounds.window / (bounds.window + kPermitLifetime);
  return {.rate = per_ms * factor * window_fraction,
          .depth = tenant.burst * factor + bounds.slack};
}

void TokenBucket::Settle(const FleetLimit& limit, double share, Millis now) {
  if (now > m_settled_at) {
    m_tokens += limit.rate * share * (now - m_settled_at).count();
    m_settled_at = now;
  }
  m_tokens = std::min(m_tokens, limit.depth * share);
}

bool TokenBucket::TryTake() {
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

void TokenBucket::Return(const FleetLimit& limit, double share) {
  m_tokens = std::min(m_tokens + 1, limit.depth * share);
}

Millis TokenBucket::TimeToToken(const FleetLimit& limit, double share) const {
  const double rate = limit.rate * share;
  const double lacking = std::max(1 - m_tokens, 0.0);
  return lacking >= rate * kMaxTokenWait.count() ? kMaxTokenWait
                                                 : Millis(lacking / rate);
}

}  // namespace tanagervane
