// Decides when a hedge is sent and whether a replica is worth one.

#ifndef TANAGERVANE_SERVING_HEDGING_H_
#define TANAGERVANE_SERVING_HEDGING_H_

#include "tanagervane/serving/latency_window.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Returns how long an attempt may stay unanswered before it is hedged.
/// `time_to_answer` is the time until the answer must be sent to meet the
/// objective.
Millis HedgeDelay(const LatencyWindow& attempt_latency,
                  Millis objective,
                  Millis time_to_answer);

/// Returns whether a hedge may be sent to a replica on which it would wait for
/// `wait`. A hedge into a queue lengthens the queue and is rarely answered
/// before the attempt that it hedges, so under load hedges would feed on
/// themselves.
bool IsQueueShortEnoughToHedge(Millis wait, Millis median_latency);

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_HEDGING_H_
