// Decides whether this VM watches the latest state of the store.

#ifndef TANAGERVANE_FLEET_LATEST_WATCHERS_H_
#define TANAGERVANE_FLEET_LATEST_WATCHERS_H_

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <span>
#include <string>

#include "tanagervane/state/peer_table.h"
#include "tanagervane/state/store_types.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Returns whether the VM `self` must watch the latest state of the store on
/// behalf of the VMs with stale reads. In each data centre, these are the alive
/// VMs with the lowest ids that reach the store: one, or more where the fleet
/// has few data centres, so that some VMs still watch while others fail. VMs
/// that disagree on liveness may watch as well; that costs the store reads but
/// loses no change. `peers` are the other VMs.
bool WatchesLatest(const PeerRecord& self,
                   std::span<const PeerTable::Peer> peers);

/// Applies WatchesLatest() with regard to the starts of processes: a process
/// that has just started does not watch yet, so it takes the role from no other
/// VM for some time.
class LatestWatchRole {
 public:
  /// `delay` is the time after `started_at`, the start of this process, in
  /// which it does not know the other VMs and leaves the role to them.
  LatestWatchRole(Millis started_at, Millis delay)
      : m_settled_at(started_at + delay) {}

  /// Ends the delay at `time` if that is earlier.
  void SettleBy(Millis time) { m_settled_at = std::min(m_settled_at, time); }

  /// Returns what this VM must watch now. The leader is the alive VM with the
  /// lowest id of all. Call it in each gossip round.
  WatchRole Update(const PeerRecord& self,
                   std::span<const PeerTable::Peer> peers,
                   Millis now);

 private:
  /// The running process of a VM that precedes this one.
  struct Process {
    uint64_t incarnation = 0;
    Millis watches_from;
  };

  Millis m_settled_at;
  /// By VM id.
  std::map<std::string, Process, std::less<>> m_processes;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_FLEET_LATEST_WATCHERS_H_
