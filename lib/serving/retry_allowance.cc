// A sliding window of requests and extra sends.

#include "tanagervane/serving/retry_allowance.h"

#include <algorithm>
#include <cmath>

namespace tanagervane {

namespace {

/// Part of the ratio that is used. The fleet counts requests in windows that
/// differ from this VM's.
constexpr double kRatioUsed = 0.85;

/// Part of the slack that is used, and that of a process which began a new
/// count within the window. Together they stay below the whole when all VMs
/// restart at once.
constexpr double kSlackUsed = 0.75;
constexpr double kSlackUsedAfterStart = 0.1;

/// Part of the allowance that hedges may use.
constexpr double kHedgePart = 0.75;

}  // namespace

void RetryAllowance::SetLimits(const RetryLimits& limits, double share) {
  m_limits = limits;
  m_share = std::clamp(share, 0.0, 1.0);
}

void RetryAllowance::Advance(Millis now) {
  const Millis width = m_limits.window * (1.0 / kBuckets);
  const auto bucket = static_cast<int64_t>(std::floor(now / width));
  if (m_current < 0 ||
      bucket - m_current > static_cast<int64_t>(m_buckets.size())) {
    m_buckets.fill({});
  } else {
    for (int64_t i = m_current + 1; i <= bucket; ++i) {
      m_buckets[static_cast<size_t>(i) % m_buckets.size()] = {};
    }
  }
  m_current = std::max(m_current, bucket);
}

void RetryAllowance::OnRequest(Millis now) {
  Advance(now);
  ++m_buckets[static_cast<size_t>(m_current) % m_buckets.size()].requests;
}

uint32_t RetryAllowance::ExtrasUsed() const {
  uint32_t extras = 0;
  for (const Bucket& bucket : m_buckets) {
    extras += bucket.extras;
  }
  return extras;
}

double RetryAllowance::Permitted(Millis now) const {
  uint32_t requests = 0;
  for (const Bucket& bucket : m_buckets) {
    requests += bucket.requests;
  }
  const double used =
      now < m_limits.slack_from ? kSlackUsedAfterStart : kSlackUsed;
  return m_limits.ratio * kRatioUsed * requests +
         m_limits.slack * used * m_share;
}

double RetryAllowance::UsedPart(Millis now) const {
  const double permitted = Permitted(now);
  return permitted < 1 ? 1 : std::min(1.0, ExtrasUsed() / permitted);
}

bool RetryAllowance::TryTake(ExtraSend kind, Millis now) {
  Advance(now);
  const double part = kind == ExtraSend::kHedge ? kHedgePart : 1.0;
  if (ExtrasUsed() + 1 > Permitted(now) * part) {
    return false;
  }
  ++m_buckets[static_cast<size_t>(m_current) % m_buckets.size()].extras;
  return true;
}

}  // namespace tanagervane
