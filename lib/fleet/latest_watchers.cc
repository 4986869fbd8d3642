#include "tanagervane/fleet/latest_watchers.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace tanagervane {

namespace {

/// How long after its start a process is assumed not to watch. Processes of the
/// previous release take up the role after 4 s.
constexpr Millis kPeerRoleDelay{4500};

/// VMs of the fleet that watch the latest state, if it has so many. A VM that
/// is cut off from the store notices this only after some seconds.
constexpr size_t kMinWatchers = 3;

using PeerTest = std::function<bool(const PeerTable::Peer&)>;

/// Whether `self` leaves the role to `other` if `other` is able to watch.
bool Precedes(const PeerRecord& other, const PeerRecord& self) {
  return other.data_centre == self.data_centre && other.id < self.id;
}

bool IsAbleToWatch(const PeerTable::Peer& peer) {
  return peer.liveness == Liveness::kAlive && peer.record.store_reachable &&
         peer.record.state != PeerState::kLeaving;
}

size_t WatchersPerDataCentre(const PeerRecord& self,
                             std::span<const PeerTable::Peer> peers) {
  std::set<std::string_view> data_centres = {self.data_centre};
  for (const PeerTable::Peer& peer : peers) {
    if (IsAbleToWatch(peer)) {
      data_centres.insert(peer.record.data_centre);
    }
  }
  const size_t count = data_centres.size();
  return (kMinWatchers + count - 1) / count;
}

/// Whether fewer VMs than needed precede `self` among the peers that `watches`
/// accepts.
bool IsNeeded(const PeerRecord& self,
              std::span<const PeerTable::Peer> peers,
              const PeerTest& watches) {
  const auto preceding =
      std::ranges::count_if(peers, [&](const PeerTable::Peer& peer) {
        return Precedes(peer.record, self) && watches(peer);
      });
  return static_cast<size_t>(preceding) < WatchersPerDataCentre(self, peers);
}

}  // namespace

bool WatchesLatest(const PeerRecord& self,
                   std::span<const PeerTable::Peer> peers) {
  return IsNeeded(self, peers, IsAbleToWatch);
}

WatchRole LatestWatchRole::Update(const PeerRecord& self,
                                  std::span<const PeerTable::Peer> peers,
                                  Millis now) {
  const bool settled = now >= m_settled_at;
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
  }
  m_processes = std::move(processes);
  const PeerTest watches = [&](const PeerTable::Peer& peer) {
    const auto process = m_processes.find(peer.record.id);
    return IsAbleToWatch(peer) && (process == m_processes.end() ||
                                   now >= process->second.watches_from);
  };
  if (!settled || !IsNeeded(self, peers, watches)) {
    return WatchRole::kNone;
  }
  const bool leads =
      std::ranges::none_of(peers, [&](const PeerTable::Peer& peer) {
        return peer.record.id < self.id && watches(peer);
      });
  return leads ? WatchRole::kLeader : WatchRole::kLatest;
}

}  // namespace tanagervane
