// What replicas state about themselves in their responses.

#ifndef TANAGERVANE_SERVING_SELF_REPORT_H_
#define TANAGERVANE_SERVING_SELF_REPORT_H_

#include <cstddef>
#include <cstdint>
#include <optional>

#include "tanagervane/support/millis.h"

namespace tanagervane {

/// How long a VM tells others what a replica stated. Each VM that hears it does
/// the same, so this is enough to reach a fleet of thousands of VMs.
inline constexpr Millis kStatementGossipDuration{3000};

/// How long statements are remembered after the registration of a replica was
/// removed. Much longer than a leaving replica serves or a heartbeat is
/// delayed.
inline constexpr Millis kStatementLifetime{600'000};

/// Bounds the memory for statements. Several times the replicas of the largest
/// fleet.
inline constexpr size_t kMaxRememberedIncarnations = 100'000;

/// Load that a replica reports with each response.
struct LoadReport {
  uint32_t running = 0;
  uint32_t waiting = 0;
  uint32_t slots = 0;
  /// How long work takes on the replica's machine now, in percent of the usual
  /// time.
  uint32_t work_time_percent = 100;
};

/// The statements of a replica about itself in one response.
struct SelfReport {
  std::optional<LoadReport> load;
  /// The replica is about to end and takes no new requests.
  bool leaving = false;
  /// Requests per second that the replica takes from all VMs together; nullopt
  /// when it states no limit.
  std::optional<double> rate_limit;
  /// Time for which the replica, which rejected the request, wants no others
  /// from this VM.
  std::optional<Millis> backoff;
};

/// A replica's response to a health probe.
struct ProbeReply {
  /// The replica answered that it is healthy.
  bool healthy = false;
  /// Empty if the replica did not answer.
  SelfReport self_report;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_SERVING_SELF_REPORT_H_
