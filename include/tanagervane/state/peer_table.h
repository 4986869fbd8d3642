// Gossip membership table of the processes of one tier.

#ifndef TANAGERVANE_STATE_PEER_TABLE_H_
#define TANAGERVANE_STATE_PEER_TABLE_H_

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "tanagervane/support/millis.h"
#include "tanagervane/support/random.h"

namespace tanagervane {

enum class PeerState { kStarting, kServing, kLeaving };

/// Gossiped state of one process.
struct PeerRecord {
  std::string id;
  /// Greater after each restart of the process.
  uint64_t incarnation = 0;
  uint64_t heartbeat = 0;
  PeerState state = PeerState::kStarting;
  std::string caller_address;
  std::string peer_address;
  std::string data_centre;
  uint64_t document_revision = 0;
  /// Whether the platform's store answers the calls of the process.
  bool store_reachable = true;

  bool operator==(const PeerRecord&) const = default;
};

/// Heartbeat of one incarnation of a process. Sent in place of the full record
/// to receivers that already know the record.
struct PeerDigest {
  /// Hash of the process's id and incarnation; see DigestKey().
  uint64_t key = 0;
  uint64_t heartbeat = 0;

  bool operator==(const PeerDigest&) const = default;
};

/// Number of bits in PeerDigest::key. In a fleet of 3,400 processes, the
/// probability that two of them share a key is 1 in 50 million.
inline constexpr int kDigestKeyBits = 48;

/// Returns PeerDigest::key for an incarnation of a process.
uint64_t DigestKey(std::string_view id, uint64_t incarnation);

enum class Liveness { kAlive, kSuspected, kDead };

inline constexpr Millis kGossipInterval{250};
/// Minimum timeouts without heartbeat progress. They suit fleets in which a
/// process receives the heartbeat of each peer several times a second;
/// PeerTable raises them for larger fleets.
inline constexpr Millis kSuspectTimeout{1500};
inline constexpr Millis kDeadTimeout{5000};

/// Merges gossiped records of peers, derives the liveness of each peer from the
/// progress of its heartbeat, and chooses the contents and targets of gossip
/// messages.
class PeerTable {
 public:
  struct Peer {
    PeerRecord record;
    Liveness liveness = Liveness::kAlive;
    /// Time since the last heartbeat progress.
    Millis since_progress;
  };

  /// `self` is this process's record; its heartbeat starts at zero.
  PeerTable(PeerRecord self, uint64_t seed);

  const PeerRecord& self() const { return m_self; }

  /// Ignored once the state is kLeaving.
  void SetState(PeerState state);
  void SetDocumentRevision(uint64_t revision);
  void SetStoreReachable(bool reachable);

  /// Sets the peer addresses from the settings and the VM list. Some gossip
  /// rounds try one of them so that partitioned groups of peers reconnect.
  void SetSeedAddresses(std::vector<std::string> peer_addresses);

  /// Advances this process's heartbeat; call it every kGossipInterval. A gap of
  /// more than 1 s means that this process was paused: all live peers then
  /// become suspected until their heartbeats progress again. Progress counts
  /// only from two gossip intervals after the pause.
  void AdvanceHeartbeat(Millis now);

  /// Returns at most three random peer addresses for this gossip round.
  std::vector<std::string> ChooseTargets(Millis now);

  /// Returns at most `limit` records: this process, then leaving peers, then a
  /// random selection of the other alive peers. Omits dead peers.
  std::vector<PeerRecord> RecordsToSend(Millis now, size_t limit);

  /// Returns at most `limit` records that other processes may not have yet:
  /// this process, then leaving peers, then peers that are new or changed
  /// recently, then one other alive peer. While RemoteTableIncomplete() is
  /// true, the other alive peers fill the remaining records.
  std::vector<PeerRecord> UpdatesToSend(Millis now, size_t limit);

  /// Returns the digests of at most `limit` randomly selected alive peers.
  std::vector<PeerDigest> DigestsToSend(Millis now, size_t limit);

  /// Merges received digests; those of unknown peers are ignored.
  void MergeDigests(std::span<const PeerDigest> digests, Millis now);

  /// Handles the number of peers that a peer reports to know.
  void OnRemotePeerCount(size_t peers, Millis now);
  /// Whether a peer recently reported fewer peers than this process knows.
  bool RemoteTableIncomplete(Millis now) const {
    return now < m_remote_incomplete_until;
  }

  /// Sets how many digests a gossip message holds. When there are so many peers
  /// that messages of this size contain each of them rarely, the suspect and
  /// dead timeouts exceed their minimum and grow with the number of peers.
  void SetDigestsPerMessage(size_t digests) { m_digests_per_message = digests; }

  /// Merges the records that `sender` sent. An unknown peer that is not the
  /// sender itself is added as suspected until its heartbeat progresses.
  /// Returns true when more than heartbeats changed: a peer is new or alive
  /// again, or another field of its record changed.
  bool Merge(std::string_view sender,
             std::span<const PeerRecord> records,
             Millis now);

  /// Returns all known peers in order of id, without this process.
  std::vector<Peer> Peers(Millis now) const;
  /// Number of known peers, without this process.
  size_t size() const { return m_peers.size(); }
  std::optional<Peer> Find(std::string_view id, Millis now) const;

  /// Returns the records whose addresses may be given to callers: peers that
  /// are alive and serving, and this process if it is serving. Omits all peers
  /// when the last AdvanceHeartbeat() was more than 1 s ago.
  std::vector<PeerRecord> Serving(Millis now) const;

 private:
  struct KnownPeer {
    PeerRecord record;
    Millis last_progress;
    /// Time at which the peer was added or a field other than the heartbeat
    /// changed.
    Millis changed_at;
  };
  /// The latest known version of a peer that was removed from the table. Older
  /// gossip does not add the peer again.
  struct Tombstone {
    uint64_t incarnation = 0;
    uint64_t heartbeat = 0;
    Millis at;
  };

  Liveness LivenessOf(const KnownPeer& peer, Millis now) const;
  void AdaptTimeouts();
  KnownPeer& Add(const PeerRecord& record, Millis last_progress, Millis now);
  void RecordProgress(KnownPeer& peer, Millis now);
  /// Returns the addresses of dead peers and the seeds that no known peer uses.
  std::vector<std::string_view> ReconnectAddresses(Millis now) const;
  void MergeSelf(const PeerRecord& record);
  bool MergeOne(std::string_view sender, const PeerRecord& record, Millis now);
  void Expire(Millis now);

  PeerRecord m_self;
  Random m_random;
  std::vector<std::string> m_seed_addresses;
  std::map<std::string, KnownPeer, std::less<>> m_peers;
  std::unordered_map<uint64_t, KnownPeer*> m_by_digest_key;
  std::map<std::string, Tombstone, std::less<>> m_tombstones;
  size_t m_digests_per_message = 0;
  /// Until this time another process is assumed to know fewer peers.
  Millis m_remote_incomplete_until;
  Millis m_suspect_timeout = kSuspectTimeout;
  Millis m_dead_timeout = kDeadTimeout;
  std::optional<Millis> m_last_heartbeat;
  /// Until this time, after a pause of this process, received heartbeats do not
  /// count as progress.
  Millis m_ignore_progress_until;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_STATE_PEER_TABLE_H_
