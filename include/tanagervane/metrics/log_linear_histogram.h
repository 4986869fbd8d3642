// A histogram with a bounded relative error over a wide range of latencies.

#ifndef TANAGERVANE_METRICS_LOG_LINEAR_HISTOGRAM_H_
#define TANAGERVANE_METRICS_LOG_LINEAR_HISTOGRAM_H_

#include <cstddef>
#include <cstdint>
#include <vector>

#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Counts latencies in microseconds in buckets whose width grows with the
/// value: 128 buckets for each power of two, so a quantile is at most 1/128
/// above the true value. Unlike LatencyHistogram it makes no assumption about
/// the distribution, but takes 32 KB.
class LogLinearHistogram {
 public:
  LogLinearHistogram();

  /// Adds one latency, rounded up to whole microseconds. Negative values count
  /// as zero, and values above 19 hours as 19 hours.
  void Record(Millis latency);

  /// Adds the contents of another histogram.
  void Merge(const LogLinearHistogram& other);

  uint64_t count() const { return m_count; }
  Millis max() const;

  /// Returns the smallest recorded value that at least a fraction `q` of the
  /// values does not exceed, rounded up within its bucket and never above
  /// max(). Returns zero if the histogram is empty.
  Millis Quantile(double q) const;

 private:
  std::vector<uint64_t> m_buckets;
  uint64_t m_count = 0;
  uint64_t m_max_us = 0;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_METRICS_LOG_LINEAR_HISTOGRAM_H_
