// Quantiles of the latest latencies.

#ifndef TANAGERVANE_SERVING_LATENCY_WINDOW_H_
#define TANAGERVANE_SERVING_LATENCY_WINDOW_H_

#include <array>
#include <cstddef>
#include <cstdint>

#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Remembers a fixed number of latencies. The quantiles are recomputed once in
/// a while, so that a sample costs little.
class LatencyWindow {
 public:
  /// `guess` stands in until enough samples are known.
  explicit LatencyWindow(Millis guess);

  void Record(Millis latency);

  Millis median() const { return m_median; }
  /// The latency that 9 in 10 do not exceed.
  Millis high() const { return m_high; }

 private:
  static constexpr size_t kSize = 128;
  static constexpr uint32_t kMeasuredFrom = 16;
  static constexpr uint32_t kRecomputeEvery = 16;

  void Recompute();

  std::array<float, kSize> m_samples{};
  uint32_t m_count = 0;
  Millis m_median;
  Millis m_high;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_LATENCY_WINDOW_H_
