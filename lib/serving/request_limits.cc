#include "tanagervane/serving/request_limits.h"

#include <algorithm>
#include <cmath>

#include "tanagervane/serving/self_report.h"

namespace tanagervane {

namespace {

constexpr Millis kExpiryInterval{10'000};

}  // namespace

void RequestLimitTable::SetShare(double share) {
  m_share = share;
  for (auto& [incarnation, entry] : m_entries) {
    entry.limits->rate_limiter.SetShare(share);
  }
}

double RequestLimitTable::PhaseOf(IncarnationHash incarnation) const {
  const double start = std::ldexp(static_cast<double>(incarnation), -64);
  const double phase =
      start + (static_cast<double>(m_rank) + m_rank_offset) * m_share;
  return phase - std::floor(phase);
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
  if (m_entries.size() >= kMaxRememberedIncarnations &&
      !m_entries.contains(incarnation)) {
    return false;
  }
  m_recent.insert(incarnation);
  return Get(incarnation, now)
      ->rate_limiter.Record(per_second, stated_at, PhaseOf(incarnation));
}

std::vector<RateLimitReport> RequestLimitTable::RecentRateLimits(
    Millis now,
    size_t max_count) {
  std::erase_if(m_recent, [&](IncarnationHash incarnation) {
    const auto it = m_entries.find(incarnation);
    return it == m_entries.end() ||
           now - it->second.limits->rate_limiter.stated_at() >=
               kStatementGossipDuration;
  });
  std::vector<RateLimitReport> reports;
  auto it = m_recent.lower_bound(m_next_recent);
  const size_t count = std::min(max_count, m_recent.size());
  while (reports.size() < count) {
    it = it == m_recent.end() ? m_recent.begin() : it;
    const RateLimiter& limiter = m_entries.at(*it).limits->rate_limiter;
    reports.push_back({*it, limiter.limit(), now - limiter.stated_at()});
    ++it;
  }
  m_next_recent = it == m_recent.end() ? 0 : *it;
  return reports;
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
    return now - item.second.last_used_at >= kStatementLifetime;
  });
}

}  // namespace tanagervane
