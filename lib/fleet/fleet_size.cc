#include "tanagervane/fleet/fleet_size.h"

#include <algorithm>

namespace tanagervane {

namespace {

/// Minimum estimate until the list of VMs is read or gossip has converged.
constexpr size_t kDefaultFleetSize = 4;

}  // namespace

size_t EstimateFleetSize(const FleetView& view) {
  const size_t live = std::max<size_t>(1, view.live);
  if (!view.listed) {
    return view.gossip_converged ? live : std::max(live, kDefaultFleetSize);
  }
  if (!view.gossip_converged) {
    // The list may be stale, and it misses VMs that start at the same time and
    // have not registered yet.
    return std::max({live, *view.listed, kDefaultFleetSize});
  }
  const bool majority = live * 2 > *view.listed;
  return majority ? live : *view.listed;
}

}  // namespace tanagervane
