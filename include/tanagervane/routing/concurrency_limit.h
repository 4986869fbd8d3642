// Adaptive limit of the attempts that one entry has in flight at one replica.

#ifndef TANAGERVANE_ROUTING_CONCURRENCY_LIMIT_H_
#define TANAGERVANE_ROUTING_CONCURRENCY_LIMIT_H_

#include <cstdint>
#include <optional>

#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Limit between 1 and twice the replica's slots, adjusted by additive increase
/// and multiplicative decrease (AIMD).
class ConcurrencyLimit {
 public:
  ConcurrencyLimit() = default;
  explicit ConcurrencyLimit(uint32_t slots);

  /// The maximum number of attempts in flight, rounded down, at least 1.
  uint32_t limit() const;

  /// Adjusts the limit after a reply. `in_flight` is the number of attempts in
  /// flight just before the reply, the replied one included. `baseline_latency`
  /// is the replica's robust average latency; the call has no effect while it
  /// is zero.
  void OnReply(uint32_t in_flight, Millis latency, Millis baseline_latency);
  void OnShed(Millis now);

 private:
  uint32_t m_slots = 1;
  double m_limit = 1;
  std::optional<Millis> m_last_shed_decrease;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_ROUTING_CONCURRENCY_LIMIT_H_
