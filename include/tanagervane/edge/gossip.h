// Periodic exchange of membership, document revisions and quarantine records
// with other entries.

#ifndef TANAGERVANE_EDGE_GOSSIP_H_
#define TANAGERVANE_EDGE_GOSSIP_H_

#include <functional>
#include <span>
#include <string>
#include <vector>

#include "tanagervane/edge/peer_service.h"
#include "tanagervane/net/event_loop.h"
#include "tanagervane/routing/quarantine.h"
#include "tanagervane/state/document_tracker.h"
#include "tanagervane/state/peer_table.h"

namespace tanagervane {

/// Runs a gossip round every kGossipInterval and answers the digests of peers.
class Gossip {
 public:
  struct Hooks {
    /// Returns the quarantine records to send to peers.
    std::function<std::vector<QuarantineRecord>()> export_quarantine;
    std::function<void(std::span<const QuarantineRecord>)> merge_quarantine;
    std::function<std::optional<StoredDocument>(uint64_t newer_than)>
        find_newer_document;
    /// Runs when the peer table may have changed.
    std::function<void()> on_change;
  };

  Gossip(EventLoop& loop, PeerTable& peers, Hooks hooks);
  Gossip(const Gossip&) = delete;
  Gossip& operator=(const Gossip&) = delete;

  /// Listens on `address` and starts the periodic rounds.
  absl::Status Start(const std::string& address);

  /// Starts a round now, for a change that peers must learn of without waiting
  /// for the next periodic round.
  void RunRound();

  /// Fetches a document newer than `revision` from the entry `peer`.
  void FetchDocument(const std::string& peer,
                     uint64_t revision,
                     DocumentTracker::PeerDone done);

  GrpcRuntime& runtime() { return m_service.runtime(); }

 private:
  proto::PeerDigest MakeDigest();
  /// Merges a peer's digest, or drops it when it may have been queued while
  /// this process was paused.
  void ApplyDigest(const proto::PeerDigest& digest);
  /// Checks for a long gap since the last round, which means that this process
  /// was paused. After a pause, suspects all peers and drops digests for a
  /// while.
  void DetectPause();

  EventLoop& m_loop;
  PeerTable& m_peers;
  Hooks m_hooks;
  PeerService m_service;
  Millis m_last_round_at;
  Millis m_drop_digests_until;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_EDGE_GOSSIP_H_
