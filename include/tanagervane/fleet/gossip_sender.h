// Checks which VM a gossip message comes from.

#ifndef TANAGERVANE_FLEET_GOSSIP_SENDER_H_
#define TANAGERVANE_FLEET_GOSSIP_SENDER_H_

#include <optional>
#include <string>
#include <string_view>

#include "tanagervane/fleet/gossip_codec.h"

namespace tanagervane {

enum class SenderStatus {
  /// The message comes from the known address of its sender.
  kVerified,
  /// The sender is not known yet, and its own record names the address that the
  /// message comes from. Only that record may be merged.
  kNewVm,
  /// The message comes from another address than its sender has, or an unknown
  /// sender does not name the source address. It must be ignored.
  kAddressMismatch,
};

/// The gossip addresses that are known for a VM.
struct KnownAddresses {
  /// From the list of VMs in the platform's store.
  std::optional<std::string> listed;
  /// From the VM's record in the peer table, which gossip fills.
  std::optional<std::string> gossiped;

  /// The address from which the VM's messages must come; nullopt when none is
  /// known. The listed address takes precedence over the gossiped one.
  const std::optional<std::string>& expected() const {
    return listed ? listed : gossiped;
  }
};

/// Compares the source address of a message with the known address of its
/// sender.
SenderStatus ClassifySender(const GossipMessage& message,
                            std::string_view source,
                            const KnownAddresses& known);

/// Removes everything from a message of an unknown VM but the VM's own record.
void KeepSenderRecordOnly(GossipMessage& message);

}  // namespace tanagervane

#endif  // TANAGERVANE_FLEET_GOSSIP_SENDER_H_
