// Encoding of the gossip messages between the VMs of the tier.

#ifndef TANAGERVANE_FLEET_GOSSIP_CODEC_H_
#define TANAGERVANE_FLEET_GOSSIP_CODEC_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "tanagervane/routing/quarantine.h"
#include "tanagervane/state/peer_table.h"

namespace tanagervane {

struct GossipMessage {
  /// Id of the sending VM.
  std::string sender;
  /// Store revisions of the latest configuration change and the latest replica
  /// change that the sender has seen.
  uint64_t config_revision = 0;
  uint64_t replica_revision = 0;
  /// Number of other VMs that the sender knows.
  uint64_t known_peers = 0;
  /// Full records, mainly of new or changed peers.
  std::vector<PeerRecord> peers;
  /// Heartbeats of further peers.
  std::vector<PeerDigest> digests;
  std::vector<QuarantineRecord> quarantine;
};

/// Returns the encoded message. It fits one datagram when the lists are short.
std::string EncodeGossip(const GossipMessage& message);

/// Fails with kInvalidRequest when `bytes` are malformed or use another layout
/// version.
absl::StatusOr<GossipMessage> DecodeGossip(std::string_view bytes);

}  // namespace tanagervane

#endif  // TANAGERVANE_FLEET_GOSSIP_CODEC_H_
