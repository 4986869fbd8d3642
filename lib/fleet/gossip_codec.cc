#include "tanagervane/fleet/gossip_codec.h"

#include <algorithm>
#include <utility>

#include "gossip_bytes.h"
#include "tanagervane/support/error.h"

namespace tanagervane {

namespace {

/// First byte of each message. Increment it when the layout changes: VMs reject
/// messages of another layout version.
constexpr char kLayoutVersion = 2;

constexpr int kDigestKeyBytes = kDigestKeyBits / 8;

/// A record's flags: the state in the low bits and one flag above it.
constexpr uint64_t kStateMask = 3;
constexpr uint64_t kStoreReachableFlag = 4;

void AppendPeer(std::string& bytes, const PeerRecord& peer) {
  AppendString(bytes, peer.id);
  AppendVarint(bytes, peer.incarnation);
  AppendVarint(bytes, peer.heartbeat);
  AppendVarint(bytes, static_cast<uint64_t>(peer.state) |
                          (peer.store_reachable ? kStoreReachableFlag : 0));
  AppendString(bytes, peer.caller_address);
  AppendString(bytes, peer.peer_address);
  AppendString(bytes, peer.data_centre);
  AppendVarint(bytes, peer.document_revision);
}

void AppendDigest(std::string& bytes, const PeerDigest& digest) {
  AppendFixed(bytes, digest.key, kDigestKeyBytes);
  AppendVarint(bytes, digest.heartbeat);
}

void AppendQuarantine(std::string& bytes, const QuarantineRecord& record) {
  AppendVarint(bytes, record.fingerprint);
  AppendVarint(bytes, static_cast<uint64_t>(std::max(0.0, record.age.count())));
  AppendVarint(bytes, record.lost_replicas.size());
  for (const ReplicaId& replica : record.lost_replicas) {
    AppendString(bytes, replica);
  }
}

PeerRecord ReadPeer(GossipReader& reader) {
  PeerRecord peer;
  peer.id = reader.ReadString();
  peer.incarnation = reader.ReadVarint();
  peer.heartbeat = reader.ReadVarint();
  const uint64_t flags = reader.ReadVarint();
  peer.state = static_cast<PeerState>(
      std::min(flags & kStateMask, static_cast<uint64_t>(PeerState::kLeaving)));
  peer.store_reachable = (flags & kStoreReachableFlag) != 0;
  peer.caller_address = reader.ReadString();
  peer.peer_address = reader.ReadString();
  peer.data_centre = reader.ReadString();
  peer.document_revision = reader.ReadVarint();
  return peer;
}

PeerDigest ReadDigest(GossipReader& reader) {
  PeerDigest digest;
  digest.key = reader.ReadFixed(kDigestKeyBytes);
  digest.heartbeat = reader.ReadVarint();
  return digest;
}

QuarantineRecord ReadQuarantine(GossipReader& reader) {
  QuarantineRecord record;
  record.fingerprint = reader.ReadVarint();
  record.age = Millis(static_cast<double>(reader.ReadVarint()));
  for (uint64_t remaining = reader.ReadCount(); remaining > 0 && reader.ok();
       --remaining) {
    record.lost_replicas.push_back(reader.ReadString());
  }
  return record;
}

}  // namespace

std::string EncodeGossip(const GossipMessage& message) {
  std::string bytes(1, kLayoutVersion);
  AppendString(bytes, message.sender);
  AppendVarint(bytes, message.config_revision);
  AppendVarint(bytes, message.replica_revision);
  AppendVarint(bytes, message.known_peers);
  AppendItems(bytes, message.peers, AppendPeer);
  AppendItems(bytes, message.digests, AppendDigest);
  AppendItems(bytes, message.quarantine, AppendQuarantine);
  return bytes;
}

absl::StatusOr<GossipMessage> DecodeGossip(std::string_view bytes) {
  GossipReader reader(bytes);
  if (reader.ReadByte() != static_cast<uint64_t>(kLayoutVersion)) {
    return MakeError(ErrorCode::kInvalidRequest,
                     "unsupported layout version of a gossip message",
                     "version");
  }
  GossipMessage message;
  message.sender = reader.ReadString();
  message.config_revision = reader.ReadVarint();
  message.replica_revision = reader.ReadVarint();
  message.known_peers = reader.ReadVarint();
  message.peers = ReadItems(reader, ReadPeer);
  message.digests = ReadItems(reader, ReadDigest);
  message.quarantine = ReadItems(reader, ReadQuarantine);
  if (!reader.ok() || !reader.at_end()) {
    return MakeError(ErrorCode::kInvalidRequest, "malformed gossip message",
                     message.sender);
  }
  return message;
}

}  // namespace tanagervane
