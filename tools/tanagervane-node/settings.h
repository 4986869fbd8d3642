// Settings of tanagervane-node.

#ifndef TANAGERVANE_TOOLS_TANAGERVANE_NODE_SETTINGS_H_
#define TANAGERVANE_TOOLS_TANAGERVANE_NODE_SETTINGS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "tanagervane/quota/bounds.h"
#include "tanagervane/serving/replica_chooser.h"
#include "tanagervane/serving/retry_budget.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Settings of one VM of the tier.
struct NodeSettings {
  std::string id;
  std::string data_centre;
  /// Listeners, each "ip:port".
  std::string caller_address;
  std::string readiness_address;
  std::string directory_address;
  std::string gossip_address;
  std::string metrics_address;
  /// The platform's store, "ip:port".
  std::string store_address;
  /// File descriptors that the process may open.
  size_t max_descriptors = 1024;
  /// Memory that the process may use, in MiB.
  size_t memory_mb = 256;
  /// Maximum time between the stop signal and the end of the process.
  Millis stop_grace{6000};
  /// The lifetime of an address that the directory states to callers.
  Millis address_lifetime{1000};
  /// Reserved before the end of the latency objective for sending the answer to
  /// the caller.
  Millis answer_margin{15};
  /// Whether VMs may read stale state from the store, apart from the few that
  /// watch the latest state.
  bool stale_reads = true;
  RetryLimits retries;
  /// How long a replica continues to serve after its registration is removed.
  Millis drain_bound{3000};
  ServingPolicy policy;
  /// Whether a key that was taken away must stop working everywhere, also on
  /// VMs that do not reach the store, and after how long.
  bool strict_revocation = false;
  Millis revocation_bound{5000};
  /// Time within which an accepted configuration is in force on all VMs that
  /// reach the store.
  Millis config_apply_bound{5000};
  QuotaBounds quota;
  WarmUpBounds warm_up;
  /// Time within which nothing more is sent to an evacuated data centre;
  /// nullopt if data centres are never evacuated.
  std::optional<Millis> evacuation_bound;
};

/// Parses JSON with comments. Fails with kInvalidRequest and the path of the
/// first invalid value.
absl::StatusOr<NodeSettings> ParseNodeSettings(std::string_view text);

}  // namespace tanagervane

#endif  // TANAGERVANE_TOOLS_TANAGERVANE_NODE_SETTINGS_H_
