#include "tanagervane/fleet/latest_watchers.h"

#include <algorithm>

namespace tanagervane {

bool WatchesLatest(const PeerRecord& self,
                   std::span<const PeerTable::Peer> peers) {
  return std::ranges::none_of(peers, [&self](const PeerTable::Peer& peer) {
    const PeerRecord& other = peer.record;
    return peer.liveness == Liveness::kAlive && other.store_reachable &&
           other.state != PeerState::kLeaving &&
           other.data_centre == self.data_centre && other.id < self.id;
  });
}

}  // namespace tanagervane
