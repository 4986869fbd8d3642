// Implements Gossip and the conversion of its messages from and to protobuf.

#include "tanagervane/edge/gossip.h"

#include <optional>
#include <utility>

#include "tanagervane/support/error.h"
#include "tanagervane/support/log.h"

namespace tanagervane {

namespace {

constexpr Millis kExchangeTimeout(1000);
constexpr Millis kFetchTimeout(2000);
// A longer gap since the last round means that this process was paused.
constexpr Millis kPauseThreshold(1000);
// Digests that were queued in the sockets during a pause arrive within this
// time after it. Their heartbeats would make peers that died during the pause
// count as alive.
constexpr Millis kDropDigestsAfterPause(250);
// A digest with this many records takes 4.6 KB. An entry sends 24 digests a
// second, which fits the budget of 15 KB/s in fleets of up to 8 entries; see
// docs/CAPACITY.md for larger fleets.
constexpr size_t kMaxRecordsPerDigest = 64;

proto::PeerState ToProto(PeerState state) {
  switch (state) {
    case PeerState::kStarting:
      return proto::PEER_STATE_STARTING;
    case PeerState::kServing:
      return proto::PEER_STATE_SERVING;
    case PeerState::kLeaving:
      break;
  }
  return proto::PEER_STATE_LEAVING;
}

PeerState FromProto(proto::PeerState state) {
  switch (state) {
    case proto::PEER_STATE_SERVING:
      return PeerState::kServing;
    case proto::PEER_STATE_LEAVING:
      return PeerState::kLeaving;
    default:
      return PeerState::kStarting;
  }
}

void ToProto(const PeerRecord& record, proto::PeerRecord* out) {
  out->set_id(record.id);
  out->set_incarnation(record.incarnation);
  out->set_heartbeat(record.heartbeat);
  out->set_state(ToProto(record.state));
  out->set_caller_address(record.caller_address);
  out->set_peer_address(record.peer_address);
  out->set_data_centre(record.data_centre);
  out->set_document_revision(record.document_revision);
}

PeerRecord FromProto(const proto::PeerRecord& record) {
  return {.id = record.id(),
          .incarnation = record.incarnation(),
          .heartbeat = record.heartbeat(),
          .state = FromProto(record.state()),
          .caller_address = record.caller_address(),
          .peer_address = record.peer_address(),
          .data_centre = record.data_centre(),
          .document_revision = record.document_revision()};
}

}  // namespace

Gossip::Gossip(EventLoop& loop, PeerTable& peers, Hooks hooks)
    : m_loop(loop),
      m_peers(peers),
      m_hooks(std::move(hooks)),
      m_service(
          loop,
          {
              .on_exchange =
                  [this](const proto::PeerDigest& digest) {
                    ApplyDigest(digest);
                    return MakeDigest();
                  },
              .on_fetch_document =
                  [this](uint64_t newer_than) {
                    proto::FetchDocumentReply reply;
                    if (const auto stored =
                            m_hooks.find_newer_document(newer_than)) {
                      reply.set_revision(stored->revision);
                      reply.set_document_json(FormatStoredDocument(*stored));
                    }
                    return reply;
                  },
          }) {}

absl::Status Gossip::Start(const std::string& address) {
  if (absl::Status status = m_service.Start(address); !status.ok()) {
    return status;
  }
  m_last_round_at = m_loop.Now();
  m_loop.RunEvery(kGossipInterval, [this] {
    DetectPause();
    m_last_round_at = m_loop.Now();
    m_peers.AdvanceHeartbeat(m_last_round_at);
    RunRound();
    m_hooks.on_change();
  });
  return absl::OkStatus();
}

void Gossip::DetectPause() {
  const Millis now = m_loop.Now();
  if (now - m_last_round_at <= kPauseThreshold) {
    return;
  }
  LogEvent("woke_from_pause")
      .Field("pause_ms", (now - m_last_round_at).count());
  m_last_round_at = now;
  m_drop_digests_until = now + kDropDigestsAfterPause;
  // Marks all peers as suspected before any other code reads the table.
  m_peers.AdvanceHeartbeat(now);
}

void Gossip::RunRound() {
  const proto::PeerDigest digest = MakeDigest();
  for (const std::string& address : m_peers.ChooseTargets(m_loop.Now())) {
    m_service.Exchange(address, digest, kExchangeTimeout,
                       [this](const std::optional<proto::PeerDigest>& reply) {
                         if (reply) {
                           ApplyDigest(*reply);
                         }
                       });
  }
}

proto::PeerDigest Gossip::MakeDigest() {
  proto::PeerDigest digest;
  digest.set_sender_id(m_peers.self().id);
  digest.set_sender_incarnation(m_peers.self().incarnation);
  digest.set_document_revision(m_peers.self().document_revision);
  for (const PeerRecord& record :
       m_peers.RecordsToSend(m_loop.Now(), kMaxRecordsPerDigest)) {
    ToProto(record, digest.add_peers());
  }
  for (const QuarantineRecord& record : m_hooks.export_quarantine()) {
    proto::QuarantineRecord* out = digest.add_quarantine();
    out->set_fingerprint(record.fingerprint);
    out->set_age_ms(static_cast<uint64_t>(record.age.count()));
    for (const ReplicaId& replica : record.lost_replicas) {
      out->add_lost_replicas(replica);
    }
  }
  return digest;
}

void Gossip::ApplyDigest(const proto::PeerDigest& digest) {
  DetectPause();
  if (m_loop.Now() < m_drop_digests_until) {
    return;
  }
  std::vector<PeerRecord> records;
  records.reserve(static_cast<size_t>(digest.peers_size()));
  for (const proto::PeerRecord& record : digest.peers()) {
    records.push_back(FromProto(record));
  }
  const bool changed = m_peers.Merge(digest.sender_id(), records, m_loop.Now());
  std::vector<QuarantineRecord> quarantine;
  for (const proto::QuarantineRecord& record : digest.quarantine()) {
    quarantine.push_back({.fingerprint = record.fingerprint(),
                          .lost_replicas = {record.lost_replicas().begin(),
                                            record.lost_replicas().end()},
                          .age = Millis(static_cast<double>(record.age_ms()))});
  }
  m_hooks.merge_quarantine(quarantine);
  // A digest with new heartbeats only is reported by the next round: running
  // the hook for each of 24 digests a second took 3% of a core with 3,400
  // peers.
  if (changed) {
    m_hooks.on_change();
  }
}

void Gossip::FetchDocument(const std::string& peer,
                           uint64_t revision,
                           DocumentTracker::PeerDone done) {
  const auto found = m_peers.Find(peer, m_loop.Now());
  if (!found) {
    m_loop.Post([done = std::move(done)] { done(false, std::nullopt); });
    return;
  }
  m_service.FetchDocument(
      found->record.peer_address, revision, kFetchTimeout,
      [done = std::move(done),
       peer](const std::optional<proto::FetchDocumentReply>& reply) {
        if (!reply || reply->revision() == 0) {
          done(reply.has_value(), std::nullopt);
          return;
        }
        auto stored = ParseStoredDocument(reply->document_json());
        if (!stored.ok()) {
          LogEvent("peer_document_refused")
              .Field("peer", peer)
              .Field("reason", GetErrorMessage(stored.status()));
          done(false, std::nullopt);
          return;
        }
        done(true, *std::move(stored));
      });
}

}  // namespace tanagervane
