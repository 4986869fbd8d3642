#include "tanagervane/serving/retry_budget.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace tanagervane {

namespace {

/// Fraction of the ratio that is used. It is below 1 because the fleet-wide
/// limit counts requests in windows that differ from this VM's.
constexpr double kUsedRatioFraction = 0.85;

/// Fraction of the slack that is used, and the fraction used by a process that
/// started within the last window. Their sum is below 1, so that the limit
/// holds when all VMs restart at once.
constexpr double kUsedSlackFraction = 0.75;
constexpr double kUsedSlackFractionAfterStart = 0.1;

/// Fraction of the budget that hedges may spend.
constexpr double kHedgeFraction = 0.75;

int64_t BucketAt(Millis time, Millis width) {
  return static_cast<int64_t>(std::floor(time / width));
}

}  // namespace

void RetryBudget::SetLimits(const RetryLimits& limits, double share) {
  m_limits = limits;
  m_share = std::clamp(share, 0.0, 1.0);
}

void RetryBudget::ChangeBucketWidth(Millis width, Millis now) {
  const Millis old_width = std::exchange(m_bucket_width, width);
  if (m_current_bucket < 0) {
    return;
  }
  const auto size = static_cast<int64_t>(m_buckets.size());
  const auto old_buckets = std::exchange(m_buckets, {});
  const int64_t old_current = m_current_bucket;
  m_current_bucket = BucketAt(now, width);
  const auto find = [&](Millis time) {
    const int64_t bucket = std::min(BucketAt(time, width), m_current_bucket);
    return bucket > m_current_bucket - size && bucket >= 0
               ? &m_buckets[static_cast<size_t>(bucket % size)]
               : nullptr;
  };
  for (int64_t i = std::max<int64_t>(0, old_current - size + 1);
       i <= old_current; ++i) {
    const Bucket& counts = old_buckets[static_cast<size_t>(i % size)];
    // The exact times are not known. Counting requests as early and extra
    // attempts as late as possible never permits too many.
    if (Bucket* bucket = find(old_width * static_cast<double>(i))) {
      bucket->requests += counts.requests;
    }
    if (Bucket* bucket = find(old_width * static_cast<double>(i + 1))) {
      bucket->extra_attempts += counts.extra_attempts;
    }
  }
}

void RetryBudget::Advance(Millis now) {
  const Millis width = m_limits.window * (1.0 / kBuckets);
  if (width != m_bucket_width) {
    ChangeBucketWidth(width, now);
  }
  const int64_t bucket = BucketAt(now, width);
  if (m_current_bucket < 0 ||
      bucket - m_current_bucket > static_cast<int64_t>(m_buckets.size())) {
    m_buckets.fill({});
  } else {
    for (int64_t i = m_current_bucket + 1; i <= bucket; ++i) {
      m_buckets[static_cast<size_t>(i) % m_buckets.size()] = {};
    }
  }
  m_current_bucket = std::max(m_current_bucket, bucket);
}

void RetryBudget::CreditSubRequest(Millis now) {
  Advance(now);
  ++m_buckets[static_cast<size_t>(m_current_bucket) % m_buckets.size()]
        .requests;
}

uint32_t RetryBudget::SpentExtraAttempts() const {
  uint32_t extra_attempts = 0;
  for (const Bucket& bucket : m_buckets) {
    extra_attempts += bucket.extra_attempts;
  }
  return extra_attempts;
}

double RetryBudget::PermittedExtraAttempts(Millis now) const {
  uint32_t requests = 0;
  for (const Bucket& bucket : m_buckets) {
    requests += bucket.requests;
  }
  const double slack_fraction = now < m_limits.full_slack_from
                                    ? kUsedSlackFractionAfterStart
                                    : kUsedSlackFraction;
  return m_limits.ratio * kUsedRatioFraction * requests +
         m_limits.slack * slack_fraction * m_share;
}

double RetryBudget::UsedFraction(Millis now) const {
  const double permitted = PermittedExtraAttempts(now);
  return permitted < 1 ? 1 : std::min(1.0, SpentExtraAttempts() / permitted);
}

bool RetryBudget::TrySpend(ExtraAttemptKind kind, Millis now) {
  Advance(now);
  const double fraction =
      kind == ExtraAttemptKind::kHedge ? kHedgeFraction : 1.0;
  if (SpentExtraAttempts() + 1 > PermittedExtraAttempts(now) * fraction) {
    return false;
  }
  ++m_buckets[static_cast<size_t>(m_current_bucket) % m_buckets.size()]
        .extra_attempts;
  return true;
}

}  // namespace tanagervane
