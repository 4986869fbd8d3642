#include "tanagervane/fleet/gossip_sender.h"

namespace tanagervane {

SenderStatus ClassifySender(const GossipMessage& message,
                            std::string_view source,
                            const KnownAddresses& known) {
  if (known.expected()) {
    return *known.expected() == source ? SenderStatus::kVerified
                                       : SenderStatus::kAddressMismatch;
  }
  const bool announces_itself = !message.peers.empty() &&
                                message.peers.front().id == message.sender &&
                                message.peers.front().peer_address == source;
  return announces_itself ? SenderStatus::kNewVm
                          : SenderStatus::kAddressMismatch;
}

void KeepSenderRecordOnly(GossipMessage& message) {
  message.peers.resize(1);
  message.digests.clear();
  message.quarantine.clear();
  message.config_revision = 0;
  message.replica_revision = 0;
}

}  // namespace tanagervane
