// Model of a replica as one first-in-first-out queue before its slots.

#ifndef TANAGERVANE_SERVING_QUEUE_MODEL_H_
#define TANAGERVANE_SERVING_QUEUE_MODEL_H_

#include <cstdint>

#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Returns how long a request that arrives now waits for a slot. `load` is the
/// number of requests that run or wait on the replica.
Millis WaitForSlot(Millis run_time, double load, uint32_t slots);

/// Returns the run time contained in a measured latency when about `waiting`
/// requests were queued on the replica. Without this correction the queue would
/// count twice in estimates: once as slowness of the replica and once as wait.
Millis RunTimeWithoutQueue(Millis latency, double waiting, uint32_t slots);

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_QUEUE_MODEL_H_
