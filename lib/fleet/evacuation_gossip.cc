#include "tanagervane/fleet/evacuation_gossip.h"

#include "gossip_bytes.h"
#include "report_bytes.h"
#include "tagged_message.h"

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
  return DecodeTagged<EvacuationGossip>(
      bytes, IsEvacuationGossip(bytes),
      "malformed gossip message about evacuations",
      [](GossipReader& reader, EvacuationGossip& message) {
        message.era = reader.ReadVarint();
        message.revisions = ReadItems(reader, ReadReport);
        return true;
      });
}

}  // namespace tanagervane
