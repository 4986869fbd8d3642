// Latency quantiles over a ring of samples.

#include "tanagervane/serving/latency_window.h"

#include <algorithm>

namespace tanagervane {

LatencyWindow::LatencyWindow(Millis guess)
    : m_median(guess), m_high(guess * 2) {}

void LatencyWindow::Record(Millis latency) {
  m_samples[m_count % kSize] = static_cast<float>(latency.count());
  ++m_count;
  if (m_count >= kMeasuredFrom && m_count % kRecomputeEvery == 0) {
    Recompute();
  }
}

void LatencyWindow::Recompute() {
  std::array<float, kSize> sorted = m_samples;
  const size_t size = std::min<size_t>(m_count, kSize);
  const auto begin = sorted.begin();
  const auto end = begin + static_cast<ptrdiff_t>(size);
  const auto middle = begin + static_cast<ptrdiff_t>(size / 2);
  const auto high = begin + static_cast<ptrdiff_t>(size * 9 / 10);
  std::nth_element(begin, middle, end);
  m_median = Millis(*middle);
  // Reorders what lies behind the median.
  std::nth_element(middle, high, end);
  m_high = Millis(*high);
}

}  // namespace tanagervane
