// LogLinearHistogram and its mapping of values to buckets.

#include "tanagervane/metrics/log_linear_histogram.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace tanagervane {

namespace {

constexpr unsigned kSubBucketBits = 7;
constexpr uint64_t kSubBuckets = 1U << kSubBucketBits;
// Larger values count as this one, which is about 19 hours.
constexpr uint64_t kMaxMicros = (uint64_t{1} << 36) - 1;

// Returns the number of low bits that are dropped to find the bucket of
// `micros`.
unsigned DroppedBits(uint64_t micros) {
  const auto width = static_cast<unsigned>(std::bit_width(micros));
  return width > kSubBucketBits + 1 ? width - kSubBucketBits - 1 : 0;
}

// Values below 256 have a bucket each. Above that, the position of the most
// significant set bit and the kSubBucketBits after it select the bucket.
size_t BucketIndex(uint64_t micros) {
  const unsigned dropped = DroppedBits(micros);
  return dropped * kSubBuckets + (micros >> dropped);
}

// Returns the largest value of a bucket.
uint64_t UpperBound(size_t bucket) {
  if (bucket < 2 * kSubBuckets) {
    return bucket;
  }
  const auto dropped = static_cast<unsigned>(bucket / kSubBuckets - 1);
  const uint64_t significant = bucket - dropped * kSubBuckets;
  return ((significant + 1) << dropped) - 1;
}

Millis FromMicros(uint64_t micros) {
  return Millis(static_cast<double>(micros) / 1000.0);
}

}  // namespace

LogLinearHistogram::LogLinearHistogram()
    : m_buckets(BucketIndex(kMaxMicros) + 1) {}

void LogLinearHistogram::Record(Millis latency) {
  const double rounded = std::ceil(latency.count() * 1000.0);
  uint64_t micros = 0;
  if (rounded >= static_cast<double>(kMaxMicros)) {
    micros = kMaxMicros;
  } else if (rounded > 0) {
    micros = static_cast<uint64_t>(rounded);
  }
  ++m_buckets[BucketIndex(micros)];
  ++m_count;
  m_max_us = std::max(m_max_us, micros);
}

void LogLinearHistogram::Merge(const LogLinearHistogram& other) {
  for (size_t i = 0; i < m_buckets.size(); ++i) {
    m_buckets[i] += other.m_buckets[i];
  }
  m_count += other.m_count;
  m_max_us = std::max(m_max_us, other.m_max_us);
}

Millis LogLinearHistogram::max() const {
  return FromMicros(m_max_us);
}

Millis LogLinearHistogram::Quantile(double q) const {
  const double exact_rank =
      std::clamp(q, 0.0, 1.0) * static_cast<double>(m_count);
  // The tolerance keeps 0.9 * 10 from being rounded up to 10.
  const auto rank = std::max<uint64_t>(
      1, static_cast<uint64_t>(std::ceil(exact_rank - 1e-9)));
  uint64_t cumulative = 0;
  for (size_t i = 0; i < m_buckets.size(); ++i) {
    cumulative += m_buckets[i];
    if (cumulative >= rank) {
      return FromMicros(std::min(UpperBound(i), m_max_us));
    }
  }
  return Millis(0);
}

}  // namespace tanagervane
