// Gossip rounds: exchange of membership, document revisions and quarantine.

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

/// Runs a round every kGossipInterval and answers the rounds of others.
class Gossip {
 public:
  struct Hooks {
    std::function<std::vector<QuarantineRecord>()> export_quarantine;
    std::function<void(std::span<const QuarantineRecord>)> merge_quarantine;
    std::function<std::optional<StoredDocument>(uint64_t newer_than)>
        newer_document;
    /// The table of peers may have changed.
    std::function<void()> on_change;
  };

  Gossip(EventLoop& loop, PeerTable& peers, Hooks hooks);
  Gossip(const Gossip&) = delete;
  Gossip& operator=(const Gossip&) = delete;

  /// Listens on `address` and starts the rounds.
  absl::Status Start(const std::string& address);

  /// Starts a round now, for changes that others should learn at once.
  void RunRound();

  /// Fetches a document newer than `revision` from the entry `peer`.
  void FetchDocument(const std::string& peer,
                     uint64_t revision,
                     DocumentTracker::PeerDone done);

  GrpcRuntime& runtime() { return m_service.runtime(); }

 private:
  proto::PeerDigest MakeDigest();
  /// Drops the digest when it may have waited while this process was paused.
  void TakeDigest(const proto::PeerDigest& digest);
  void NotePause();

  EventLoop& m_loop;
  PeerTable& m_peers;
  Hooks m_hooks;
  PeerService m_service;
  Millis m_last_round;
  Millis m_drop_until;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_EDGE_GOSSIP_H_
