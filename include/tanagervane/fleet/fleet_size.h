// How many VMs share the limits that hold for the whole fleet.

#ifndef TANAGERVANE_FLEET_FLEET_SIZE_H_
#define TANAGERVANE_FLEET_FLEET_SIZE_H_

#include <cstddef>
#include <optional>

namespace tanagervane {

/// What this VM knows of the fleet, itself included.
struct FleetView {
  /// VMs that gossip counts as running.
  size_t live = 1;
  /// VMs that the store lists; nothing before the list was read.
  std::optional<size_t> listed;
  /// False until gossip has had the time to reach the others.
  bool settled = false;
};

/// The number of VMs among which connections to replicas and extra sends are
/// shared. A VM that sees only a minority of the listed VMs may be the one that
/// is cut off while the others go on sending, so it counts all of them.
size_t EstimateFleetSize(const FleetView& view);

}  // namespace tanagervane

#endif  // TANAGERVANE_FLEET_FLEET_SIZE_H_
