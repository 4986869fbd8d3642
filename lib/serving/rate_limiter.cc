#include "tanagervane/serving/rate_limiter.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace tanagervane {

namespace {

constexpr Millis kSecond{1000};

/// How long a permit can be used.
constexpr Millis kPermitLifetime{1000};

/// Requests per second of the whole fleet that a replica gets at least. Its
/// responses tell when a limit near zero has ended.
constexpr double kMinRequestsPerSecond = 0.25;

/// Higher limits count as this one, which no replica reaches.
constexpr double kMaxRequestsPerSecond = 1e6;

/// VMs pass on statements within a second, so no VM has asked the replica for
/// some seconds when the latest statement is this old.
constexpr Millis kStaleAge{4000};

}  // namespace

bool RateLimiter::Record(std::optional<double> per_second,
                         Millis stated_at,
                         double phase) {
  if (stated_at < m_stated_at) {
    return false;
  }
  m_stated_at = stated_at;
  if (per_second == m_limit) {
    return false;
  }
  const bool is_new = !m_limit;
  m_limit = per_second;
  if (m_limit && is_new) {
    m_used_permit_at = stated_at - Interval() * (1 - phase);
  }
  return true;
}

bool RateLimiter::IsStale(Millis now) const {
  return m_limit && now - m_stated_at >= kStaleAge;
}

size_t RateLimiter::CountPermits(size_t max_count, Millis now) const {
  if (!m_limit) {
    return max_count;
  }
  const Millis oldest = OldestPermitAt(now);
  if (oldest > now) {
    return 0;
  }
  const auto count =
      1 + static_cast<size_t>(std::floor((now - oldest) / Interval()));
  return std::min(count, max_count);
}

double RateLimiter::MaxPermits() const {
  assert(m_limit && "permits are unbounded without a limit");
  return kPermitLifetime / Interval();
}

Millis RateLimiter::NextPermitAt(Millis now) const {
  return m_limit ? std::max(OldestPermitAt(now), now) : now;
}

void RateLimiter::UsePermit(Millis now) {
  if (!m_limit) {
    return;
  }
  const Millis oldest = OldestPermitAt(now);
  assert(oldest <= now && "a permit is used before it is granted");
  m_used_permit_at = oldest;
}

Millis RateLimiter::Interval() const {
  const double fleet_rate =
      std::clamp(*m_limit, kMinRequestsPerSecond, kMaxRequestsPerSecond);
  return kSecond * (1 / (fleet_rate * m_share));
}

Millis RateLimiter::OldestPermitAt(Millis now) const {
  const Millis interval = Interval();
  const Millis oldest_valid = now - kPermitLifetime;
  const double expired =
      std::floor((oldest_valid - m_used_permit_at) / interval);
  return m_used_permit_at + interval * (std::max(0.0, expired) + 1);
}

}  // namespace tanagervane
