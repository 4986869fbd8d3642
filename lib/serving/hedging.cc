#include "tanagervane/serving/hedging.h"

#include <algorithm>

namespace tanagervane {

namespace {

constexpr Millis kMinHedgeDelay{3};

/// The hedge delay is the greater of these multiples of the 90th percentile and
/// of the median latency, at most this fraction of the objective.
constexpr double kHedgeDelayP90s = 1.1;
constexpr double kHedgeDelayMedians = 1.6;
constexpr double kMaxHedgeDelayFraction = 0.4;

/// A hedge is sent early enough to be answered before the request's answer is
/// sent, but not before the minimum delay. The estimated latency of the hedge
/// and the minimum delay are multiples of the median latency.
constexpr double kHedgeLatencyMedians = 1.25;
constexpr double kMinHedgeDelayMedians = 1.25;

/// Longest wait for a slot on the hedge's replica, as a multiple of the median
/// latency.
constexpr double kMaxHedgeWaitMedians = 0.5;

}  // namespace

Millis HedgeDelay(const LatencyWindow& attempt_latency,
                  Millis objective,
                  Millis time_to_answer) {
  const Millis median = attempt_latency.median();
  const Millis observed = std::max(attempt_latency.p90() * kHedgeDelayP90s,
                                   median * kHedgeDelayMedians);
  const Millis bound = objective * kMaxHedgeDelayFraction;
  // A hedge that is sent later is answered after the request's answer is sent.
  const Millis latest_useful =
      std::max(time_to_answer - median * kHedgeLatencyMedians,
               median * kMinHedgeDelayMedians);
  return std::max(std::min({observed, bound, latest_useful}), kMinHedgeDelay);
}

bool IsQueueShortEnoughToHedge(Millis wait, Millis median_latency) {
  return wait <= median_latency * kMaxHedgeWaitMedians;
}

}  // namespace tanagervane
