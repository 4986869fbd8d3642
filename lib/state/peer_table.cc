#include "tanagervane/state/peer_table.h"

#include <algorithm>
#include <set>
#include <utility>

#include "fmt/format.h"
#include "tanagervane/support/hash.h"
#include "tanagervane/support/log.h"

namespace tanagervane {

namespace {

/// Number of peers that a process contacts in each gossip round.
constexpr size_t kTargets = 3;
/// Targets in the same data centre, out of kTargets. Traffic between
/// data centres is expensive.
constexpr size_t kLocalTargets = 2;
/// A changed record is sent as an update for this long, which is enough to
/// reach a fleet of thousands of processes.
constexpr Millis kUpdateLifetime{3000};
/// Number of consecutive expected digests that may be missing before a peer is
/// suspected or dead.
constexpr double kMissedDigestsUntilSuspected = 12;
constexpr double kMissedDigestsUntilDead = 24;
/// How long additional records are sent after a peer reported fewer peers.
constexpr Millis kRemoteIncompleteDuration{1000};
/// A longer gap between two heartbeats of this process means that the process
/// was paused.
constexpr Millis kPauseThreshold{1000};
/// Two gossip intervals. Messages that arrived before or during a pause are
/// handled right after it, and do not prove that their peers are alive now.
constexpr Millis kBacklogDuration{500};
/// A peer without heartbeat progress for this long is removed from the table.
constexpr Millis kForgetTimeout{60000};
/// Longer than any record stays in the table of another process.
constexpr Millis kTombstoneLifetime{600000};
/// One round in four tries an address from ReconnectAddresses().
constexpr uint64_t kReconnectOdds = 4;

/// Reduces `items` to a random selection of `count` items.
template <typename T>
void Sample(std::vector<T>& items, size_t count, Random& random) {
  count = std::min(count, items.size());
  for (size_t i = 0; i < count; ++i) {
    std::swap(items[i], items[i + random.NextBelow(items.size() - i)]);
  }
  items.resize(count);
}

}  // namespace

uint64_t DigestKey(std::string_view id, uint64_t incarnation) {
  const uint64_t hash =
      StableHash(fmt::format("/{}", incarnation), StableHash(id));
  // The low bits of the hash are the best mixed.
  return hash & ((uint64_t{1} << kDigestKeyBits) - 1);
}

PeerTable::PeerTable(PeerRecord self, uint64_t seed)
    : m_self(std::move(self)), m_random(seed) {}

void PeerTable::SetState(PeerState state) {
  if (m_self.state != PeerState::kLeaving) {
    m_self.state = state;
  }
}

void PeerTable::SetDocumentRevision(uint64_t revision) {
  m_self.document_revision = std::max(m_self.document_revision, revision);
}

void PeerTable::SetStoreReachable(bool reachable) {
  m_self.store_reachable = reachable;
}

void PeerTable::SetSeedAddresses(std::vector<std::string> peer_addresses) {
  m_seed_addresses = std::move(peer_addresses);
}

void PeerTable::AdvanceHeartbeat(Millis now) {
  ++m_self.heartbeat;
  if (m_last_heartbeat && now - *m_last_heartbeat > kPauseThreshold) {
    m_ignore_progress_until = now + kBacklogDuration;
    // Heartbeat progress seen before the pause does not prove that a peer is
    // alive now, and missing progress during the pause does not prove that it
    // is dead.
    for (auto& [id, peer] : m_peers) {
      if (LivenessOf(peer, *m_last_heartbeat) != Liveness::kDead) {
        peer.last_progress = now - m_suspect_timeout;
      } else {
        peer.last_progress += now - *m_last_heartbeat;
      }
    }
  }
  m_last_heartbeat = now;
  Expire(now);
  AdaptTimeouts();
}

void PeerTable::AdaptTimeouts() {
  if (m_digests_per_message == 0) {
    return;
  }
  const auto records_per_round =
      static_cast<double>(kTargets * (m_digests_per_message + 1));
  const Millis refresh_interval =
      kGossipInterval *
      (static_cast<double>(m_peers.size()) / records_per_round);
  m_suspect_timeout = std::max(kSuspectTimeout,
                               refresh_interval * kMissedDigestsUntilSuspected);
  m_dead_timeout =
      std::max(kDeadTimeout, refresh_interval * kMissedDigestsUntilDead);
}

void PeerTable::Expire(Millis now) {
  for (auto it = m_peers.begin(); it != m_peers.end();) {
    const KnownPeer& peer = it->second;
    if (now - peer.last_progress < kForgetTimeout) {
      ++it;
      continue;
    }
    m_tombstones[it->first] =
        Tombstone{peer.record.incarnation, peer.record.heartbeat, now};
    m_by_digest_key.erase(DigestKey(it->first, peer.record.incarnation));
    it = m_peers.erase(it);
  }
  std::erase_if(m_tombstones, [now](const auto& item) {
    return now - item.second.at >= kTombstoneLifetime;
  });
}

Liveness PeerTable::LivenessOf(const KnownPeer& peer, Millis now) const {
  const Millis since_progress = now - peer.last_progress;
  if (since_progress >= m_dead_timeout) {
    return Liveness::kDead;
  }
  return since_progress >= m_suspect_timeout ? Liveness::kSuspected
                                             : Liveness::kAlive;
}

std::vector<std::string> PeerTable::ChooseTargets(Millis now) {
  std::vector<std::string_view> local;
  std::vector<std::string_view> remote;
  for (const auto& [id, peer] : m_peers) {
    if (LivenessOf(peer, now) != Liveness::kDead) {
      const bool is_local = peer.record.data_centre == m_self.data_centre;
      (is_local ? local : remote).push_back(peer.record.peer_address);
    }
  }
  const size_t remote_targets = std::max(
      kTargets - kLocalTargets, kTargets - std::min(kTargets, local.size()));
  Sample(remote, remote_targets, m_random);
  Sample(local, kTargets - remote.size(), m_random);
  std::vector<std::string> targets(remote.begin(), remote.end());
  targets.insert(targets.end(), local.begin(), local.end());
  if (!targets.empty() && m_random.NextBelow(kReconnectOdds) != 0) {
    return targets;
  }
  const std::vector<std::string_view> others = ReconnectAddresses(now);
  if (!others.empty()) {
    if (targets.size() == kTargets) {
      targets.pop_back();
    }
    targets.emplace_back(others[m_random.NextBelow(others.size())]);
  }
  return targets;
}

std::vector<std::string_view> PeerTable::ReconnectAddresses(Millis now) const {
  std::vector<std::string_view> others;
  std::set<std::string_view> known = {m_self.peer_address};
  for (const auto& [id, peer] : m_peers) {
    known.insert(peer.record.peer_address);
    if (LivenessOf(peer, now) == Liveness::kDead) {
      others.push_back(peer.record.peer_address);
    }
  }
  for (const std::string& seed : m_seed_addresses) {
    if (known.insert(seed).second) {
      others.push_back(seed);
    }
  }
  return others;
}

std::vector<PeerRecord> PeerTable::RecordsToSend(Millis now, size_t limit) {
  std::vector<PeerRecord> records = {m_self};
  // Selects pointers: copying the records of 3,400 peers to send 64 took 0.5
  // ms.
  std::vector<const PeerRecord*> leaving;
  std::vector<const PeerRecord*> others;
  for (const auto& [id, peer] : m_peers) {
    // Omits suspected peers that are not leaving: their heartbeats would count
    // as progress in a process that was paused or partitioned, which would then
    // give callers the address of a dead peer.
    const Liveness liveness = LivenessOf(peer, now);
    const bool leaves = peer.record.state == PeerState::kLeaving;
    if (liveness == Liveness::kAlive ||
        (liveness == Liveness::kSuspected && leaves)) {
      (leaves ? leaving : others).push_back(&peer.record);
    }
  }
  for (auto* group : {&leaving, &others}) {
    Sample(*group, limit - std::min(limit, records.size()), m_random);
    for (const PeerRecord* record : *group) {
      records.push_back(*record);
    }
  }
  return records;
}

std::vector<PeerRecord> PeerTable::UpdatesToSend(Millis now, size_t limit) {
  std::vector<PeerRecord> records = {m_self};
  std::vector<const PeerRecord*> leaving;
  std::vector<const PeerRecord*> updates;
  std::vector<const PeerRecord*> others;
  for (const auto& [id, peer] : m_peers) {
    const Liveness liveness = LivenessOf(peer, now);
    if (peer.record.state == PeerState::kLeaving) {
      if (liveness != Liveness::kDead) {
        leaving.push_back(&peer.record);
      }
    } else if (liveness == Liveness::kAlive) {
      const bool is_update = now - peer.changed_at < kUpdateLifetime;
      (is_update ? updates : others).push_back(&peer.record);
    }
  }
  const size_t max_updates =
      limit - std::min<size_t>(limit, others.empty() ? 0 : 1);
  for (auto* group : {&leaving, &updates}) {
    Sample(*group, max_updates - std::min(max_updates, records.size()),
           m_random);
    for (const PeerRecord* record : *group) {
      records.push_back(*record);
    }
  }
  const size_t remaining = limit - std::min(limit, records.size());
  Sample(
      others,
      RemoteTableIncomplete(now) ? remaining : std::min<size_t>(1, remaining),
      m_random);
  for (const PeerRecord* record : others) {
    records.push_back(*record);
  }
  return records;
}

std::vector<PeerDigest> PeerTable::DigestsToSend(Millis now, size_t limit) {
  std::vector<const PeerRecord*> alive;
  for (const auto& [id, peer] : m_peers) {
    // Omits suspected peers for the same reason as RecordsToSend().
    if (LivenessOf(peer, now) == Liveness::kAlive) {
      alive.push_back(&peer.record);
    }
  }
  Sample(alive, limit, m_random);
  std::vector<PeerDigest> digests;
  digests.reserve(alive.size());
  for (const PeerRecord* record : alive) {
    digests.push_back(
        {DigestKey(record->id, record->incarnation), record->heartbeat});
  }
  return digests;
}

void PeerTable::MergeDigests(std::span<const PeerDigest> digests, Millis now) {
  for (const PeerDigest& digest : digests) {
    const auto known = m_by_digest_key.find(digest.key);
    if (known == m_by_digest_key.end() ||
        digest.heartbeat <= known->second->record.heartbeat) {
      continue;
    }
    known->second->record.heartbeat = digest.heartbeat;
    RecordProgress(*known->second, now);
  }
}

void PeerTable::OnRemotePeerCount(size_t peers, Millis now) {
  if (peers < m_peers.size()) {
    m_remote_incomplete_until = now + kRemoteIncompleteDuration;
  }
}

void PeerTable::RecordProgress(KnownPeer& peer, Millis now) {
  if (now >= m_ignore_progress_until) {
    peer.last_progress = now;
  }
}

PeerTable::KnownPeer& PeerTable::Add(const PeerRecord& record,
                                     Millis last_progress,
                                     Millis now) {
  KnownPeer& peer = m_peers[record.id];
  peer = KnownPeer{record, last_progress, now};
  m_by_digest_key[DigestKey(record.id, record.incarnation)] = &peer;
  return peer;
}

bool PeerTable::Merge(std::string_view sender,
                      std::span<const PeerRecord> records,
                      Millis now) {
  bool changed = false;
  for (const PeerRecord& record : records) {
    if (record.id == m_self.id) {
      MergeSelf(record);
    } else if (!record.id.empty()) {
      changed |= MergeOne(sender, record, now);
    }
  }
  return changed;
}

void PeerTable::MergeSelf(const PeerRecord& record) {
  if (record.incarnation > m_self.incarnation &&
      m_self.state != PeerState::kLeaving) {
    // An earlier process on this VM had a faster clock, so its incarnation is
    // greater. A leaving process keeps its own, because the greater incarnation
    // is its successor.
    LogEvent("own_incarnation_raised").Field("seen", record.incarnation);
    m_self.incarnation = record.incarnation + 1;
  }
}

bool PeerTable::MergeOne(std::string_view sender,
                         const PeerRecord& record,
                         Millis now) {
  const auto recency = [](const auto& r) {
    return std::pair(r.incarnation, r.heartbeat);
  };
  const bool direct = sender == record.id;
  const auto it = m_peers.find(record.id);
  if (it == m_peers.end()) {
    const auto tombstone = m_tombstones.find(record.id);
    if (tombstone != m_tombstones.end()) {
      if (recency(record) <= recency(tombstone->second)) {
        return false;
      }
      m_tombstones.erase(tombstone);
    }
    const bool is_alive = direct && now >= m_ignore_progress_until;
    Add(record, is_alive ? now : now - m_suspect_timeout, now);
    return true;
  }
  KnownPeer& peer = it->second;
  if (recency(record) <= recency(peer.record)) {
    return false;
  }
  PeerRecord before = peer.record;
  const bool was_alive = LivenessOf(peer, now) == Liveness::kAlive;
  const bool same_incarnation = record.incarnation == peer.record.incarnation;
  const bool was_leaving =
      same_incarnation && peer.record.state == PeerState::kLeaving;
  const uint64_t revision = peer.record.document_revision;
  peer.record = record;
  if (was_leaving) {
    peer.record.state = PeerState::kLeaving;
  }
  if (same_incarnation) {
    peer.record.document_revision =
        std::max(revision, record.document_revision);
  }
  RecordProgress(peer, now);
  if (!same_incarnation) {
    m_by_digest_key.erase(DigestKey(before.id, before.incarnation));
    m_by_digest_key[DigestKey(record.id, record.incarnation)] = &peer;
  }
  before.heartbeat = peer.record.heartbeat;
  const bool changed = before != peer.record;
  peer.changed_at = changed ? now : peer.changed_at;
  return !was_alive || changed;
}

std::vector<PeerTable::Peer> PeerTable::Peers(Millis now) const {
  std::vector<Peer> peers;
  peers.reserve(m_peers.size());
  for (const auto& [id, peer] : m_peers) {
    peers.push_back(
        {peer.record, LivenessOf(peer, now), now - peer.last_progress});
  }
  return peers;
}

std::optional<PeerTable::Peer> PeerTable::Find(std::string_view id,
                                               Millis now) const {
  const auto it = m_peers.find(id);
  if (it == m_peers.end()) {
    return std::nullopt;
  }
  const KnownPeer& peer = it->second;
  return Peer{peer.record, LivenessOf(peer, now), now - peer.last_progress};
}

std::vector<PeerRecord> PeerTable::Serving(Millis now) const {
  std::vector<PeerRecord> records;
  if (m_self.state == PeerState::kServing) {
    records.push_back(m_self);
  }
  if (!m_last_heartbeat || now - *m_last_heartbeat > kPauseThreshold) {
    return records;
  }
  for (const auto& [id, peer] : m_peers) {
    if (peer.record.state == PeerState::kServing &&
        LivenessOf(peer, now) == Liveness::kAlive) {
      records.push_back(peer.record);
    }
  }
  return records;
}

}  // namespace tanagervane
