#include "tanagervane/fleet/gossip_rounds.h"

#include <algorithm>

namespace tanagervane {

namespace {

/// Limits per message. A record takes about 80 bytes and a digest 9, so a
/// message normally stays below 1,500 bytes and fits one Ethernet frame.
constexpr size_t kRecordsPerMessage = 8;
/// Used while some VM knows fewer peers, for example when the whole fleet
/// starts.
constexpr size_t kRecordsPerCatchUpMessage = 48;
constexpr size_t kMaxDigests = 100;
constexpr size_t kMinDigests = 8;

/// Fraction of the known peers whose heartbeats a message contains.
constexpr double kDigestFraction = 0.75;

}  // namespace

size_t DigestsPerMessage(const PeerTable& peers) {
  const auto wanted =
      static_cast<size_t>(kDigestFraction * static_cast<double>(peers.size()));
  return std::clamp(wanted, kMinDigests, kMaxDigests);
}

GossipMessage MakeGossip(PeerTable& peers, Millis now) {
  GossipMessage message;
  message.sender = peers.self().id;
  const size_t max_records = peers.RemoteTableIncomplete(now)
                                 ? kRecordsPerCatchUpMessage
                                 : kRecordsPerMessage;
  message.peers = peers.UpdatesToSend(now, max_records);
  message.known_peers = peers.size();
  message.digests = peers.DigestsToSend(now, DigestsPerMessage(peers));
  return message;
}

void MergeGossip(const GossipMessage& message, PeerTable& peers, Millis now) {
  peers.Merge(message.sender, message.peers, now);
  peers.MergeDigests(message.digests, now);
  peers.OnRemotePeerCount(message.known_peers, now);
}

std::vector<std::string> ChooseReports(const ReplicaGossip& replicas,
                                       const RevisionGossip& revisions,
                                       uint64_t round) {
  std::vector<std::string> reports;
  if (!replicas.empty()) {
    reports.push_back(EncodeReplicaGossip(replicas));
  }
  if (!revisions.empty()) {
    reports.push_back(EncodeRevisionGossip(revisions));
  }
  if (reports.size() == 2 &&
      reports[0].size() + reports[1].size() > kMaxReportBytes) {
    reports.erase(reports.begin() + static_cast<ptrdiff_t>(round % 2));
  }
  return reports;
}

}  // namespace tanagervane
