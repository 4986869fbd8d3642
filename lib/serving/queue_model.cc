#include "tanagervane/serving/queue_model.h"

#include <algorithm>

namespace tanagervane {

Millis WaitForSlot(Millis run_time, double load, uint32_t slots) {
  const double usable_slots = std::max<uint32_t>(1, slots);
  const double ahead = std::max(0.0, load + 1 - usable_slots);
  return run_time * (ahead / usable_slots);
}

Millis RunTimeWithoutQueue(Millis latency, double waiting, uint32_t slots) {
  const double usable_slots = std::max<uint32_t>(1, slots);
  return latency * (1 / (1 + waiting / usable_slots));
}

}  // namespace tanagervane
