// Gossip between the VMs of the tier over UDP.

#ifndef TANAGERVANE_FLEET_UDP_GOSSIP_H_
#define TANAGERVANE_FLEET_UDP_GOSSIP_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "tanagervane/fleet/gossip_codec.h"
#include "tanagervane/net/poller.h"
#include "tanagervane/routing/quarantine.h"
#include "tanagervane/state/peer_table.h"

namespace tanagervane {

struct UdpGossipHooks {
  /// The gossip address of a VM in the platform's store.
  std::function<std::optional<std::string>(std::string_view id)> listed_address;
  /// A message names a VM that has another address. The VM may have moved since
  /// the list was read.
  std::function<void(std::string_view id)> foreign;
  /// Adds what this VM has seen of the store to a message.
  std::function<void(GossipMessage&)> fill;
  /// A message arrived; peers and quarantine are merged already.
  std::function<void(const GossipMessage&)> received;
};

/// Sends this VM's records to a few peers each period, and merges theirs.
class UdpGossip {
 public:
  UdpGossip(Poller& poller,
            PeerTable& peers,
            Quarantine& quarantine,
            UdpGossipHooks hooks);
  ~UdpGossip();
  UdpGossip(const UdpGossip&) = delete;
  UdpGossip& operator=(const UdpGossip&) = delete;

  /// Binds `address` ("ip:port").
  absl::Status Start(std::string_view address);

  /// Call each kGossipPeriod.
  void Beat(Millis now);

  /// Tells more peers than one round does: for news that should not wait.
  void Announce(Millis now);

  uint64_t received() const { return m_received; }
  /// Messages that were malformed or came from a foreign address.
  uint64_t rejected() const { return m_rejected; }

 private:
  void SendRound(Millis now);
  void Receive();
  void Take(std::string_view bytes, const std::string& source);
  /// Whether the message, or what is left of it, may be merged.
  bool PassesGate(GossipMessage& message, const std::string& source);
  void LogRejected(std::string_view reason, std::string_view source);

  Poller& m_poller;
  PeerTable& m_peers;
  Quarantine& m_quarantine;
  UdpGossipHooks m_hooks;
  int m_descriptor = -1;
  uint64_t m_received = 0;
  uint64_t m_rejected = 0;
  Millis m_next_rejection_log;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_FLEET_UDP_GOSSIP_H_
