// Gossip over UDP between the VMs of the tier.

#ifndef TANAGERVANE_FLEET_UDP_GOSSIP_H_
#define TANAGERVANE_FLEET_UDP_GOSSIP_H_

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "tanagervane/fleet/evacuation_gossip.h"
#include "tanagervane/fleet/gossip_codec.h"
#include "tanagervane/fleet/gossip_sender.h"
#include "tanagervane/fleet/replica_gossip.h"
#include "tanagervane/fleet/revision_gossip.h"
#include "tanagervane/net/poller.h"
#include "tanagervane/quota/messages.h"
#include "tanagervane/routing/quarantine.h"
#include "tanagervane/state/peer_table.h"

namespace tanagervane {

struct UdpGossipHooks {
  /// Returns the gossip address of a VM from the list in the platform's store.
  std::function<std::optional<std::string>(std::string_view id)> listed_address;
  /// A message came from another address than its sender `id` has. The VM may
  /// have changed its address since the list was read.
  std::function<void(std::string_view id)> on_address_mismatch;
  /// Sets the store revisions that this VM has seen in a message to send.
  std::function<void(GossipMessage&)> add_revisions;
  /// A message was accepted. Its peers and quarantine records are merged
  /// already.
  std::function<void(const GossipMessage&)> on_received;
  /// Returns what the other VMs must know about replicas; the sender is set by
  /// the caller. Nothing is sent while it is empty.
  std::function<ReplicaGossip(Millis now)> make_replica_gossip;
  /// A message about replicas was accepted.
  std::function<void(const ReplicaGossip&)> on_replica_gossip;
  /// Returns which recent changes of the store have been seen; as
  /// make_replica_gossip.
  std::function<RevisionGossip(Millis now)> make_revision_gossip;
  /// A message about changes of the store was accepted.
  std::function<void(const RevisionGossip&)> on_revision_gossip;
  /// A message about the limits of tenants was accepted.
  std::function<void(const QuotaMessage&)> on_quota;
  /// Takes a datagram that is no gossip, and returns whether it did. Optional.
  std::function<bool(std::string_view bytes, const std::string& source)>
      on_other_datagram;
  /// As the two for revisions, about evacuations; empty if this VM does not
  /// follow these.
  std::function<EvacuationGossip(Millis now)> make_evacuation_gossip = {};
  std::function<void(const EvacuationGossip&)> on_evacuation_gossip = {};
};

/// Sends peer and quarantine records to a few peers in each gossip interval,
/// and merges received ones.
class UdpGossip {
 public:
  UdpGossip(Poller& poller,
            PeerTable& peers,
            Quarantine& quarantine,
            UdpGossipHooks hooks);
  ~UdpGossip();
  UdpGossip(const UdpGossip&) = delete;
  UdpGossip& operator=(const UdpGossip&) = delete;

  /// Binds `address` ("ip:port"). Does nothing after a success.
  absl::Status Start(std::string_view address);

  /// Advances this VM's heartbeat and sends a message to a few peers. Call it
  /// every kGossipInterval.
  void RunRound(Millis now);

  /// Sends the messages of several rounds at once, after a change of this VM's
  /// state.
  void Announce(Millis now);

  /// Sends a message to a VM. Does nothing if its address is unknown.
  void Send(std::string_view vm, const QuotaMessage& message);
  /// Sends a datagram from the gossip address. It may be lost.
  void SendTo(const std::string& target, std::string_view bytes);

  /// Whether `source` is the known gossip address of the VM.
  bool IsAddressOf(std::string_view vm, const std::string& source) const {
    return FindAddresses(vm).expected() == source;
  }

  uint64_t received() const { return m_received; }
  /// Messages that were malformed or did not come from their sender's address.
  uint64_t rejected() const { return m_rejected; }

 private:
  void SendRound(Millis now);
  void Receive();
  void ProcessDatagram(std::string_view bytes, const std::string& source);
  /// Passes a message other than GossipMessage to its hook if it is sound and
  /// comes from its sender's address.
  template <typename Message>
  void ProcessReport(const absl::StatusOr<Message>& message,
                     const std::function<void(const Message&)>& accept,
                     const std::string& source);
  KnownAddresses FindAddresses(std::string_view vm) const;
  /// Returns whether the message may be merged. Reduces the message of a new VM
  /// to the VM's own record.
  bool AcceptSender(GossipMessage& message, const std::string& source);
  /// Counts a rejected message and logs it at a limited rate.
  void CountRejected(std::string_view reason, std::string_view source);

  Poller& m_poller;
  PeerTable& m_peers;
  Quarantine& m_quarantine;
  UdpGossipHooks m_hooks;
  int m_descriptor = -1;
  uint64_t m_rounds = 0;
  uint64_t m_received = 0;
  uint64_t m_rejected = 0;
  Millis m_next_rejection_log;
};

}  // namespace tanagervane

#endif  // TANAGERVANE_FLEET_UDP_GOSSIP_H_
