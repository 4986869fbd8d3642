// Latency distributions for the metrics endpoint.

#ifndef TANAGERVANE_METRICS_LATENCY_HISTOGRAM_H_
#define TANAGERVANE_METRICS_LATENCY_HISTOGRAM_H_

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Latencies since the process started, in fixed buckets and as estimated
/// quantiles. Memory is constant and Record() does not allocate.
class LatencyHistogram {
 public:
  /// Upper bounds of the buckets, in milliseconds; a last bucket has no bound.
  static constexpr std::array kBucketBoundsMs = {
      1.0,   2.0,   5.0,   10.0,  20.0,   35.0,   50.0,   75.0,
      100.0, 150.0, 250.0, 500.0, 1000.0, 2500.0, 5000.0, 10000.0};
  static constexpr std::array kQuantiles = {0.5, 0.9, 0.95, 0.99, 0.999};

  LatencyHistogram();

  /// Adds one latency. Negative values and NaN count as zero.
  void Record(Millis latency);

  uint64_t count() const;
  Millis mean() const;
  Millis max() const;
  Millis sum() const { return m_sum; }

  /// Observations in each bucket, not cumulative. The last bucket has no bound.
  std::span<const uint64_t> buckets() const { return m_buckets; }

  /// Returns the estimate for kQuantiles[index], or nullopt before the
  /// estimator has enough observations. The estimate is interpolated (extended
  /// P-square) and never above max().
  std::optional<Millis> Quantile(size_t index) const;

 private:
  using Accumulator = boost::accumulators::accumulator_set<
      double,
      boost::accumulators::stats<boost::accumulators::tag::count,
                                 boost::accumulators::tag::mean,
                                 boost::accumulators::tag::max,
                                 boost::accumulators::tag::extended_p_square>>;

  std::array<uint64_t, kBucketBoundsMs.size() + 1> m_buckets{};
  Millis m_sum;
  Accumulator m_accumulator;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_METRICS_LATENCY_HISTOGRAM_H_
