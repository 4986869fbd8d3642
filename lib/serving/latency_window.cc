#include "tanagervane/serving/latency_window.h"

#include <algorithm>

namespace tanagervane {

LatencyWindow::LatencyWindow(Millis initial_median)
    : m_median(initial_median), m_p90(initial_median * 2) {}

void LatencyWindow::Record(Millis latency) {
  m_samples[m_count % kSize] = static_cast<float>(latency.count());
  ++m_count;
  if (m_count >= kMinSamples && m_count % kRecomputeInterval == 0) {
    Recompute();
  }
}

void LatencyWindow::Recompute() {
  std::array<float, kSize> sorted = m_samples;
  const size_t size = std::min<size_t>(m_count, kSize);
  const auto begin = sorted.begin();
  const auto end = begin + static_cast<ptrdiff_t>(size);
  const auto middle = begin + static_cast<ptrdiff_t>(size / 2);
  const auto p90 = begin + static_cast<ptrdiff_t>(size * 9 / 10);
  std::nth_element(begin, middle, end);
  m_median = Millis(*middle);
  // The first call left all greater samples behind the median.
  std::nth_element(middle, p90, end);
  m_p90 = Millis(*p90);
}

}  // namespace tanagervane
