#include "tanagervane/fleet/latest_watchers.h"

#include <algorithm>
#include <utility>

namespace tanagervane {

namespace {

/// How long after its start a process is assumed not to watch. Processes of the
/// previous release take up the role after 4 s.
constexpr Millis kPeerRoleDelay{4500};

/// Whether `self` leaves the role to `other` if `other` is able to watch.
bool Precedes(const PeerRecord& other, const PeerRecord& self) {
  return other.data_centre == self.data_centre && other.id < self.id;
}

bool IsAbleToWatch(const PeerTable::Peer& peer) {
  return peer.liveness == Liveness::kAlive && peer.record.store_reachable &&
         peer.record.state != PeerState::kLeaving;
}

/// Whether no VM of another data centre precedes `self`, which watches for its
/// own.
bool LeadsFleet(const PeerRecord& self,
                std::span<const PeerTable::Peer> peers) {
  return std::ranges::none_of(peers, [&self](const PeerTable::Peer& peer) {
    return peer.record.data_centre != self.data_centre &&
           peer.record.id < self.id && IsAbleToWatch(peer);
  });
}

}  // namespace

bool WatchesLatest(const PeerRecord& self,
                   std::span<const PeerTable::Peer> peers) {
  return std::ranges::none_of(peers, [&self](const PeerTable::Peer& peer) {
    return Precedes(peer.record, self) && IsAbleToWatch(peer);
  });
}

WatchRole LatestWatchRole::Update(const PeerRecord& self,
                                  std::span<const PeerTable::Peer> peers,
                                  Millis now) {
  const bool settled = now >= m_settled_at;
  bool watches = settled;
  std::map<std::string, Process, std::less<>> processes;
  for (const PeerTable::Peer& peer : peers) {
    const PeerRecord& record = peer.record;
    if (!Precedes(record, self)) {
      continue;
    }
    // Processes found before this VM knew all others may have run for long.
    Process process = {record.incarnation,
                       settled ? now + kPeerRoleDelay : now};
    const auto known = m_processes.find(record.id);
    if (known != m_processes.end() &&
        known->second.incarnation == record.incarnation) {
      process = known->second;
    }
    processes[record.id] = process;
    if (IsAbleToWatch(peer) && now >= process.watches_from) {
      watches = false;
    }
  }
  m_processes = std::move(processes);
  if (!watches) {
    return WatchRole::kNone;
  }
  return LeadsFleet(self, peers) ? WatchRole::kLeader : WatchRole::kLatest;
}

}  // namespace tanagervane
