#include "tanagervane/fleet/revision_gossip.h"

#include "gossip_bytes.h"
#include "report_bytes.h"
#include "tagged_message.h"

namespace tanagervane {

namespace {

/// First byte of each message. Differs from the layout versions of
/// GossipMessage, which are small numbers, and from the tag of ReplicaGossip.
constexpr char kRevisionGossipTag = 'V';
/// First byte of a message that states an era.
constexpr char kEraGossipTag = 'E';

}  // namespace

bool IsRevisionGossip(std::string_view bytes) {
  return bytes.starts_with(kRevisionGossipTag) ||
         bytes.starts_with(kEraGossipTag);
}

std::string EncodeRevisionGossip(const RevisionGossip& message) {
  std::string bytes(1, message.era == 0 ? kRevisionGossipTag : kEraGossipTag);
  AppendString(bytes, message.sender);
  if (message.era != 0) {
    AppendVarint(bytes, message.era);
    AppendVarint(bytes, message.config_revision);
    AppendVarint(bytes, message.replica_revision);
  }
  AppendItems(bytes, message.config, AppendReport);
  AppendItems(bytes, message.replicas, AppendReport);
  return bytes;
}

absl::StatusOr<RevisionGossip> DecodeRevisionGossip(std::string_view bytes) {
  return DecodeTagged<RevisionGossip>(
      bytes, IsRevisionGossip(bytes),
      "malformed gossip message about revisions",
      [&](GossipReader& reader, RevisionGossip& message) {
        if (bytes.starts_with(kEraGossipTag)) {
          message.era = reader.ReadVarint();
          message.config_revision = reader.ReadVarint();
          message.replica_revision = reader.ReadVarint();
        }
        message.config = ReadItems(reader, ReadReport);
        message.replicas = ReadItems(reader, ReadReport);
        return true;
      });
}

}  // namespace tanagervane
