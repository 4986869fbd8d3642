// AIMD concurrency limit of one replica.

#include "tanagervane/routing/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace tanagervane {
namespace {

// A reply that takes more than this multiple of the baseline latency is taken
// as a sign of queueing.
constexpr double kQueueingLatencyRatio = 3;
constexpr double kQueueingDecrease = 0.97;
constexpr double kShedDecrease = 0.7;
// A full queue sheds many attempts at once. Within this interval they count as
// one event.
constexpr Millis kMinShedDecreaseInterval(100);

}  // namespace

ConcurrencyLimit::ConcurrencyLimit(uint32_t slots)
    : m_slots(std::max(slots, 1U)), m_limit(m_slots) {}

uint32_t ConcurrencyLimit::limit() const {
  return std::max(1U, static_cast<uint32_t>(m_limit));
}

void ConcurrencyLimit::OnReply(uint32_t in_flight,
                               Millis latency,
                               Millis baseline_latency) {
  if (baseline_latency <= Millis(0)) {
    return;
  }
  if (latency > baseline_latency * kQueueingLatencyRatio) {
    // Slow replies reduce the limit to no less than half of the slots: other
    // entries or a slow disk may be the cause. Only shedding proves overload.
    const double min_limit = std::max(1.0, m_slots / 2.0);
    if (in_flight >= limit() / 2.0 && m_limit > min_limit) {
      m_limit = std::max(min_limit, m_limit * kQueueingDecrease);
    }
    return;
  }
  // The limit grows only while it is fully used: otherwise nothing shows that
  // the replica can handle more.
  if (in_flight >= limit()) {
    m_limit = std::min(2.0 * m_slots, m_limit + 1 / m_limit);
  }
}

void ConcurrencyLimit::OnShed(Millis now) {
  if (m_last_shed_decrease &&
      now - *m_last_shed_decrease < kMinShedDecreaseInterval) {
    return;
  }
  m_last_shed_decrease = now;
  m_limit = std::max(1.0, m_limit * kShedDecrease);
}

}  // namespace tanagervane
