#include "tanagervane/fleet/revision_gossip.h"

#include "gossip_bytes.h"
#include "report_bytes.h"
#include "tanagervane/support/error.h"

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
  GossipReader reader(bytes);
  const bool is_tagged = IsRevisionGossip(bytes);
  const bool has_era =
      reader.ReadByte() == static_cast<uint64_t>(kEraGossipTag);
  RevisionGossip message;
  message.sender = reader.ReadString();
  if (has_era) {
    message.era = reader.ReadVarint();
    message.config_revision = reader.ReadVarint();
    message.replica_revision = reader.ReadVarint();
  }
  message.config = ReadItems(reader, ReadReport);
  message.replicas = ReadItems(reader, ReadReport);
  if (!is_tagged || !reader.ok() || !reader.at_end()) {
    return MakeError(ErrorCode::kInvalidRequest,
                     "malformed gossip message about revisions",
                     message.sender);
  }
  return message;
}

}  // namespace tanagervane
