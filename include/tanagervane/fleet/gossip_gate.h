// Whose gossip is believed.

#ifndef TANAGERVANE_FLEET_GOSSIP_GATE_H_
#define TANAGERVANE_FLEET_GOSSIP_GATE_H_

#include <optional>
#include <string>
#include <string_view>

#include "tanagervane/fleet/gossip_codec.h"

namespace tanagervane {

enum class SenderTrust {
  kMember,      ///< Comes from the address of the VM that it names as sender.
  kIntroduces,  ///< A VM that is not known yet; only its own record counts.
  kForeign,     ///< Names a VM that has another address. Nothing counts.
};

/// What is known of a VM's gossip address.
struct KnownAddress {
  /// As the platform's store lists it.
  std::optional<std::string> listed;
  /// As gossip has told it.
  std::optional<std::string> told;
};

/// Judges a message by the address that it came from. The store's list goes
/// before what gossip has told.
SenderTrust JudgeSender(const GossipMessage& message,
                        std::string_view source,
                        const KnownAddress& known);

/// Leaves only what a VM that introduces itself may say.
void KeepIntroduction(GossipMessage& message);

}  // namespace tanagervane

#endif  // TANAGERVANE_FLEET_GOSSIP_GATE_H_
