#include "tanagervane/fleet/evacuation_gossip.h"

#include <utility>

#include "tanagervane/support/error.h"

namespace tanagervane {

namespace {

/// First byte of each message. Differs from the tags of the other messages and
/// from the layout versions of GossipMessage.
constexpr char kEvacuationGossipTag = 'E';

}  // namespace

bool IsEvacuationGossip(std::string_view bytes) {
  return bytes.starts_with(kEvacuationGossipTag);
}

// After the tag, the layout is that of a RevisionGossip without replicas.
std::string EncodeEvacuationGossip(const EvacuationGossip& message) {
  RevisionGossip layout;
  layout.sender = message.sender;
  layout.config = message.revisions;
  std::string bytes = EncodeRevisionGossip(layout);
  bytes.front() = kEvacuationGossipTag;
  return bytes;
}

absl::StatusOr<EvacuationGossip> DecodeEvacuationGossip(
    std::string_view bytes) {
  const auto malformed = [] {
    return MakeError(ErrorCode::kInvalidRequest,
                     "malformed gossip message about evacuations", "");
  };
  if (!IsEvacuationGossip(bytes)) {
    return malformed();
  }
  std::string layout(bytes);
  layout.front() = EncodeRevisionGossip({}).front();
  auto decoded = DecodeRevisionGossip(layout);
  if (!decoded.ok() || !decoded->replicas.empty()) {
    return malformed();
  }
  return EvacuationGossip{.sender = std::move(decoded->sender),
                          .revisions = std::move(decoded->config)};
}

}  // namespace tanagervane
