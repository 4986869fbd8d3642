// Messages by which the VMs of the tier pass on what replicas state about
// themselves.

#ifndef TANAGERVANE_FLEET_REPLICA_GOSSIP_H_
#define TANAGERVANE_FLEET_REPLICA_GOSSIP_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "tanagervane/serving/leaving_replicas.h"
#include "tanagervane/serving/request_limits.h"

namespace tanagervane {

/// Bounds that keep a message below 320 bytes, so that it and GossipMessage
/// together stay within the bound of control traffic per VM (docs/CAPACITY.md).
/// All VMs pass on what they hear, so longer lists get through in parts.
inline constexpr size_t kMaxGossipedLeavingReplicas = 24;
inline constexpr size_t kMaxGossipedRateLimits = 6;

/// Separate from GossipMessage, so that VMs of an earlier release, which drop
/// this message, still exchange their membership with the others.
struct ReplicaGossip {
  /// Id of the sending VM.
  std::string sender;
  /// Incarnations of which the sender learned recently that they leave.
  std::vector<IncarnationHash> leaving;
  /// What replicas stated recently about their rate limits, to the sender or to
  /// another VM.
  std::vector<RateLimitReport> rate_limits;

  bool empty() const { return leaving.empty() && rate_limits.empty(); }
};

/// Returns whether a datagram is a replica message, by its first byte.
bool IsReplicaGossip(std::string_view bytes);

std::string EncodeReplicaGossip(const ReplicaGossip& message);

/// Fails with kInvalidRequest when `bytes` are malformed.
absl::StatusOr<ReplicaGossip> DecodeReplicaGossip(std::string_view bytes);

}  // namespace tanagervane

#endif  // TANAGERVANE_FLEET_REPLICA_GOSSIP_H_
