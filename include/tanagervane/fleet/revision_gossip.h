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
  /// The store's era, to which all revisions of the message belong. With era 0
  /// the message has the layout of an earlier release. VMs of that release drop
  /// a message of another era, because they cannot compare its revisions.
  uint64_t era = 0;
  /// Revisions of the latest changes that the sender has seen, as in
  /// GossipMessage, which states no era. Only sent with an era.
  uint64_t config_revision = 0;
  uint64_t replica_revision = 0;
  std::vector<RevisionReport> config;
  std::vector<RevisionReport> replicas;

  bool empty() const { return era == 0 && config.empty() && replicas.empty(); }
};

/// Returns whether a datagram is a revision message, by its first byte.
bool IsRevisionGossip(std::string_view bytes);

std::string EncodeRevisionGossip(const RevisionGossip& message);

/// Fails with kInvalidRequest when `bytes` are malformed.
absl::StatusOr<RevisionGossip> DecodeRevisionGossip(std::string_view bytes);

}  // namespace tanagervane

#endif  // TANAGERVANE_FLEET_REVISION_GOSSIP_H_
