// Messages by which the VMs of the tier pass on which changes of the store have
// been seen, and when.

#ifndef TANAGERVANE_FLEET_REVISION_GOSSIP_H_
#define TANAGERVANE_FLEET_REVISION_GOSSIP_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "tanagervane/state/revision_times.h"

namespace tanagervane {

/// Bounds each of the two lists of a message. Earlier reports have been passed
/// on in earlier rounds.
inline constexpr size_t kMaxGossipedRevisions = 4;

/// Separate from GossipMessage, which tells the latest revision only of the
/// sender itself and not its time. VMs of an earlier release drop this message.
struct RevisionGossip {
  /// Id of the sending VM.
  std::string sender;
  std::vector<RevisionReport> config;
  std::vector<RevisionReport> replicas;

  bool empty() const { return config.empty() && replicas.empty(); }
};

/// Returns whether a datagram is a revision message, by its first byte.
bool IsRevisionGossip(std::string_view bytes);

std::string EncodeRevisionGossip(const RevisionGossip& message);

/// Fails with kInvalidRequest when `bytes` are malformed.
absl::StatusOr<RevisionGossip> DecodeRevisionGossip(std::string_view bytes);

}  // namespace tanagervane

#endif  // TANAGERVANE_FLEET_REVISION_GOSSIP_H_
