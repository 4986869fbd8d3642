// The judgement of senders.

#include "tanagervane/fleet/gossip_gate.h"

namespace tanagervane {

SenderTrust JudgeSender(const GossipMessage& message,
                        std::string_view source,
                        const KnownAddress& known) {
  const auto& expected = known.listed ? known.listed : known.told;
  if (expected) {
    return *expected == source ? SenderTrust::kMember : SenderTrust::kForeign;
  }
  const bool introduces = !message.peers.empty() &&
                          message.peers.front().id == message.sender &&
                          message.peers.front().peer_address == source;
  return introduces ? SenderTrust::kIntroduces : SenderTrust::kForeign;
}

void KeepIntroduction(GossipMessage& message) {
  message.peers.resize(1);
  message.digests.clear();
  message.quarantine.clear();
  message.config_change = 0;
  message.replica_change = 0;
}

}  // namespace tanagervane
