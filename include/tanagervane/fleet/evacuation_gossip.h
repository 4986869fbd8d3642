// Messages by which the VMs of the tier pass on which changes of the list of
// evacuated data centres have been seen.

#ifndef TANAGERVANE_FLEET_EVACUATION_GOSSIP_H_
#define TANAGERVANE_FLEET_EVACUATION_GOSSIP_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "tanagervane/fleet/revision_gossip.h"

namespace tanagervane {

/// Separate from RevisionGossip, whose layout VMs of an earlier release know.
/// They drop this message.
struct EvacuationGossip {
  /// Id of the sending VM.
  std::string sender;
  /// The store's era, to which the revisions belong.
  uint64_t era = 0;
  std::vector<RevisionReport> revisions;

  bool empty() const { return revisions.empty(); }
};

/// Returns whether a datagram is an evacuation message, by its first byte.
bool IsEvacuationGossip(std::string_view bytes);

std::string EncodeEvacuationGossip(const EvacuationGossip& message);

/// Fails with kInvalidRequest when `bytes` are malformed.
absl::StatusOr<EvacuationGossip> DecodeEvacuationGossip(std::string_view bytes);

}  // namespace tanagervane

#endif  // TANAGERVANE_FLEET_EVACUATION_GOSSIP_H_
