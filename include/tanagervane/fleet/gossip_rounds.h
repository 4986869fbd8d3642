// Selection of the peer records in a gossip message and of the reports that go
// with it, and merging of received records.

#ifndef TANAGERVANE_FLEET_GOSSIP_ROUNDS_H_
#define TANAGERVANE_FLEET_GOSSIP_ROUNDS_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "tanagervane/fleet/gossip_codec.h"
#include "tanagervane/fleet/replica_gossip.h"
#include "tanagervane/fleet/revision_gossip.h"
#include "tanagervane/state/peer_table.h"
#include "tanagervane/support/millis.h"

namespace tanagervane {

/// Number of heartbeat digests in a message for the current number of peers.
size_t DigestsPerMessage(const PeerTable& peers);

/// Creates a message with the sender's id, new and changed peer records and
/// heartbeat digests.
GossipMessage MakeGossip(PeerTable& peers, Millis now);

/// Merges the records and digests of a message into `peers`.
void MergeGossip(const GossipMessage& message, PeerTable& peers, Millis now);

/// The reports that go with a GossipMessage take at most this many bytes, so
/// that all messages together stay within the bound of control traffic per VM
/// (docs/CAPACITY.md).
inline constexpr size_t kMaxReportBytes = 320;

/// Returns the encoded reports to send in a round: those that are not empty if
/// they fit kMaxReportBytes together, else one of them in turn.
std::vector<std::string> ChooseReports(const ReplicaGossip& replicas,
                                       const RevisionGossip& revisions,
                                       uint64_t round);

}  // namespace tanagervane

#endif  // TANAGERVANE_FLEET_GOSSIP_ROUNDS_H_
