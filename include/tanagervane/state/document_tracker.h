// The revision of the team's document that is in force on this entry.

#ifndef TANAGERVANE_STATE_DOCUMENT_TRACKER_H_
#define TANAGERVANE_STATE_DOCUMENT_TRACKER_H_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "tanagervane/state/pending_call.h"
#include "tanagervane/state/platform_api.h"
#include "tanagervane/state/stored_document.h"
#include "tanagervane/support/millis.h"
#include "tanagervane/support/random.h"

namespace tanagervane {

/// Returns the first `count` of `entries` in rendezvous-hash order for
/// `document`.
std::vector<std::string> RendezvousOrder(std::string_view document,
                                         std::span<const std::string> entries,
                                         size_t count);

/// Reads revisions from the platform and from peers, and accepts a revision
/// only if it is greater than the one in force. A deleted, wiped or stale
/// platform object therefore has no effect.
class DocumentTracker {
 public:
  struct Options {
    std::string team;
    std::string self_id;
    uint64_t seed = 0;
  };

  struct AcceptedDocument {
    StoredDocument stored;
    Document document;
  };

  struct InvalidDocument {
    uint64_t revision = 0;  ///< Zero when the value had no readable revision.
    absl::Status reason;
    std::string source;  ///< "platform" or the id of the peer.
    Millis at;
  };

  /// Gossiped state of a peer; see SetPeers().
  struct Peer {
    std::string id;
    bool serving = false;
    uint64_t revision = 0;  ///< The revision in force on the peer.
  };

  /// Receives whether the peer replied, and its document if that is newer.
  using PeerDone = std::function<void(bool ok, std::optional<StoredDocument>)>;

  struct Hooks {
    /// A revision came into force. Called before the method that accepted it
    /// returns.
    std::function<void(const AcceptedDocument&)> on_accepted;
    /// Calls Peer.FetchDocument; invokes `done` once, after the hook returned.
    std::function<void(std::string peer, uint64_t newer_than, PeerDone done)>
        fetch_from_peer;
  };

  DocumentTracker(Options options,
                  PlatformApi platform,
                  DocumentParser parser,
                  ClockHook clock,
                  Hooks hooks);

  /// Sets the peers that are alive, without this entry, and whether this entry
  /// is serving. Call after each gossip exchange that changed the peers.
  /// Decides whether this entry watches the platform, and fetches newer
  /// revisions from peers.
  void SetPeers(std::span<const Peer> peers, bool self_serving);

  /// Puts a revision in force if it is valid and newer than the one in force.
  /// It comes from this entry's DocumentPublisher or from a peer that pushed
  /// it. Returns true if it came into force.
  bool AcceptIfNewer(const StoredDocument& stored, std::string_view source);

  /// Starts reads that are due and cancels overdue ones. Call at NextTimer().
  void OnTick(Millis now);
  Millis NextTimer() const;

  /// True once a document is in force, a fetch from every known peer has ended,
  /// and either the platform was read, or a read of it failed and a serving
  /// peer replied. Stays true.
  bool ready() const { return m_ready; }

  /// Returns the revision in force, or zero if there is none.
  uint64_t revision() const;
  const std::optional<AcceptedDocument>& in_force() const { return m_in_force; }
  const std::optional<InvalidDocument>& last_invalid() const {
    return m_last_invalid;
  }

  /// True if this entry watches the platform object. Other entries read it
  /// about every 30 s.
  bool watches_platform() const { return m_watcher; }

  /// Returns the document in force if it is newer than `revision`; this is the
  /// answer to Peer.FetchDocument.
  std::optional<StoredDocument> NewerThan(uint64_t revision) const;

 private:
  struct PeerFetch {
    Peer peer;
    PendingCall call;
    /// A fetch from the peer has ended, successfully or not.
    bool attempted = false;
    Millis retry_at;
  };

  void StartPlatformCall(Millis now);
  void OnPlatformReply(bool watch,
                       PlatformResult result,
                       const PlatformObject& object);
  void ApplyObject(bool watch, const PlatformObject& object, Millis now);
  void OnPlatformFailure(Millis now);
  void ScheduleNext(Millis now);
  void StartFetch(PeerFetch& fetch, Millis now);
  void OnPeerReply(const std::string& id,
                   bool ok,
                   const std::optional<StoredDocument>& stored);
  void StartDueFetches(Millis now);
  void Refuse(uint64_t revision,
              absl::Status reason,
              std::string_view source,
              Millis now);
  void UpdateReady();
  Millis Jitter(Millis interval);

  Options m_options;
  PlatformApi m_platform;
  DocumentParser m_parser;
  ClockHook m_clock;
  Hooks m_hooks;
  Random m_random;

  std::optional<AcceptedDocument> m_in_force;
  std::optional<InvalidDocument> m_last_invalid;
  /// Invalid revisions, and the time from which they may be fetched again.
  std::map<uint64_t, Millis> m_refused_until;
  std::map<std::string, PeerFetch> m_peers;
  bool m_watcher = false;
  bool m_ready = false;
  bool m_platform_read = false;
  bool m_platform_failed = false;
  bool m_serving_peer_answered = false;

  PendingCall m_call;
  /// The next platform call is a read even if this entry watches.
  bool m_read_next = true;
  uint64_t m_platform_version = 0;
  uint32_t m_failures = 0;
  Millis m_next_call;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_STATE_DOCUMENT_TRACKER_H_
