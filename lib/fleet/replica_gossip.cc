#include "tanagervane/fleet/replica_gossip.h"

#include "gossip_bytes.h"
#include "tanagervane/support/error.h"

namespace tanagervane {

namespace {

/// First byte of each message. Differs from the layout versions of
/// GossipMessage, which are small numbers.
constexpr char kReplicaGossipTag = 'R';

constexpr int kIncarnationHashBytes = sizeof(IncarnationHash);

void AppendIncarnation(std::string& bytes, const IncarnationHash& incarnation) {
  AppendFixed(bytes, incarnation, kIncarnationHashBytes);
}

IncarnationHash ReadIncarnation(GossipReader& reader) {
  return reader.ReadFixed(kIncarnationHashBytes);
}

}  // namespace

bool IsReplicaGossip(std::string_view bytes) {
  return bytes.starts_with(kReplicaGossipTag);
}

std::string EncodeReplicaGossip(const ReplicaGossip& message) {
  std::string bytes(1, kReplicaGossipTag);
  AppendString(bytes, message.sender);
  AppendItems(bytes, message.leaving, AppendIncarnation);
  return bytes;
}

absl::StatusOr<ReplicaGossip> DecodeReplicaGossip(std::string_view bytes) {
  GossipReader reader(bytes);
  const bool is_tagged = IsReplicaGossip(bytes);
  reader.ReadByte();
  ReplicaGossip message;
  message.sender = reader.ReadString();
  message.leaving = ReadItems(reader, ReadIncarnation);
  if (!is_tagged || !reader.ok() || !reader.at_end()) {
    return MakeError(ErrorCode::kInvalidRequest,
                     "malformed gossip message about replicas", message.sender);
  }
  return message;
}

}  // namespace tanagervane
