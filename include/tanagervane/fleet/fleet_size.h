// Estimate of the number of VMs that share the fleet-wide limits.

#ifndef TANAGERVANE_FLEET_FLEET_SIZE_H_
#define TANAGERVANE_FLEET_FLEET_SIZE_H_

#include <cstddef>
#include <optional>

namespace tanagervane {

/// Membership of the fleet as this VM sees it, itself included.
struct FleetView {
  /// VMs that gossip does not consider dead.
  size_t live = 1;
  /// VMs registered in the store; empty until the list has been read.
  std::optional<size_t> listed;
  /// False until gossip has had time to reach all VMs after the start.
  bool gossip_converged = false;
};

/// Returns the number of VMs among which replica connections, hedges and
/// retries are apportioned. A VM that sees only a minority of the listed VMs
/// may be partitioned from the others while they still send to replicas, so it
/// counts all listed VMs.
size_t EstimateFleetSize(const FleetView& view);

}  // namespace tanagervane

#endif  // TANAGERVANE_FLEET_FLEET_SIZE_H_
