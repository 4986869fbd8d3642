#include "tanagervane/serving/request_limits.h"

namespace tanagervane {

namespace {

/// Much longer than a heartbeat is delayed.
constexpr Millis kLifetimeAfterRemoval{600'000};

constexpr Millis kExpiryInterval{10'000};

}  // namespace

void RequestLimitTable::SetShare(double share) {
  m_share = share;
  for (auto& [incarnation, entry] : m_entries) {
    entry.limits->rate_limiter.SetShare(share);
  }
}

std::shared_ptr<RequestLimits> RequestLimitTable::Get(
    IncarnationHash incarnation,
    Millis now) {
  Entry& entry = m_entries[incarnation];
  if (!entry.limits) {
    entry.limits = std::make_shared<RequestLimits>();
    entry.limits->rate_limiter.SetShare(m_share);
  }
  entry.last_used_at = now;
  return entry.limits;
}

bool RequestLimitTable::RecordRateLimit(IncarnationHash incarnation,
                                        std::optional<double> per_second,
                                        Millis stated_at,
                                        Millis now) {
  return Get(incarnation, now)
      ->rate_limiter.Record(per_second, stated_at, m_random.NextDouble(), now);
}

void RequestLimitTable::Expire(Millis now) {
  if (now < m_next_expiry) {
    return;
  }
  m_next_expiry = now + kExpiryInterval;
  for (auto& [incarnation, entry] : m_entries) {
    const bool is_held = entry.limits.use_count() > 1;
    entry.last_used_at = is_held ? now : entry.last_used_at;
  }
  std::erase_if(m_entries, [&](const auto& item) {
    return now - item.second.last_used_at >= kLifetimeAfterRemoval;
  });
}

}  // namespace tanagervane
