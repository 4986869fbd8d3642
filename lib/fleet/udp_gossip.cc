#include "tanagervane/fleet/udp_gossip.h"

#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <span>
#include <utility>
#include <vector>

#include "tanagervane/fleet/gossip_rounds.h"
#include "tanagervane/fleet/quota_codec.h"
#include "tanagervane/net/socket.h"
#include "tanagervane/support/error.h"
#include "tanagervane/support/log.h"

namespace tanagervane {

namespace {

constexpr size_t kMaxQuarantineRecords = 6;

constexpr size_t kMaxDatagramBytes = 65536;

/// New VMs are ignored while this many peers are known.
constexpr size_t kMaxPeers = 20'000;

/// At most one rejected message is logged in this time.
constexpr Millis kRejectionLogInterval{1000};

/// Rounds per Announce(); each goes to a few random peers.
constexpr int kAnnounceRounds = 4;

}  // namespace

UdpGossip::UdpGossip(Poller& poller,
                     PeerTable& peers,
                     Quarantine& quarantine,
                     UdpGossipHooks hooks)
    : m_poller(poller),
      m_peers(peers),
      m_quarantine(quarantine),
      m_hooks(std::move(hooks)) {}

UdpGossip::~UdpGossip() {
  if (m_descriptor >= 0) {
    m_poller.Remove(m_descriptor);
    close(m_descriptor);
  }
}

absl::Status UdpGossip::Start(std::string_view address) {
  if (m_descriptor >= 0) {
    return absl::OkStatus();
  }
  const auto parsed = ParseSocketAddress(address);
  if (!parsed.ok()) {
    return parsed.status();
  }
  const auto descriptor = BindUdp(*parsed);
  if (!descriptor.ok()) {
    return descriptor.status();
  }
  m_descriptor = *descriptor;
  m_poller.Add(m_descriptor, EPOLLIN, [this](uint32_t) { Receive(); });
  return absl::OkStatus();
}

void UdpGossip::RunRound(Millis now) {
  m_peers.SetDigestsPerMessage(DigestsPerMessage(m_peers));
  m_peers.AdvanceHeartbeat(now);
  SendRound(now);
}

void UdpGossip::Announce(Millis now) {
  for (int i = 0; i < kAnnounceRounds; ++i) {
    SendRound(now);
  }
}

void UdpGossip::SendRound(Millis now) {
  const std::vector<std::string> targets = m_peers.ChooseTargets(now);
  if (targets.empty()) {
    return;
  }
  GossipMessage message = MakeGossip(m_peers, now);
  message.quarantine = m_quarantine.Export(now);
  if (message.quarantine.size() > kMaxQuarantineRecords) {
    message.quarantine.resize(kMaxQuarantineRecords);
  }
  m_hooks.add_revisions(message);
  const std::string bytes = EncodeGossip(message);
  ReplicaGossip replica_gossip = m_hooks.make_replica_gossip(now);
  replica_gossip.sender = message.sender;
  RevisionGossip revision_gossip = m_hooks.make_revision_gossip(now);
  revision_gossip.sender = message.sender;
  EvacuationGossip evacuation_gossip;
  if (m_hooks.make_evacuation_gossip) {
    evacuation_gossip = m_hooks.make_evacuation_gossip(now);
    evacuation_gossip.sender = message.sender;
  }
  const std::vector<std::string> reports =
      ChooseReports(replica_gossip, revision_gossip, ++m_rounds);
  for (const std::string& target : targets) {
    SendTo(target, bytes);
    for (const std::string& report : reports) {
      SendTo(target, report);
    }
    if (!evacuation_gossip.empty()) {
      SendTo(target, EncodeEvacuationGossip(evacuation_gossip));
    }
  }
}

void UdpGossip::Send(std::string_view vm, const QuotaMessage& message) {
  const KnownAddresses known = FindAddresses(vm);
  if (const auto& address = known.expected()) {
    SendTo(*address, EncodeQuotaMessage(message));
  }
}

void UdpGossip::SendTo(const std::string& target, std::string_view bytes) {
  const auto address = ParseSocketAddress(target);
  if (!address.ok()) {
    LogEvent("gossip_address_invalid").Field("address", target);
    return;
  }
  // Errors are ignored: gossip tolerates lost datagrams, so it also tolerates
  // unsent ones.
  sendto(m_descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT,
         reinterpret_cast<const sockaddr*>(&*address), sizeof(*address));
}

void UdpGossip::Receive() {
  static std::array<char, kMaxDatagramBytes> bytes;
  while (true) {
    sockaddr_in source{};
    socklen_t size = sizeof(source);
    const ssize_t count =
        recvfrom(m_descriptor, bytes.data(), bytes.size(), MSG_DONTWAIT,
                 reinterpret_cast<sockaddr*>(&source), &size);
    if (count < 0) {
      return;
    }
    ProcessDatagram({bytes.data(), static_cast<size_t>(count)},
                    FormatAddress(source));
  }
}

void UdpGossip::ProcessDatagram(std::string_view bytes,
                                const std::string& source) {
  if (IsReplicaGossip(bytes)) {
    ProcessReport(DecodeReplicaGossip(bytes), m_hooks.on_replica_gossip,
                  source);
    return;
  }
  if (IsRevisionGossip(bytes)) {
    ProcessReport(DecodeRevisionGossip(bytes), m_hooks.on_revision_gossip,
                  source);
    return;
  }
  if (IsQuotaMessage(bytes)) {
    ProcessReport(DecodeQuotaMessage(bytes), m_hooks.on_quota, source);
    return;
  }
  if (IsEvacuationGossip(bytes)) {
    ProcessReport(DecodeEvacuationGossip(bytes), m_hooks.on_evacuation_gossip,
                  source);
    return;
  }
  if (m_hooks.on_other_datagram && m_hooks.on_other_datagram(bytes, source)) {
    return;
  }
  auto message = DecodeGossip(bytes);
  if (!message.ok()) {
    CountRejected("malformed", source);
    return;
  }
  if (!AcceptSender(*message, source)) {
    return;
  }
  ++m_received;
  const Millis now = Poller::Now();
  m_quarantine.Merge(message->quarantine, now);
  MergeGossip(*message, m_peers, now);
  m_hooks.on_received(*message);
}

template <typename Message>
void UdpGossip::ProcessReport(const absl::StatusOr<Message>& message,
                              const std::function<void(const Message&)>& accept,
                              const std::string& source) {
  if (!message.ok()) {
    CountRejected("malformed", source);
    return;
  }
  // A new VM is heard once its own record is known.
  if (FindAddresses(message->sender).expected() != source) {
    CountRejected("foreign_address", source);
    return;
  }
  ++m_received;
  if (accept) {
    accept(*message);
  }
}

KnownAddresses UdpGossip::FindAddresses(std::string_view vm) const {
  KnownAddresses known;
  known.listed = m_hooks.listed_address(vm);
  if (const auto peer = m_peers.Find(vm, Poller::Now())) {
    known.gossiped = peer->record.peer_address;
  }
  return known;
}

bool UdpGossip::AcceptSender(GossipMessage& message,
                             const std::string& source) {
  switch (ClassifySender(message, source, FindAddresses(message.sender))) {
    case SenderStatus::kVerified:
      return true;
    case SenderStatus::kNewVm:
      KeepSenderRecordOnly(message);
      return m_peers.size() < kMaxPeers;
    case SenderStatus::kAddressMismatch:
      break;
  }
  CountRejected("foreign_address", source);
  m_hooks.on_address_mismatch(message.sender);
  return false;
}

void UdpGossip::CountRejected(std::string_view reason,
                              std::string_view source) {
  ++m_rejected;
  const Millis now = Poller::Now();
  if (now < m_next_rejection_log) {
    return;
  }
  m_next_rejection_log = now + kRejectionLogInterval;
  LogEvent("gossip_rejected")
      .Field("reason", reason)
      .Field("source", source)
      .Field("rejected_total", m_rejected);
}

}  // namespace tanagervane
