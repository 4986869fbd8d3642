// LatencyHistogram on Boost.Accumulators.

#include "tanagervane/metrics/latency_histogram.h"

#include <algorithm>

namespace tanagervane {

namespace {

namespace ba = boost::accumulators;

// The extended P-square estimator has two markers for each quantile and three
// more. Until all are filled, it returns the first observations unsorted.
constexpr uint64_t kMinObservationsForQuantiles =
    2 * LatencyHistogram::kQuantiles.size() + 3;

}  // namespace

LatencyHistogram::LatencyHistogram()
    : m_accumulator(ba::extended_p_square_probabilities = kQuantiles) {}

void LatencyHistogram::Record(Millis latency) {
  // NaN and negative latencies count as 0, because the comparison is false for
  // NaN.
  const double value = latency.count() > 0 ? latency.count() : 0;
  const auto bucket =
      std::lower_bound(kBucketBoundsMs.begin(), kBucketBoundsMs.end(), value) -
      kBucketBoundsMs.begin();
  ++m_buckets[static_cast<size_t>(bucket)];
  m_sum += Millis(value);
  m_accumulator(value);
}

uint64_t LatencyHistogram::count() const {
  return ba::count(m_accumulator);
}

Millis LatencyHistogram::mean() const {
  return Millis(count() == 0 ? 0 : ba::mean(m_accumulator));
}

Millis LatencyHistogram::max() const {
  return Millis(count() == 0 ? 0 : ba::max(m_accumulator));
}

std::optional<Millis> LatencyHistogram::Quantile(size_t index) const {
  if (index >= kQuantiles.size() || count() < kMinObservationsForQuantiles) {
    return std::nullopt;
  }
  const double estimate =
      ba::extended_p_square(m_accumulator)[static_cast<std::ptrdiff_t>(index)];
  return Millis(std::clamp(estimate, 0.0, ba::max(m_accumulator)));
}

}  // namespace tanagervane
