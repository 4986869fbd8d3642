// Sliding window of latency samples.

#ifndef TANAGERVANE_SERVING_LATENCY_WINDOW_H_
#define TANAGERVANE_SERVING_LATENCY_WINDOW_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Estimates quantiles over the latest 128 latencies. The quantiles are
/// recomputed once every 16 samples, so that recording a sample is cheap.
class LatencyWindow {
 public:
  /// `initial_median` is the median until enough samples are recorded; the 90th
  /// percentile starts at twice that value.
  explicit LatencyWindow(Millis initial_median);

  void Record(Millis latency);

  Millis median() const { return m_median; }
  /// The 90th percentile.
  Millis p90() const { return m_p90; }

 private:
  static constexpr size_t kSize = 128;
  static constexpr uint32_t kMinSamples = 16;
  static constexpr uint32_t kRecomputeInterval = 16;

  void Recompute();

  std::array<float, kSize> m_samples{};
  uint32_t m_count = 0;
  Millis m_median;
  Millis m_p90;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_LATENCY_WINDOW_H_
