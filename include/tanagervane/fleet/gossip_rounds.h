// Selection of the peer records in a gossip message, and merging of received
// ones.

#ifndef TANAGERVANE_FLEET_GOSSIP_ROUNDS_H_
#define TANAGERVANE_FLEET_GOSSIP_ROUNDS_H_

#include <cstddef>

#include "tanagervane/fleet/gossip_codec.h"
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

}  // namespace tanagervane

#endif  // TANAGERVANE_FLEET_GOSSIP_ROUNDS_H_
