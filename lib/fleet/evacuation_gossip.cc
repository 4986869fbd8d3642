#include "tanagervane/fleet/evacuation_gossip.h"

#include "gossip_bytes.h"
#include "report_bytes.h"
#include "tanagervane/support/error.h"

namespace tanagervane {

namespace {

/// First byte of each message. Differs from the tags of the other messages and
/// from the layout versions of GossipMessage.
constexpr char kEvacuationGossipTag = 'Z';

}  // namespace

bool IsEvacuationGossip(std::string_view bytes) {
  return bytes.starts_with(kEvacuationGossipTag);
}

std::string EncodeEvacuationGossip(const EvacuationGossip& message) {
  std::string bytes(1, kEvacuationGossipTag);
  AppendString(bytes, message.sender);
  AppendVarint(bytes, message.era);
  AppendItems(bytes, message.revisions, AppendReport);
  return bytes;
}

absl::StatusOr<EvacuationGossip> DecodeEvacuationGossip(
    std::string_view bytes) {
  GossipReader reader(bytes);
  const bool is_tagged = IsEvacuationGossip(bytes);
  reader.ReadByte();
  EvacuationGossip message;
  message.sender = reader.ReadString();
  message.era = reader.ReadVarint();
  message.revisions = ReadItems(reader, ReadReport);
  if (!is_tagged || !reader.ok() || !reader.at_end()) {
    return MakeError(ErrorCode::kInvalidRequest,
                     "malformed gossip message about evacuations",
                     message.sender);
  }
  return message;
}

}  // namespace tanagervane
