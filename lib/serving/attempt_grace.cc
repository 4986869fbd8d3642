#include "tanagervane/serving/attempt_grace.h"

#include <algorithm>

namespace tanagervane {

namespace {

/// How long an attempt of an answered request may run on, as a multiple of the
/// median latency. Most finish by then. Without a limit, superseded attempts on
/// a slow replica would use the connections that other requests need.
constexpr double kAnsweredGraceMedians = 4;
constexpr Millis kMinAnsweredGrace{60};
constexpr Millis kMaxAnsweredGrace{600};

constexpr Millis kFailedGrace{0};
constexpr Millis kAbandonedGrace{150};

}  // namespace

Millis ReleaseGrace(ReleaseCause cause, Millis median_latency) {
  switch (cause) {
    case ReleaseCause::kAnswered:
      return std::clamp(median_latency * kAnsweredGraceMedians,
                        kMinAnsweredGrace, kMaxAnsweredGrace);
    case ReleaseCause::kFailed:
      return kFailedGrace;
    case ReleaseCause::kAbandoned:
      return kAbandonedGrace;
  }
  return kAbandonedGrace;
}

}  // namespace tanagervane
