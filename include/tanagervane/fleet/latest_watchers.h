// Decides whether this VM watches the latest state of the store.

#ifndef TANAGERVANE_FLEET_LATEST_WATCHERS_H_
#define TANAGERVANE_FLEET_LATEST_WATCHERS_H_

#include <span>

#include "tanagervane/state/peer_table.h"

namespace tanagervane {

/// Returns whether the VM `self` must watch the latest state of the store on
/// behalf of the VMs with stale reads. In each data centre, this is the alive
/// VM with the lowest id that reaches the store. VMs that disagree on liveness
/// may both watch; that costs the store reads but loses no change. `peers` are
/// the other VMs.
bool WatchesLatest(const PeerRecord& self,
                   std::span<const PeerTable::Peer> peers);

}  // namespace tanagervane

#endif  // TANAGERVANE_FLEET_LATEST_WATCHERS_H_
